// Package coltsattempt holds the rules for attempts at upstreams: what a failure says about
// whether a request ran, when it may be retried, how many retries are allowed, and which
// requests are quarantined because they crash upstreams.
package coltsattempt

// Every refusal contains the outcome, because the caller has to know whether it may send
// the request again, for example a request for a press run. The outcome is "not-run" only
// if no byte of the request can have reached a service that acts on it.

import (
	"fmt"
	"time"
)

// Outcome is what is known about whether a request ran.
type Outcome string

// The outcomes.
const (
	// OutcomeNotRun means that the request certainly did not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRan means that the request ran, completely or in part.
	OutcomeRan Outcome = "ran"
)

// Reason identifies why a request was refused. The identifiers are stable.
type Reason string

// The reasons.
const (
	ReasonBadRequest    Reason = "bad-request"
	ReasonTooLong       Reason = "too-long"
	ReasonTooSlow       Reason = "too-slow"
	ReasonUnknownKey    Reason = "unknown-key"
	ReasonNotAllowed    Reason = "not-allowed"
	ReasonUnknownModel  Reason = "unknown-model"
	ReasonUnknownPath   Reason = "unknown-path"
	ReasonOverLimit     Reason = "over-limit"
	ReasonNoUpstream    Reason = "no-upstream"
	ReasonOverloaded    Reason = "overloaded"
	ReasonDeadline      Reason = "deadline"
	ReasonQuarantined   Reason = "quarantined"
	ReasonKeyMissing    Reason = "idempotency-key-missing"
	ReasonKeyReused     Reason = "idempotency-key-reused"
	ReasonInProgress    Reason = "in-progress"
	ReasonNoLedger      Reason = "ledger-unreachable"
	ReasonUpstream      Reason = "upstream-failed"
	ReasonBroken        Reason = "stream-broken"
	ReasonCallerLeft    Reason = "caller-left"
	ReasonNotReady      Reason = "not-ready"
	ReasonUnknownResult Reason = "result-unknown"
	ReasonUnexpected    Reason = "unexpected-error"
)

// RefusedError reports to the caller that its request was refused or has failed.
type RefusedError struct {
	Outcome Outcome
	Reason  Reason
	// Detail is an explanation for humans.
	Detail string
	// RetryAt is the time from which a retry may succeed; zero if unknown.
	RetryAt time.Time
}

// Error returns the reason, the outcome and the detail.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s (outcome %s): %s", e.Reason, e.Outcome, e.Detail)
}

// NotRun returns a refusal of a request that did not run. The detail is formatted as by
// fmt.Sprintf.
func NotRun(reason Reason, format string, args ...any) *RefusedError {
	return &RefusedError{Outcome: OutcomeNotRun, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// Unknown is like NotRun for a request that may have run.
func Unknown(reason Reason, format string, args ...any) *RefusedError {
	return &RefusedError{Outcome: OutcomeUnknown, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// Ran is like NotRun for a request that ran, completely or in part.
func Ran(reason Reason, format string, args ...any) *RefusedError {
	return &RefusedError{Outcome: OutcomeRan, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAt sets the time from which a retry may succeed, and returns the refusal.
func (e *RefusedError) WithRetryAt(retryAt time.Time) *RefusedError {
	e.RetryAt = retryAt
	return e
}
