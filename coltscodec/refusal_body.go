package coltscodec

// Refusals are encoded as OpenAI-style error objects, so that ordinary clients show
// their message. Two additional fields, outcome and reason, tell the caller whether
// the request ran and why it was refused.

import (
	"encoding/json"
	"net/http"

	"coltsfootstall/coltsattempt"
)

type refusalJSON struct {
	Error refusalErrorJSON `json:"error"`
}

type refusalErrorJSON struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Outcome string  `json:"outcome"`
	Reason  string  `json:"reason"`
}

// refusalStatus maps reasons to HTTP statuses; reasons not listed here get 502.
var refusalStatus = map[coltsattempt.Reason]int{
	coltsattempt.ReasonBadRequest:    http.StatusBadRequest,
	coltsattempt.ReasonTooLong:       http.StatusRequestEntityTooLarge,
	coltsattempt.ReasonTooSlow:       http.StatusRequestTimeout,
	coltsattempt.ReasonUnknownKey:    http.StatusUnauthorized,
	coltsattempt.ReasonNotAllowed:    http.StatusForbidden,
	coltsattempt.ReasonUnknownModel:  http.StatusNotFound,
	coltsattempt.ReasonUnknownPath:   http.StatusNotFound,
	coltsattempt.ReasonOverLimit:     http.StatusTooManyRequests,
	coltsattempt.ReasonNoUpstream:    http.StatusServiceUnavailable,
	coltsattempt.ReasonOverloaded:    http.StatusServiceUnavailable,
	coltsattempt.ReasonDeadline:      http.StatusGatewayTimeout,
	coltsattempt.ReasonQuarantined:   http.StatusUnprocessableEntity,
	coltsattempt.ReasonKeyMissing:    http.StatusBadRequest,
	coltsattempt.ReasonKeyReused:     http.StatusUnprocessableEntity,
	coltsattempt.ReasonInProgress:    http.StatusConflict,
	coltsattempt.ReasonNoLedger:      http.StatusServiceUnavailable,
	coltsattempt.ReasonNotReady:      http.StatusServiceUnavailable,
	coltsattempt.ReasonUnknownResult: http.StatusConflict,
	coltsattempt.ReasonUnexpected:    http.StatusInternalServerError,
}

// RefusalStatus returns the HTTP status of a refusal.
func RefusalStatus(r *coltsattempt.RefusedError) int {
	status, known := refusalStatus[r.Reason]
	if !known {
		return http.StatusBadGateway
	}
	return status
}

// EncodeRefusal returns a refusal as an OpenAI-style error body.
func EncodeRefusal(r *coltsattempt.RefusedError) []byte {
	status := RefusalStatus(r)
	body, err := json.Marshal(refusalJSON{Error: refusalErrorJSON{
		Message: r.Detail,
		Type:    refusalType(status),
		Code:    string(r.Reason),
		Outcome: string(r.Outcome),
		Reason:  string(r.Reason),
	}})
	if err != nil {
		// Strings and nil pointers always marshal; see encoding/json.
		panic(err)
	}
	return body
}

// refusalType returns the OpenAI-style error type for an HTTP status.
func refusalType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	}
	return "invalid_request_error"
}

// EncodeRefusalEvent returns a refusal as the server-sent event that ends a stream
// that has already started.
func EncodeRefusalEvent(r *coltsattempt.RefusedError) []byte {
	event := append([]byte("data: "), EncodeRefusal(r)...)
	return append(event, "\n\n"...)
}
