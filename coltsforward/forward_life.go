// Package coltsforward is the aggregate of one forwarded request: which route it
// takes, on whose behalf, how long it may last, what may follow a failed attempt, and
// what its caller is told if no answer comes.
package coltsforward

// A Life belongs to the one goroutine that serves the request. It never says that a
// request did not run unless every attempt is known not to have run it.

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsweights"
)

const (
	// sparedTime is what an attempt must have left to be worth making: less is used
	// up by the way to the upstream and back.
	sparedTime = 10 * time.Millisecond
	// sendBy is the share of a route's goal within which a request must be sent to be
	// on time: the rest is what an upstream with room takes to begin.
	sendBy = 0.4
	// patience is how many times its goal a request waits for room: callers leave after
	// four times theirs.
	patience = 3
	// retryAfterCrest is when a caller may come again whose request waited in vain: a
	// crest lasts a few seconds.
	retryAfterCrest = 2500 * time.Millisecond
	// retryAfterRefusal is when a caller may come again after a refusal for want of
	// room: a few answers of ordinary length later.
	retryAfterRefusal = 500 * time.Millisecond
	// retryAfterStart is when a caller may come again to an instance that does not
	// know the route table or any upstream yet: an election and a period of reports
	// after a start of the whole system.
	retryAfterStart = 2 * time.Second
)

// Part is a part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// InboundRequest is a request as its caller sent it, decoded.
type InboundRequest struct {
	// ID names the request in every message and log line.
	ID       string
	HostName string
	// Path is as it was sent, without the query.
	Path string
	// Timeout is how long the caller waits from now on; zero if it did not say.
	Timeout time.Duration
	// Key is the caller's key, empty for none.
	Key   string
	Model coltsidentity.Model
	// PromptTokens and OutputTokens are what a prompt has and may make at the most.
	PromptTokens int
	OutputTokens int
	// Parts are those of the prompt in order, the last one the request's own.
	Parts []Part
	// LastEvent is the event after which a stream is to go on; empty for none.
	LastEvent string
}

// Life is one request from its arrival to its end.
type Life struct {
	Asked        InboundRequest
	Route        coltsroute.Route
	Service      coltsidentity.Service
	Organisation coltsroute.Organisation
	// Version is that of the route table by which the request is served.
	Version coltsroute.Version
	Arrived time.Time
	// RouteDeadline is when the route's timeout ends the request, CallerDeadline
	// when its caller stops waiting; zero if it did not say.
	RouteDeadline  time.Time
	CallerDeadline time.Time

	tried    []coltsidentity.Upstream
	attempts int
	outcome  coltsattempt.Outcome
	// begun says that a part of a stream has reached the caller.
	begun bool
}

// Begin finds out by which route and on whose behalf a request is served. It returns
// a RefusedError for one that the table does not allow; table is nil if none is known.
func Begin(asked InboundRequest, table *coltsroute.Index, now time.Time) (*Life, error) {
	if table == nil {
		return nil, coltsattempt.NotRun(coltsattempt.ReasonNotReady, "no route table is known yet").WithRetryAt(now.Add(retryAfterStart))
	}
	route, found := table.Match(withoutPort(asked.HostName), asked.Path)
	if !found {
		return nil, coltsattempt.NotRun(coltsattempt.ReasonUnknownPath, "no route of table %d leads from host %q and path %q",
			table.Table.Version, asked.HostName, asked.Path)
	}
	l := &Life{
		Asked: asked, Route: route, Version: table.Table.Version, Arrived: now,
		RouteDeadline: now.Add(route.Timeout), outcome: coltsattempt.OutcomeNotRun,
	}
	if asked.Timeout > 0 {
		l.CallerDeadline = now.Add(asked.Timeout)
	}
	holder, known := table.Holder(asked.Key)
	if table.Table.Keyed && !route.Public && !known {
		return nil, coltsattempt.NotRun(coltsattempt.ReasonUnknownKey, "no organisation of table %d holds the key", table.Table.Version)
	}
	l.Organisation = holder
	l.Service = route.Choose(asked.ID)
	return l, nil
}

// withoutPort takes the port off a host name.
func withoutPort(hostName string) string {
	if i := strings.LastIndexByte(hostName, ':'); i >= 0 && !strings.HasSuffix(hostName, "]") {
		return hostName[:i]
	}
	return hostName
}

// Deadline returns when the request is given up.
func (l *Life) Deadline() time.Time {
	if !l.CallerDeadline.IsZero() && l.CallerDeadline.Before(l.RouteDeadline) {
		return l.CallerDeadline
	}
	return l.RouteDeadline
}

// OnTimeUntil returns until when the request can still be on time if it is sent to an
// upstream that has room.
func (l *Life) OnTimeUntil() time.Time {
	return l.Arrived.Add(time.Duration(sendBy * float64(l.Route.Goal)))
}

// PatientUntil returns until when the request may wait for room: callers leave streams
// that say nothing for some time.
func (l *Life) PatientUntil() time.Time {
	until := l.Arrived.Add(time.Duration(patience * float64(l.Route.Goal)))
	if deadline := l.Deadline(); deadline.Before(until) {
		return deadline
	}
	return until
}

// Priority returns the request's rank, 0 before all others.
func (l *Life) Priority() int {
	if l.Organisation.Ranked {
		return l.Organisation.Priority
	}
	return l.Route.Priority
}

// Affinity names what the request shares with others: the last of its parts that is
// not its own.
func (l *Life) Affinity() string {
	if n := len(l.Asked.Parts); n >= 2 {
		return l.Asked.Parts[n-2].ID
	}
	if len(l.Asked.Parts) == 1 {
		return l.Asked.Parts[0].ID
	}
	return ""
}

// SharedParts returns the parts of the prompt that other requests may share: all but the
// last, which is the request's own.
func (l *Life) SharedParts() []Part {
	if !l.Route.Sticky || len(l.Asked.Parts) < 2 {
		return nil
	}
	return l.Asked.Parts[:len(l.Asked.Parts)-1]
}

// Tried returns the upstreams that were tried, which are not tried again.
func (l *Life) Tried() []coltsidentity.Upstream { return l.tried }

// Attempts returns the number of attempts whose bytes reached an upstream.
func (l *Life) Attempts() int { return l.attempts }

// Sending counts an attempt at an upstream that is about to be made.
func (l *Life) Sending(to coltsidentity.Upstream) {
	l.tried = append(l.tried, to)
	l.attempts++
}

// Begun takes in that a part of the answer has reached the caller.
func (l *Life) Begun() { l.begun = true }

// Misdirected takes an attempt back that reached another upstream than the one that
// was meant, which did not run it.
func (l *Life) Misdirected() { l.attempts-- }

// Failed takes in how an attempt failed and says what may follow. budget takes a retry
// from the budget that all instances share; it is asked only if a retry may be made.
func (l *Life) Failed(f coltsattempt.Failure, budget func() bool, now time.Time) coltsattempt.Verdict {
	if f.Phase == coltsattempt.PhaseUnsent {
		l.attempts--
	}
	l.outcome = coltsattempt.OutcomeOf(f, l.outcome)
	verdict := coltsattempt.Judge(f, coltsattempt.History{
		Attempts:    l.attempts,
		MaxAttempts: max(1, l.Route.MaxAttempts),
		Deadline:    l.Deadline().Add(-sparedTime),
		Idempotent:  l.Route.Idempotent(),
	}, now)
	if verdict == coltsattempt.VerdictFail {
		return verdict
	}
	if l.begun && verdict == coltsattempt.VerdictRetry {
		verdict = coltsattempt.VerdictResume
	}
	if f.Phase != coltsattempt.PhaseUnsent && !budget() {
		return coltsattempt.VerdictFail
	}
	return verdict
}

// Refusal returns what the caller is told after attempts that all failed.
func (l *Life) Refusal(f coltsattempt.Failure, now time.Time) *coltsattempt.RefusedError {
	refused := &coltsattempt.RefusedError{Outcome: l.outcome, Reason: coltsattempt.ReasonUpstream, Detail: f.Detail}
	if !now.Before(l.Deadline()) {
		refused.Reason = coltsattempt.ReasonDeadline
	}
	if l.outcome == coltsattempt.OutcomeNotRun {
		refused.RetryAt = now.Add(retryAfterRefusal)
		if f.RetryAt.After(refused.RetryAt) {
			refused.RetryAt = f.RetryAt
		}
	}
	return refused
}

// NoUpstream returns what the caller is told if there is none to send to.
func (l *Life) NoUpstream(err error, now time.Time) *coltsattempt.RefusedError {
	refused := &coltsattempt.RefusedError{Outcome: l.outcome, Reason: coltsattempt.ReasonNoUpstream, Detail: err.Error()}
	if l.outcome != coltsattempt.OutcomeNotRun {
		return refused
	}
	refused.RetryAt = now.Add(retryAfterRefusal)
	var full *coltsbalance.FullError
	if errors.As(err, &full) {
		refused.Reason = coltsattempt.ReasonOverloaded
		refused.RetryAt = now.Add(retryAfterCrest)
	}
	var none *coltsbalance.NoUpstreamError
	if errors.As(err, &none) && none.Known == 0 {
		refused.RetryAt = now.Add(retryAfterStart)
	}
	return refused
}

// CacheScope names what kept cache may be shared within: one weight version, and one
// organisation if it is isolated.
func CacheScope(n coltsweights.Number, o coltsroute.Organisation) string {
	scope := "v" + strconv.FormatUint(uint64(n), 10)
	if o.Isolated {
		scope += "/" + string(o.Name)
	}
	return scope
}
