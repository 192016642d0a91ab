// Package coltsgateway is an entry instance that forwards requests by the route table:
// the adapter between callers, upstreams and the aggregates that decide.
//
// It knows how requests travel and nothing of what their headers are called: a Dialect
// translates those.
package coltsgateway

// The dialect is the seam between the product and the names on somebody's wire. Each
// function is called with what was parsed by the HTTP library and returns typed
// values, or appends text; none of them decides anything.

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

// Dialect translates between a wire and the product's types. All fields are needed.
type Dialect struct {
	// ReadyPath is where a balancer asks for readiness.
	ReadyPath string
	// DecodeTable reads a route table's text.
	DecodeTable func(source []byte) (coltsroute.Table, error)
	// ReadRequest reads what a caller says of its request.
	ReadRequest func(h *fasthttp.RequestHeader) (coltsforward.InboundRequest, error)
	// AppendRequest appends the head of a request as an upstream gets it, without
	// the framing of its body and the empty line.
	AppendRequest func(dst []byte, h *fasthttp.RequestHeader, s Sending) []byte
	// ReadAnswer reads what an upstream says of its answer.
	ReadAnswer func(h *fasthttp.ResponseHeader) Answer
	// AppendAnswer appends the lines of an upstream's answer that its caller gets,
	// without the framing of the body and the empty line.
	AppendAnswer func(dst []byte, h *fasthttp.ResponseHeader) []byte
	// Refusal says how a caller is told that its request was refused.
	Refusal func(e *coltsattempt.RefusedError, now time.Time) Refusal
	// AppendRefusal appends the lines that say so, without the framing and the empty
	// line; id is the request's.
	AppendRefusal func(dst []byte, r Refusal, id string) []byte
	// EventID reads an event's identity out of its lines, empty for none.
	EventID func(event []byte) []byte
}

// Sending is what the instance adds to a request that it sends on.
type Sending struct {
	Upstream     coltsidentity.Upstream
	Organisation coltsidentity.Organisation
	// Remaining is how long the request may still take.
	Remaining time.Duration
	// Rank is the request's place among others, 0 before all.
	Rank int
	// Weights is the version that must serve it, 0 for any.
	Weights coltsweights.Number
	// CacheScope keeps apart what may not be shared; empty for what all share.
	CacheScope string
	// LastEvent is the event after which a stream goes on, empty to begin.
	LastEvent string
	// Fetch and Save name for each part of the prompt the store from which it is
	// fetched and the one in which it is saved; the zero address for none. Both are
	// nil if there is nothing to move.
	Fetch []netip.AddrPort
	Save  []netip.AddrPort
}

// Answer is what the head of an upstream's answer says.
type Answer struct {
	// RequestID is the request that it answers, empty if it does not say.
	RequestID string
	// Sealed says that it carries the mark of an upstream that ran the request.
	Sealed bool
	// NotRun says that the request did not run, Misdirected that another upstream
	// was reached than the one that was meant, or one with other weights.
	NotRun      bool
	Misdirected bool
	// From is the upstream that answered, empty if it does not say.
	From coltsidentity.Upstream
	// PromisesNotRun says that its status would tell the caller that the request
	// did not run.
	PromisesNotRun bool
	// KeptFor is how long the connection is kept idle, 0 if it does not say.
	KeptFor time.Duration
}

// Refusal is a refusal in the terms of the wire.
type Refusal struct {
	Status int
	// RetryAfter is the wait until a new try, 0 for none.
	RetryAfter time.Duration
	// Text explains it to a person.
	Text string
}
