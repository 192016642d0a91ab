package coltscodec

// A refusal has the form of the OpenAI-style error object, so that ordinary
// clients show its message, with the two fields that tell a caller what ran.

import (
	"encoding/json"
	"net/http"

	"coltsfootstall/coltsattempt"
)

type refusalText struct {
	Error refusalErrorText `json:"error"`
}

type refusalErrorText struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Outcome string  `json:"outcome"`
	Reason  string  `json:"reason"`
}

// refusalStatus gives the HTTP status of each reason; others are 502.
var refusalStatus = map[coltsattempt.Reason]int{
	coltsattempt.ReasonBadRequest:    http.StatusBadRequest,
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
	body, err := json.Marshal(refusalText{Error: refusalErrorText{
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

// refusalType returns the type that OpenAI-style clients know for a status.
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

// EncodeRefusalEvent returns a refusal as the server-sent event that ends a
// stream which has begun.
func EncodeRefusalEvent(r *coltsattempt.RefusedError) []byte {
	event := append([]byte("data: "), EncodeRefusal(r)...)
	return append(event, "\n\n"...)
}
