package coltsattempt

// What follows a failed attempt depends on how far it had got, not on the kind of network
// error: whether any byte of the request was sent, and whether the caller has received part
// of the answer.

import "time"

// Phase is how far an attempt had got when it failed.
type Phase int

// The phases, in order of progress.
const (
	// PhaseUnsent means that no byte of the request left this process.
	PhaseUnsent Phase = iota
	// PhaseRefused means that the upstream answered that it did not run the request.
	PhaseRefused
	// PhaseSent means that bytes of the request were sent and no part of the answer was
	// received.
	PhaseSent
	// PhaseAnswering means that part of the answer was received.
	PhaseAnswering
)

// phaseNames holds the names of the phases in logs.
var phaseNames = [...]string{"unsent", "refused", "sent", "answering"}

// String returns the name of the phase.
func (p Phase) String() string { return phaseNames[p] }

// Failure describes an attempt that ended without a complete answer.
type Failure struct {
	Phase Phase
	// Crashed reports whether the connection to the upstream broke or went silent, as it
	// does when the upstream crashes. It is false if the upstream answered with an error.
	Crashed bool
	// Permanent reports whether every upstream would give the same answer.
	Permanent bool
	// Detail describes the failure for logs and callers.
	Detail string
	// RetryAt is the time from which the upstream asked to be tried again; zero if it gave
	// none.
	RetryAt time.Time
}

// Verdict is what to do after a failed attempt.
type Verdict int

// The verdicts.
const (
	// VerdictFail ends the request.
	VerdictFail Verdict = iota
	// VerdictRetry restarts the request on another upstream.
	VerdictRetry
	// VerdictResume continues the answer after the part that the caller has received.
	VerdictResume
)

// verdictNames holds the names of the verdicts in logs.
var verdictNames = [...]string{"fail", "retry", "resume"}

// String returns the name of the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// History holds the attempts made for a request so far and the limits on further ones.
type History struct {
	// Attempts is the number of attempts made, including the failed one.
	Attempts int
	// MaxAttempts is the highest number of attempts, including the first one.
	MaxAttempts int
	// Deadline is the time from which no further attempt is made.
	Deadline time.Time
	// Idempotent reports whether the request may safely run more than once.
	Idempotent bool
}

// Judge decides whether a request fails, is retried or is resumed after a failed attempt.
func Judge(f Failure, h History, now time.Time) Verdict {
	if f.Permanent || h.Attempts >= h.MaxAttempts || !now.Before(h.Deadline) {
		return VerdictFail
	}
	if !h.Idempotent && f.Phase >= PhaseSent {
		return VerdictFail
	}
	if f.Phase == PhaseAnswering {
		return VerdictResume
	}
	return VerdictRetry
}

// OutcomeOf returns what is known about whether a request ran, given its last failure and
// the outcome of its earlier attempts.
func OutcomeOf(f Failure, earlier Outcome) Outcome {
	if earlier == OutcomeRan || f.Phase == PhaseAnswering {
		return OutcomeRan
	}
	if earlier == OutcomeUnknown || f.Phase == PhaseSent {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}
