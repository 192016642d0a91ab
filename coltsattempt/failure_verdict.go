package coltsattempt

// A failed attempt is judged by how far it had come, never by the kind of the
// network's error: what matters is whether a byte left and whether the caller
// has seen a part of the answer.

import "time"

// Phase says how far an attempt had come when it failed.
type Phase int

// The phases, in order.
const (
	// PhaseUnsent means that no byte of the request left this process.
	PhaseUnsent Phase = iota
	// PhaseRefused means that the upstream answered that it did not run it.
	PhaseRefused
	// PhaseSent means that bytes left, and no part of the answer came.
	PhaseSent
	// PhaseAnswering means that a part of the answer came.
	PhaseAnswering
)

// phaseNames are the phases' names in logs.
var phaseNames = [...]string{"unsent", "refused", "sent", "answering"}

// String names the phase.
func (p Phase) String() string { return phaseNames[p] }

// Failure is how an attempt ended without a whole answer.
type Failure struct {
	Phase Phase
	// Crashed says that the upstream's connection broke or went silent, as it
	// does when the upstream dies, rather than that it answered with an error.
	Crashed bool
	// Permanent says that every upstream would answer likewise.
	Permanent bool
	Detail    string
	// RetryAt is when the upstream asked to be tried again; zero if it did not.
	RetryAt time.Time
}

// Verdict says what to do after a failed attempt.
type Verdict int

// The verdicts.
const (
	// VerdictFail ends the request.
	VerdictFail Verdict = iota
	// VerdictRetry starts it anew on another upstream.
	VerdictRetry
	// VerdictResume goes on at the offset that the caller has seen.
	VerdictResume
)

// verdictNames are the verdicts' names in logs.
var verdictNames = [...]string{"fail", "retry", "resume"}

// String names the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// History is what was tried for a request before.
type History struct {
	Attempts int
	// MaxAttempts bounds the attempts, the first one counted.
	MaxAttempts int
	// Deadline ends the request.
	Deadline time.Time
	// Idempotent says that running it twice does no harm.
	Idempotent bool
}

// Judge says what may follow a failure.
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

// OutcomeOf says what a failed request's caller may be told about it.
func OutcomeOf(f Failure, earlier Outcome) Outcome {
	if earlier == OutcomeRan || f.Phase == PhaseAnswering {
		return OutcomeRan
	}
	if earlier == OutcomeUnknown || f.Phase == PhaseSent {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}
