// Package coltsgateway implements the gateway: an entry instance that forwards requests
// according to the route table. It connects callers and upstreams to the packages that make the
// decisions.
//
// It handles transport only and knows no header names; a Dialect maps headers to and from Go
// types.
package coltsgateway

// The dialect separates the gateway from the header names used on the wire. Its functions take
// what the HTTP library has parsed and return typed values or append text; they make no
// decisions.

import (
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsforward"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsweights"
)

// Dialect converts between HTTP headers and the gateway's types. All fields are required.
type Dialect struct {
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath string
	// DecodeTable parses the text of a route table.
	DecodeTable func(source []byte) (coltsroute.Table, error)
	// ParseRequest parses the headers of a caller's request.
	ParseRequest func(h *fasthttp.RequestHeader) (coltsforward.InboundRequest, error)
	// AppendRequestHead appends the head of a request to an upstream, without the body's framing
	// headers and the final empty line.
	AppendRequestHead func(dst []byte, h *fasthttp.RequestHeader, meta RequestMetadata) []byte
	// ParseResponse parses the headers of an upstream's response.
	ParseResponse func(h *fasthttp.ResponseHeader) ResponseMetadata
	// AppendResponseHeaders appends the header lines of an upstream's response that are passed on to
	// the caller, without the body's framing headers and the final empty line.
	AppendResponseHeaders func(dst []byte, h *fasthttp.ResponseHeader) []byte
	// BuildErrorResponse returns the error response for a refused request.
	BuildErrorResponse func(e *coltsattempt.RefusedError, now time.Time) ErrorResponse
	// AppendErrorHeaders appends the header lines of an error response, without the body's framing
	// headers and the final empty line. id is the request's ID.
	AppendErrorHeaders func(dst []byte, r ErrorResponse, id string) []byte
	// EventID returns the ID of a server-sent event, empty for none.
	EventID func(event []byte) []byte
}

// RequestMetadata holds what the gateway adds to a request that it forwards.
type RequestMetadata struct {
	Upstream     coltsidentity.Upstream
	Organisation coltsidentity.Organisation
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Priority is the request's priority, 0 for the highest.
	Priority int
	// WeightsVersion is the weights version that must serve the request, 0 for any.
	WeightsVersion coltsweights.Number
	// CacheScope separates cached prompt parts that must not be shared; empty if all requests
	// share them.
	CacheScope string
	// LastEventID is the ID of the event after which a stream resumes, empty to start from the
	// beginning.
	LastEventID string
	// FetchFrom and SaveTo hold, for each part of the prompt, the address of the store from which
	// it is fetched and of the store to which it is saved; the zero address for none. Both are nil
	// if there is nothing to transfer.
	FetchFrom []netip.AddrPort
	SaveTo    []netip.AddrPort
	// FetchUntil is the time on the upstreams' clock at which fetches must have ended; zero for any.
	FetchUntil time.Time
}

// ResponseMetadata holds what the gateway needs from the headers of an upstream's response.
type ResponseMetadata struct {
	// RequestID is the ID of the request to which the response belongs, empty if not given.
	RequestID string
	// Sealed is set if the response has the header that marks it as coming from an upstream
	// that ran the request.
	Sealed bool
	// NotRun is set if the request did not run, Misdirected if it reached another upstream
	// than the intended one, or one with other weights.
	NotRun      bool
	Misdirected bool
	// Upstream is the upstream that responded, empty if not given.
	Upstream coltsidentity.Upstream
	// ImpliesNotRun is set if the status would tell the caller that the request did not run.
	ImpliesNotRun bool
	// Leaving is set if the upstream says that it is leaving.
	Leaving bool
	// RetryAfter is how long the upstream wants no further request, 0 if it does not say.
	RetryAfter time.Duration
	// IdleTimeout is how long the upstream keeps the connection open while it is idle, 0 if not
	// given.
	IdleTimeout time.Duration
}

// ErrorResponse is the error response for a refused request.
type ErrorResponse struct {
	Status int
	// RetryAfter is the time after which the caller may retry, 0 for none.
	RetryAfter time.Duration
	// Message is a message for people.
	Message string
}
