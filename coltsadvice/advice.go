// Package coltsadvice holds what an upstream process has said about further requests in its responses:
// that it is leaving, or that it wants a pause. Both front ends decide by it where requests go.
package coltsadvice

// Advice belongs to one process. A later process of the same upstream starts without it, and a report
// that an earlier one is ready does not take it back. A pause says nothing about the upstream's health.

import "time"

const (
	// trialTimeout is how long further requests wait for the outcome of the first one after a pause.
	trialTimeout = time.Second
	// maxPause is the longest pause that is kept. A longer one is a mistake in the upstream's answer, or its
	// process has ended by then.
	maxPause = time.Hour
	// minExtension is by how much a pause must be extended to count as a new one.
	minExtension = 100 * time.Millisecond
)

// Advice is the advice of an upstream's newest process. The zero value is that of a process that has said
// nothing. It is not safe for concurrent use; its owner's lock guards it.
type Advice struct {
	// startedAt is when the process started.
	startedAt   time.Time
	leaving     bool
	pausedUntil time.Time
	// resuming is set from the beginning of a pause until the first request after it has an outcome.
	// The others wait for it until trialUntil.
	resuming   bool
	trialUntil time.Time
}

// Restart forgets the advice of earlier processes if a new one has started.
func (a *Advice) Restart(startedAt time.Time) {
	if startedAt.After(a.startedAt) {
		*a = Advice{startedAt: startedAt}
	}
}

// Leave records that the process that started at startedAt is leaving, and reports whether this is
// news. What an earlier process said is ignored.
func (a *Advice) Leave(startedAt time.Time) bool {
	if a.leaving || startedAt.Before(a.startedAt) {
		return false
	}
	a.leaving = true
	return true
}

// Pause records that the process that started at startedAt wants no request until a time, and reports
// whether this begins a pause or extends it noticeably. It never shortens one.
func (a *Advice) Pause(startedAt, until, now time.Time) bool {
	if latest := now.Add(maxPause); until.After(latest) {
		until = latest
	}
	if startedAt.Before(a.startedAt) || !until.After(now) || !until.After(a.pausedUntil) {
		return false
	}
	isNews := until.Sub(a.pausedUntil) >= minExtension
	a.pausedUntil, a.resuming, a.trialUntil = until, true, time.Time{}
	return isNews
}

// Leaving reports whether the process is leaving.
func (a *Advice) Leaving() bool { return a.leaving }

// PausedUntil returns until when requests have to wait, for the end of a pause or for the first request
// after it; the zero time if they don't.
func (a *Advice) PausedUntil(now time.Time) time.Time {
	switch {
	case now.Before(a.pausedUntil):
		return a.pausedUntil
	case a.resuming && now.Before(a.trialUntil):
		return a.trialUntil
	}
	return time.Time{}
}

// Admits reports whether a request may be sent now.
func (a *Advice) Admits(now time.Time) bool { return !a.leaving && a.PausedUntil(now).IsZero() }

// Withdraws reports whether a request that was admitted earlier must not be sent any more. isTrial is set if it is
// the first one after a pause.
func (a *Advice) Withdraws(isTrial bool, now time.Time) bool {
	if isTrial {
		return a.leaving || now.Before(a.pausedUntil)
	}
	return !a.Admits(now)
}

// Sent records that a request is being sent, and reports whether it is the first one after a pause, whose
// outcome the others wait for.
func (a *Advice) Sent(now time.Time) bool {
	if !a.resuming || !a.Admits(now) {
		return false
	}
	a.trialUntil = now.Add(trialTimeout)
	return true
}

// TrialEnded records that the first request after a pause has an outcome. If that was another pause,
// recorded before, it has no effect.
func (a *Advice) TrialEnded() {
	if !a.trialUntil.IsZero() {
		a.resuming = false
	}
}
