// Package coltsattempt holds the rules on attempts: what a failure says about
// whether a request ran, what may be tried again, and which requests are kept
// away from upstreams because they crash them.
package coltsattempt

// The outcome is part of every refusal, because a caller of a press run must
// know whether to send it again. "not-run" is said only where no byte of the
// request can have reached a service that acts on it.

import (
	"fmt"
	"time"
)

// Outcome says what is known about whether a request ran.
type Outcome string

// The outcomes.
const (
	// OutcomeNotRun means that the request truly did not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that it may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRan means that it ran, wholly or in part.
	OutcomeRan Outcome = "ran"
)

// Reason is a stable word for why a request was refused.
type Reason string

// The reasons.
const (
	ReasonBadRequest    Reason = "bad-request"
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
)

// RefusedError is a refusal as the caller is told it.
type RefusedError struct {
	Outcome Outcome
	Reason  Reason
	Detail  string
	// RetryAt is when a new try may succeed; zero if that is not known.
	RetryAt time.Time
}

// Error gives the reason, the outcome and the detail.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s (outcome %s): %s", e.Reason, e.Outcome, e.Detail)
}

// NotRun returns a refusal of a request that did not run.
func NotRun(reason Reason, format string, args ...any) *RefusedError {
	return &RefusedError{Outcome: OutcomeNotRun, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// Unknown returns a refusal of a request that may have run.
func Unknown(reason Reason, format string, args ...any) *RefusedError {
	return &RefusedError{Outcome: OutcomeUnknown, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// Ran returns a refusal of a request that ran, wholly or in part.
func Ran(reason Reason, format string, args ...any) *RefusedError {
	return &RefusedError{Outcome: OutcomeRan, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAt returns the refusal with the time from which a new try may succeed.
func (e *RefusedError) WithRetryAt(retryAt time.Time) *RefusedError {
	e.RetryAt = retryAt
	return e
}
