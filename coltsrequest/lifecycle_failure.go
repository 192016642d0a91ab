package coltsrequest

// This file handles overdue and failed attempts, callers that disconnect, and the
// refusals that callers get.

import (
	"time"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsrouting"
)

// overloadRefusal returns a refusal if the request's expected queue wait exceeds
// MaxQueueWait, so that the request is refused early as not run instead of timing
// out. Up to twice MaxQueueWait, only requests of organisations above their fair
// share are refused. A request that was dispatched before is never refused for
// overload.
func (l *Lifecycle) overloadRefusal(choice coltsrouting.Choice, now time.Time) *coltsattempt.RefusedError {
	excess := choice.QueueWait - l.cfg.MaxQueueWait
	if l.cfg.MaxQueueWait <= 0 || excess <= 0 || l.attempts > 0 {
		return nil
	}
	if excess < l.cfg.MaxQueueWait && !l.cfg.Admission.ExceedsFairShare(l.prompt.Organisation.ID) {
		return nil
	}
	return coltsattempt.NotRun(coltsattempt.ReasonOverloaded,
		"the expected queue wait is %v", choice.QueueWait.Round(time.Millisecond)).WithRetryAt(now.Add(excess))
}

// overdueDelay returns the time after which a missing first token is overdue. If a
// restore stalls, the runner recomputes the pieces itself, so the delay leaves time
// for that: a restart on another runner would be slower.
func (l *Lifecycle) overdueDelay() time.Duration {
	tokensPerSecond := float64(l.choice.Candidate.PrefillPerSecond)
	recompute := time.Duration(float64(l.prompt.Tokens()) / tokensPerSecond * float64(time.Second))
	withoutRestore := l.choice.QueueWait + recompute
	return max(minOverdueDelay, overdueFactor*l.choice.Expected, withoutRestore+withoutRestore/2)
}

// FirstTokenOverdue handles an attempt without a first token at its dispatch's
// OverdueAt. It returns true and another dispatch if a different upstream is
// expected to be faster; the front end then cancels the current attempt. Otherwise
// it returns false and the front end keeps waiting. The new attempt counts against
// the retry budget, and the cancelled one is never charged.
func (l *Lifecycle) FirstTokenOverdue(now time.Time) (Action, bool) {
	if l.prefilled || l.deliveredParts > 0 || l.attempts >= l.cfg.MaxAttempts {
		return Action{}, false
	}
	current := l.upstream()
	l.tried = append(l.tried, current)
	choice, found := l.choose(now)
	faster := found && choice.Expected < now.Sub(l.sentAt)
	if !faster || !l.cfg.Budget.Spend(l.prompt.Organisation.ID) {
		l.tried = l.tried[:len(l.tried)-1]
		return Action{}, false
	}
	l.endAttempt(coltsattempt.Failure{Phase: coltsattempt.PhaseSent}, now)
	l.outcome = coltsattempt.OutcomeOf(coltsattempt.Failure{Phase: coltsattempt.PhaseSent}, l.outcome)
	return l.dispatchTo(choice, now), true
}

// noUpstreamRefusal returns the refusal for a request that no upstream can take.
func (l *Lifecycle) noUpstreamRefusal(now time.Time) *coltsattempt.RefusedError {
	refusal := &coltsattempt.RefusedError{
		Outcome: l.outcome,
		Reason:  coltsattempt.ReasonNoUpstream,
		Detail:  "no upstream can take version " + string(l.prompt.Version) + " of " + string(l.prompt.Model),
	}
	retryAt := now.Add(busyRetryAfter)
	if pausedUntil := l.pausedUntil(now); pausedUntil.After(retryAt) {
		retryAt = pausedUntil
	}
	return refusal.WithRetryAt(retryAt)
}

// pausedUntil returns when the first of the runners that have asked for a pause may get requests again; the
// zero time if none has.
func (l *Lifecycle) pausedUntil(now time.Time) time.Time {
	var first time.Time
	modelVersion := coltsfleet.ModelVersion{Model: l.prompt.Model, Version: l.prompt.Version}
	for _, c := range l.cfg.Fleet.Runners(modelVersion, l.cfg.Document(), now) {
		if !c.PausedUntil.IsZero() && (first.IsZero() || c.PausedUntil.Before(first)) {
			first = c.PausedUntil
		}
	}
	return first
}

// Failed handles an attempt that ended before the whole answer was received. The
// action is another dispatch or a refusal.
func (l *Lifecycle) Failed(f coltsattempt.Failure, now time.Time) Action {
	l.endAttempt(f, now)
	history := coltsattempt.History{
		Attempts:    l.attempts,
		MaxAttempts: l.cfg.MaxAttempts,
		Deadline:    l.prompt.Deadline,
		Idempotent:  true,
	}
	l.outcome = coltsattempt.OutcomeOf(f, l.outcome)
	if coltsattempt.Judge(f, history, now) == coltsattempt.VerdictFail {
		return l.refuse(l.refusalFor(f, now), now)
	}
	if until := l.cfg.Quarantine.BlockedUntil(l.fingerprint, now); !until.IsZero() {
		return l.refuse(l.refusalFor(f, now).WithRetryAt(until), now)
	}
	// An unsent attempt put no load on an upstream, so its retry is not counted
	// against the budget.
	if f.Phase != coltsattempt.PhaseUnsent && !l.cfg.Budget.Spend(l.prompt.Organisation.ID) {
		return l.refuse(l.refusalFor(f, now), now)
	}
	l.tried = append(l.tried, l.upstream())
	return l.dispatch(now)
}

// endAttempt reports the failed attempt to the fleet, the links and the quarantine.
func (l *Lifecycle) endAttempt(f coltsattempt.Failure, now time.Time) {
	if !l.prefilled {
		l.cfg.Fleet.RemovePrefill(l.upstream(), l.expectedComputeTokens(), l.sentAt)
		l.endRestore(0, 0)
	}
	if f.Phase == coltsattempt.PhaseRefused {
		l.cfg.Fleet.RecordPause(l.upstream(), f.RetryAt, now)
		l.cfg.Fleet.RecordAbandoned(l.upstream())
		return
	}
	l.cfg.Fleet.RecordFailure(l.upstream(), isUpstreamGone(f), now)
	if f.Crashed && f.Phase >= coltsattempt.PhaseSent {
		crash := coltsattempt.Crash{Upstream: l.upstream(), SentAt: l.sentAt, At: now}
		l.cfg.OnSuspect(l.cfg.Quarantine.Record(l.fingerprint, crash, now))
	}
}

// isUpstreamGone reports whether a failure indicates that the upstream is down or
// unreachable.
func isUpstreamGone(f coltsattempt.Failure) bool {
	return f.Crashed || f.Phase == coltsattempt.PhaseUnsent
}

// refusalFor returns the refusal for a request whose last attempt failed.
func (l *Lifecycle) refusalFor(f coltsattempt.Failure, now time.Time) *coltsattempt.RefusedError {
	reason := coltsattempt.ReasonUpstream
	switch {
	case l.deliveredParts > 0:
		reason = coltsattempt.ReasonBroken
	case !now.Before(l.prompt.Deadline):
		reason = coltsattempt.ReasonDeadline
	case f.Phase == coltsattempt.PhaseRefused:
		reason = coltsattempt.ReasonOverloaded
	}
	refusal := &coltsattempt.RefusedError{Outcome: l.outcome, Reason: reason, Detail: f.Detail, RetryAt: f.RetryAt}
	if refusal.RetryAt.IsZero() && !f.Permanent {
		refusal.RetryAt = now.Add(busyRetryAfter)
	}
	return refusal
}

// CallerDisconnected handles the caller's disconnection and returns the charge for the
// tokens processed so far. The front end cancels the current attempt.
func (l *Lifecycle) CallerDisconnected(now time.Time) Charge {
	if l.ended {
		return Charge{}
	}
	if l.attempts > 0 && !l.prefilled {
		l.cfg.Fleet.RemovePrefill(l.upstream(), l.expectedComputeTokens(), l.sentAt)
		l.endRestore(0, 0)
	}
	if l.attempts > 0 {
		l.cfg.Fleet.RecordAbandoned(l.upstream())
	}
	l.tokens.Generated = l.deliveredParts
	charge := l.charge()
	l.release(now)
	return charge
}
