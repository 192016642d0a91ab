// Package coltsforward tracks one forwarded request: its route, the organisation that
// sent it, its deadlines, whether a failed attempt is retried or resumed, and the refusal
// that its caller gets if there is no answer.
package coltsforward

// The state of a request is used only by the goroutine that serves it. A refusal reports
// a request as not run only if no attempt can have run it.

import (
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltspoison"
	"coltsfootstall/coltsroute"
)

const (
	// minAttemptTime is the minimum time left before the deadline for another attempt to be
	// made. The round trip to the upstream alone would use up anything less.
	minAttemptTime = 10 * time.Millisecond
	// dispatchGoalShare is the share of a route's goal within which a request must be sent
	// to meet the goal. An upstream with room needs the rest to start its answer.
	dispatchGoalShare = 0.4
	// queueGoalFactor is the longest time that a request is queued for room, as a multiple
	// of its route's goal. Callers hang up after four times their goal.
	queueGoalFactor = 3
	// minPatience, patienceGoalFactor and patienceGapFactor say when callers leave a silent
	// stream: after the longest of minPatience and these multiples of the route's goals.
	minPatience        = 2 * time.Second
	patienceGoalFactor = 4
	patienceGapFactor  = 8
	// retryAfterOverload is the retry delay for callers whose request found no room while
	// it was queued: a load peak lasts a few seconds.
	retryAfterOverload = 2500 * time.Millisecond
	// retryAfterRefusal is the retry delay for the callers of all other requests that did
	// not run, usually because an upstream was full. A few answers of ordinary length end
	// within this time.
	retryAfterRefusal = 500 * time.Millisecond
	// retryAfterStart is the retry delay while an instance has no route table or knows no
	// upstream yet. After a start of the whole system this takes a leader election and one
	// reporting interval.
	retryAfterStart = 2 * time.Second
	// retryAfterEvacuation is the retry delay if only upstreams in evacuated data centres could serve
	// a request. Operators evacuate for longer, but callers should come back soon after the end, and
	// an operator who sees the refusals may revoke the order.
	retryAfterEvacuation = 3 * time.Second
)

// retrySpread is the time over which callers that were refused until the same moment come back.
const retrySpread = time.Second

// Part is one part of a prompt. Requests that have a part with the same ID can share its KV
// cache.
type Part struct {
	ID     string
	Tokens int
}

// InboundRequest is a decoded request as its caller sent it.
type InboundRequest struct {
	// ID identifies the request in all messages and log lines.
	ID       string
	HostName string
	// Path is the path as sent, without the query.
	Path string
	// Timeout is how much longer the caller waits for the answer; zero if it gave no limit.
	Timeout time.Duration
	// Key is the caller's API key; empty if it sent none.
	Key   string
	Model coltsidentity.Model
	// PromptTokens is the length of the prompt in tokens, OutputTokens the maximum length
	// of the answer.
	PromptTokens int
	OutputTokens int
	// Parts are the parts of the prompt in order. The last one is not shared with other
	// requests.
	Parts []Part
	// LastEventID is the ID of the last event that the caller received of a stream that is
	// to be resumed; empty for a new stream.
	LastEventID string
}

// Request is the state of one request from its arrival to its end.
type Request struct {
	Inbound      InboundRequest
	Route        coltsroute.Route
	Service      coltsidentity.Service
	Organisation coltsroute.Organisation
	// Version is the version of the route table that the request was matched against.
	Version coltsroute.Version
	Arrived time.Time
	// RouteDeadline is when the route's timeout expires. CallerDeadline is when the caller
	// stops waiting; zero if it gave no limit.
	RouteDeadline  time.Time
	CallerDeadline time.Time

	tried    []coltsidentity.Upstream
	attempts int
	outcome  coltsattempt.Outcome
	// started reports whether part of the answer has reached the caller.
	started bool
}

// NewRequest matches a request with a route and its key with an organisation, and chooses the
// service. It returns a RefusedError if the route table does not allow the request, or if
// table is nil because the instance has none yet.
func NewRequest(inbound InboundRequest, table *coltsroute.Index, now time.Time) (*Request, error) {
	if table == nil {
		return nil, coltsattempt.NotRun(coltsattempt.ReasonNotReady, "no route table is known yet").
			WithRetryAt(now.Add(retryAfterStart))
	}
	route, found := table.Match(withoutPort(inbound.HostName), inbound.Path)
	if !found {
		return nil, coltsattempt.NotRun(coltsattempt.ReasonUnknownPath,
			"route table %d has no route for host %q and path %q", table.Table.Version, inbound.HostName, inbound.Path)
	}
	r := &Request{
		Inbound: inbound, Route: route, Version: table.Table.Version, Arrived: now,
		RouteDeadline: now.Add(route.Timeout), outcome: coltsattempt.OutcomeNotRun,
	}
	if inbound.Timeout > 0 {
		r.CallerDeadline = now.Add(inbound.Timeout)
	}
	organisation, known := table.OrganisationByKey(inbound.Key)
	if table.Table.RequiresKey && !route.Public && !known {
		return nil, coltsattempt.NotRun(coltsattempt.ReasonUnknownKey,
			"no organisation in route table %d has this key", table.Table.Version)
	}
	r.Organisation = organisation
	r.Service = route.ChooseService(inbound.ID)
	return r, nil
}

// withoutPort returns a host name without its port.
func withoutPort(hostName string) string {
	if i := strings.LastIndexByte(hostName, ':'); i >= 0 && !strings.HasSuffix(hostName, "]") {
		return hostName[:i]
	}
	return hostName
}

// Deadline returns the earlier of the route's and the caller's deadline.
func (r *Request) Deadline() time.Time {
	if !r.CallerDeadline.IsZero() && r.CallerDeadline.Before(r.RouteDeadline) {
		return r.CallerDeadline
	}
	return r.RouteDeadline
}

// DispatchDeadline returns the latest time at which the request can be sent to an upstream with
// room and still meet the route's goal.
func (r *Request) DispatchDeadline() time.Time {
	return r.Arrived.Add(time.Duration(dispatchGoalShare * float64(r.Route.LatencyGoal)))
}

// QueueDeadline returns the time until which the request may be queued for room. Callers
// hang up if a stream stays silent for too long, and a request that is sent less than its
// goal before its deadline could not be answered in time any more.
func (r *Request) QueueDeadline() time.Time {
	queueDeadline := r.Arrived.Add(time.Duration(queueGoalFactor * float64(r.Route.LatencyGoal)))
	if latest := r.Deadline().Add(-r.Route.LatencyGoal); latest.Before(queueDeadline) {
		queueDeadline = latest
	}
	if queueDeadline.Before(r.Arrived) {
		return r.Arrived
	}
	return queueDeadline
}

// StartWithin returns the time within which an upstream must start its answer: callers leave a
// stream that stays silent for longer, and the deadline ends every request.
func (r *Request) StartWithin(now time.Time) time.Duration {
	patience := max(minPatience, patienceGoalFactor*r.Route.LatencyGoal, patienceGapFactor*r.Route.GapGoal)
	return max(0, min(patience, r.Deadline().Sub(now)))
}

// Priority returns the request's priority; 0 is the highest. An organisation's own
// priority overrides the route's.
func (r *Request) Priority() int {
	if r.Organisation.HasPriority {
		return r.Organisation.Priority
	}
	return r.Route.Priority
}

// Affinity returns the affinity key of the request: the ID of the last part of its prompt
// that other requests may share, or of its only part. It is empty for a request without
// parts.
func (r *Request) Affinity() string {
	if n := len(r.Inbound.Parts); n >= 2 {
		return r.Inbound.Parts[n-2].ID
	}
	if len(r.Inbound.Parts) == 1 {
		return r.Inbound.Parts[0].ID
	}
	return ""
}

// SharedParts returns the parts of the prompt that other requests may share: all but the
// last one. It returns nil unless the route is sticky.
func (r *Request) SharedParts() []Part {
	if !r.Route.Sticky || len(r.Inbound.Parts) < 2 {
		return nil
	}
	return r.Inbound.Parts[:len(r.Inbound.Parts)-1]
}

// ObservedParts returns the parts of the prompt that may crash upstreams: all but the last one, whatever
// the route.
func (r *Request) ObservedParts() []coltspoison.Part {
	var parts []coltspoison.Part
	for i := range len(r.Inbound.Parts) - 1 {
		parts = append(parts, coltspoison.Part{Model: r.Inbound.Model, ID: r.Inbound.Parts[i].ID})
	}
	return coltspoison.Observable(parts)
}

// Tried returns the upstreams that the request was already sent to. They are not chosen
// again.
func (r *Request) Tried() []coltsidentity.Upstream { return r.tried }

// Attempts returns the number of attempts counted against the route's limit. Attempts
// that were not sent or reached the wrong upstream are not counted.
func (r *Request) Attempts() int { return r.attempts }

// CountAttempt counts an attempt that is about to be made.
func (r *Request) CountAttempt(to coltsidentity.Upstream) {
	r.tried = append(r.tried, to)
	r.attempts++
}

// AnswerStarted records that part of the answer has reached the caller. A later retry then
// resumes the answer.
func (r *Request) AnswerStarted() { r.started = true }

// UncountAttempt stops counting the last attempt: it reached a different upstream than the
// intended one, which did not run it.
func (r *Request) UncountAttempt() { r.attempts-- }

// RecordFailure records a failed attempt and returns whether the request fails, is retried
// or is resumed. takeRetry takes one retry from the retry budget that all instances share
// and reports whether there was one. It is called only if the request may be sent again and
// bytes of the failed attempt have left this process.
func (r *Request) RecordFailure(f coltsattempt.Failure, takeRetry func() bool, now time.Time) coltsattempt.Verdict {
	if f.Phase == coltsattempt.PhaseUnsent {
		r.attempts--
	}
	r.outcome = coltsattempt.OutcomeOf(f, r.outcome)
	verdict := coltsattempt.Judge(f, coltsattempt.History{
		Attempts:    r.attempts,
		MaxAttempts: max(1, r.Route.MaxAttempts),
		Deadline:    r.Deadline().Add(-minAttemptTime),
		Idempotent:  r.Route.Idempotent(),
	}, now)
	if verdict == coltsattempt.VerdictFail {
		return verdict
	}
	if r.started && verdict == coltsattempt.VerdictRetry {
		verdict = coltsattempt.VerdictResume
	}
	if f.Phase != coltsattempt.PhaseUnsent && !takeRetry() {
		return coltsattempt.VerdictFail
	}
	return verdict
}

// Refusal returns the refusal for the caller after the last attempt has failed.
func (r *Request) Refusal(f coltsattempt.Failure, now time.Time) *coltsattempt.RefusedError {
	refused := &coltsattempt.RefusedError{Outcome: r.outcome, Reason: coltsattempt.ReasonUpstream, Detail: f.Detail}
	if !now.Before(r.Deadline()) {
		refused.Reason = coltsattempt.ReasonDeadline
	}
	if r.outcome == coltsattempt.OutcomeNotRun {
		refused.RetryAt = now.Add(retryAfterRefusal)
		if f.RetryAt.After(refused.RetryAt) {
			refused.RetryAt = f.RetryAt
		}
	}
	return refused
}

// NoUpstreamRefusal returns the refusal for the caller if no upstream was chosen. err is the
// balancer's error, or a coltspoison.BlockedError.
func (r *Request) NoUpstreamRefusal(err error, now time.Time) *coltsattempt.RefusedError {
	refused := &coltsattempt.RefusedError{Outcome: r.outcome, Reason: coltsattempt.ReasonNoUpstream, Detail: err.Error()}
	if r.outcome != coltsattempt.OutcomeNotRun {
		return refused
	}
	refused.RetryAt = now.Add(retryAfterRefusal)
	var fullErr *coltsbalance.FullError
	if errors.As(err, &fullErr) {
		refused.Reason = coltsattempt.ReasonOverloaded
		refused.RetryAt = now.Add(retryAfterOverload)
	}
	var noUpstreamErr *coltsbalance.NoUpstreamError
	if errors.As(err, &noUpstreamErr) && noUpstreamErr.Known == 0 {
		refused.RetryAt = now.Add(retryAfterStart)
	}
	var pausedErr *coltsbalance.PausedError
	if errors.As(err, &pausedErr) {
		refused.Reason = coltsattempt.ReasonOverloaded
		refused.RetryAt = pausedErr.Until.Add(rand.N(retrySpread))
	}
	var evacuatedErr *coltsbalance.EvacuatedError
	if errors.As(err, &evacuatedErr) {
		refused.RetryAt = now.Add(retryAfterEvacuation).Add(rand.N(retrySpread))
	}
	var blockedErr *coltspoison.BlockedError
	if errors.As(err, &blockedErr) {
		refused.Reason = coltsattempt.ReasonQuarantined
		refused.RetryAt = blockedErr.Until
	}
	return refused
}
