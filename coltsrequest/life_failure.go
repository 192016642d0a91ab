package coltsrequest

// A life whose attempt goes badly: overdue, failed, left by its caller; what is tried
// next, and what the caller is told.

import (
	"time"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsrouting"
)

// overloaded refuses a request early that would wait too long for its turn, as not
// run, rather than let it time out. While the wait is not twice too long, only
// organisations that have more than their share under way are refused. What has
// been tried before is not refused for this reason.
func (l *Life) overloaded(choice coltsrouting.Choice, now time.Time) *coltsattempt.RefusedError {
	over := choice.Queue - l.cfg.MaxQueue
	if l.cfg.MaxQueue <= 0 || over <= 0 || l.attempts > 0 {
		return nil
	}
	if over < l.cfg.MaxQueue && !l.cfg.Admission.OverShare(l.prompt.Organisation.ID) {
		return nil
	}
	return coltsattempt.NotRun(coltsattempt.ReasonOverloaded,
		"the shortest queue takes %v", choice.Queue.Round(time.Millisecond)).WithRetryAt(now.Add(over))
}

// patience is how long the first token may take before it counts as overdue. A
// restore that stalls becomes a recompute on the runner itself, so there must be
// time for that, too: to begin anew elsewhere would be slower.
func (l *Life) patience() time.Duration {
	rate := float64(l.choice.Candidate.PrefillPerSecond)
	recompute := time.Duration(float64(l.prompt.Tokens()) / rate * float64(time.Second))
	whole := l.choice.Queue + recompute
	return max(overdueFloor, overdueFactor*l.choice.Expected, whole+whole/2)
}

// Overdue takes in that the attempt under way has given no first token by the time
// that its dispatch named. The action is another dispatch, for which the front end
// cancels the attempt; or there is none and the front end waits on. A second
// attempt is paid for like a retry, and the first is never charged.
func (l *Life) Overdue(now time.Time) (Action, bool) {
	if l.prefilled || l.delivered > 0 || l.attempts >= l.cfg.MaxAttempts {
		return Action{}, false
	}
	slow := l.upstream()
	l.tried = append(l.tried, slow)
	choice, found := l.choose(now)
	worthIt := found && choice.Expected < now.Sub(l.sentAt)
	if !worthIt || !l.cfg.Budget.Spend(l.prompt.Organisation.ID) {
		l.tried = l.tried[:len(l.tried)-1]
		return Action{}, false
	}
	l.endAttempt(coltsattempt.Failure{Phase: coltsattempt.PhaseSent}, now)
	l.outcome = coltsattempt.OutcomeOf(coltsattempt.Failure{Phase: coltsattempt.PhaseSent}, l.outcome)
	return l.dispatchTo(choice, now), true
}

// noUpstream says why nobody can take the request.
func (l *Life) noUpstream(now time.Time) *coltsattempt.RefusedError {
	refusal := &coltsattempt.RefusedError{
		Outcome: l.outcome,
		Reason:  coltsattempt.ReasonNoUpstream,
		Detail:  "no upstream can take version " + string(l.prompt.Version) + " of " + string(l.prompt.Model),
	}
	return refusal.WithRetryAt(now.Add(busyRetryAfter))
}

// Failed takes in that the attempt under way ended without the whole answer. The
// action is another dispatch or a refusal.
func (l *Life) Failed(f coltsattempt.Failure, now time.Time) Action {
	l.endAttempt(f, now)
	history := coltsattempt.History{
		Attempts:    l.attempts,
		MaxAttempts: l.cfg.MaxAttempts,
		Deadline:    l.prompt.Deadline,
		Idempotent:  true,
	}
	l.outcome = coltsattempt.OutcomeOf(f, l.outcome)
	if coltsattempt.Judge(f, history, now) == coltsattempt.VerdictFail {
		return l.refuse(l.refusalOf(f, now), now)
	}
	if until := l.cfg.Quarantine.Blocked(l.fingerprint, now); !until.IsZero() {
		return l.refuse(l.refusalOf(f, now).WithRetryAt(until), now)
	}
	// An attempt that never left cost no upstream anything.
	if f.Phase != coltsattempt.PhaseUnsent && !l.cfg.Budget.Spend(l.prompt.Organisation.ID) {
		return l.refuse(l.refusalOf(f, now), now)
	}
	l.tried = append(l.tried, l.upstream())
	return l.dispatch(now)
}

// endAttempt settles the books of the attempt that failed.
func (l *Life) endAttempt(f coltsattempt.Failure, now time.Time) {
	if !l.prefilled {
		l.cfg.Fleet.Returned(l.upstream(), l.expectedCompute(), l.sentAt)
		l.endRestore(0, 0)
	}
	if f.Phase == coltsattempt.PhaseRefused {
		l.cfg.Fleet.Abandoned(l.upstream())
		return
	}
	l.cfg.Fleet.Failed(l.upstream(), isGone(f), now)
	if f.Crashed && f.Phase >= coltsattempt.PhaseSent {
		l.cfg.OnCrash(l.cfg.Quarantine.Crashed(l.fingerprint, l.upstream(), now))
	}
}

// isGone says whether a failure shows that the upstream is not there at all.
func isGone(f coltsattempt.Failure) bool {
	return f.Crashed || f.Phase == coltsattempt.PhaseUnsent
}

func (l *Life) refusalOf(f coltsattempt.Failure, now time.Time) *coltsattempt.RefusedError {
	reason := coltsattempt.ReasonUpstream
	switch {
	case l.delivered > 0:
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

// CallerLeft takes in that the caller hung up. What ran until then is charged;
// the front end cancels the attempt.
func (l *Life) CallerLeft(now time.Time) Charge {
	if l.ended {
		return Charge{}
	}
	if l.attempts > 0 && !l.prefilled {
		l.cfg.Fleet.Returned(l.upstream(), l.expectedCompute(), l.sentAt)
		l.endRestore(0, 0)
	}
	if l.attempts > 0 {
		l.cfg.Fleet.Abandoned(l.upstream())
	}
	l.tokens.Generated = l.delivered
	charge := l.charge()
	l.leave(now)
	return charge
}
