package coltsfleet

// The measurements of an entry are kept apart from the load that an upstream reports.
// Reports arrive late, and an upstream that is slowed down by another workload on its
// machine doesn't report that yet. If both are available, the entry's own timings are
// used.

import (
	"slices"
	"time"

	"coltsfootstall/coltsadvice"
	"coltsfootstall/coltsdocument"
)

const (
	// announceTimeout is how long an upstream counts as live after its newest
	// announcement.
	announceTimeout = 10 * time.Second
	// propagationInterval is how often an announcement without relevant changes is
	// passed on to other entries as a heartbeat. A changed load alone isn't passed on
	// earlier: it is stale when it arrives, and each entry has its own timings.
	propagationInterval = 3 * time.Second
	// overdueTolerance is how late a prefill may be before the rate estimate is lowered.
	overdueTolerance = 200 * time.Millisecond
	// ejectAfterFailures is the number of consecutive failures after which an
	// upstream is ejected.
	ejectAfterFailures = 3
	// baseEjectionPeriod is how long an upstream is ejected the first time. The period
	// doubles with each ejection up to maxEjectionPeriod, until a request succeeds.
	baseEjectionPeriod = 2 * time.Second
	// maxEjectionPeriod limits the length of an ejection.
	maxEjectionPeriod = 30 * time.Second
	// defaultPrefillPerSecond is the assumed prefill rate, in tokens per second, until a
	// rate is reported or measured.
	defaultPrefillPerSecond = 20_000
	// newSamplePercent is the weight of the newest sample in the exponentially weighted
	// moving average of the prefill rate, in percent.
	newSamplePercent = 20
	// wholePercent is 100%.
	wholePercent = 100
)

// upstream is the state of one member of the fleet, guarded by its shard's lock.
type upstream struct {
	// announcement is the newest one; the upstream counts as live until expiresAt.
	announcement Announcement
	expiresAt    time.Time
	// inFlight is the number of this entry's own in-flight requests, and queuedTokens
	// the number of prompt tokens of those whose prefill hasn't ended.
	inFlight     int
	queuedTokens int64
	// prefillsSentAt holds the send time of each unfinished prefill, oldest first.
	prefillsSentAt []time.Time
	// reportedQueue is the number of queued prompt tokens that the upstream last
	// reported, in an announcement or when it accepted a request, and queueReportedAt
	// the time of that report. A zero in an announcement doesn't replace a report that
	// is at most announceTimeout old.
	reportedQueue   int64
	queueReportedAt time.Time
	// prefillPerSecond is the moving average of the prefill rate that this entry
	// measured, in tokens per second; zero until the first measurement.
	prefillPerSecond int64
	// failures and ejections are counted since the last success; an ejection also
	// resets failures.
	failures     int
	ejections    int
	ejectedUntil time.Time
	// advice is what the upstream has said about further requests.
	advice coltsadvice.Advice
	// changeNumber is the fleet's change number of the newest announcement to be passed
	// on to other entries. From propagateAt on, the next announcement is passed on
	// even if it contains no relevant change.
	changeNumber uint64
	propagateAt  time.Time
}

// Candidate is a copy of an upstream's state for routing decisions.
type Candidate struct {
	Announcement Announcement
	// InFlight is the number of this entry's own in-flight requests on the upstream.
	InFlight int
	// QueuedTokens is the estimated number of prompt tokens queued ahead of a new
	// request.
	QueuedTokens int64
	// PrefillPerSecond is the estimated prefill rate in tokens per second, always
	// above zero.
	PrefillPerSecond int64
	// Ejected is set while the upstream is ejected because of failures.
	Ejected bool
	// Draining is set if the upstream must not get new work.
	Draining bool
	// PausedUntil is when a pause ends that the upstream has asked for; zero if it may get work.
	PausedUntil time.Time
}

func (u *upstream) candidate(d coltsdocument.Document, now time.Time) Candidate {
	a := u.announcement
	rate := u.currentRate(now)
	return Candidate{
		Announcement:     a,
		InFlight:         u.inFlight,
		QueuedTokens:     max(u.queuedTokens, u.remainingQueue(rate, now)),
		PrefillPerSecond: rate,
		Ejected:          now.Before(u.ejectedUntil),
		Draining:         a.Leaving || d.IsDraining(a.ID) || !u.advice.Admits(now),
		PausedUntil:      u.advice.PausedUntil(now),
	}
}

// shouldPropagate reports whether an announcement should be passed on to other
// entries, compared with the upstream's last one.
func (u *upstream) shouldPropagate(a Announcement, now time.Time) bool {
	last := u.announcement
	return !now.Before(u.propagateAt) ||
		a.Leaving != last.Leaving ||
		a.Addr != last.Addr ||
		!slices.Equal(a.Serving, last.Serving)
}

// remainingQueue estimates how many tokens of the reported queue are left now, if the
// upstream has worked through it at the given rate in tokens per second.
func (u *upstream) remainingQueue(rate int64, now time.Time) int64 {
	drained := int64(now.Sub(u.queueReportedAt).Seconds() * float64(rate))
	return max(0, u.reportedQueue-drained)
}

// currentRate returns the estimated prefill rate in tokens per second, lowered if the
// oldest unfinished prefill is overdue. An overdue prefill shows that the upstream has
// become slower, long before the prefill ends or the upstream reports a lower rate.
func (u *upstream) currentRate(now time.Time) int64 {
	rate := u.baseRate()
	if len(u.prefillsSentAt) == 0 || u.queuedTokens == 0 {
		return rate
	}
	elapsed := now.Sub(u.prefillsSentAt[0])
	waiting := max(u.queuedTokens, u.reportedQueue)
	expected := time.Duration(float64(waiting) / float64(rate) * float64(time.Second))
	if elapsed <= expected+overdueTolerance {
		return rate
	}
	return max(1, int64(float64(waiting)/elapsed.Seconds()))
}

// baseRate returns the measured prefill rate in tokens per second, or else the
// reported one, or else the default.
func (u *upstream) baseRate() int64 {
	if u.prefillPerSecond > 0 {
		return u.prefillPerSecond
	}
	if u.announcement.Load.PrefillPerSecond > 0 {
		return u.announcement.Load.PrefillPerSecond
	}
	return defaultPrefillPerSecond
}

// requestEnded decrements the number of in-flight requests, and lets others follow if it was the first one
// after a pause. The number doesn't go
// below zero, since the request may have been sent to an earlier incarnation.
func (u *upstream) requestEnded() {
	u.inFlight = max(0, u.inFlight-1)
	u.advice.TrialEnded()
}

// removePrefill removes the prefill that was sent at sentAt, and its tokens. Like
// requestEnded, it allows for a prefill that was sent to an earlier incarnation.
func (u *upstream) removePrefill(tokens int64, sentAt time.Time) {
	u.queuedTokens = max(0, u.queuedTokens-tokens)
	i := slices.IndexFunc(u.prefillsSentAt, func(t time.Time) bool { return t.Equal(sentAt) })
	if i >= 0 {
		u.prefillsSentAt = slices.Delete(u.prefillsSentAt, i, i+1)
	}
}

// recordPrefillTime updates the average prefill rate with one timing.
func (u *upstream) recordPrefillTime(tokens int64, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	sample := int64(float64(tokens) / took.Seconds())
	u.prefillPerSecond = max(1,
		(u.baseRate()*(wholePercent-newSamplePercent)+sample*newSamplePercent)/wholePercent)
}

// recordSuccess resets the counts of failures and ejections.
func (u *upstream) recordSuccess() {
	u.failures = 0
	u.ejections = 0
}

// recordFailure counts a failure and reports whether the upstream has failed often
// enough in a row to be ejected.
func (u *upstream) recordFailure() bool {
	u.failures++
	return u.failures >= ejectAfterFailures
}

// eject marks the upstream as ejected for a period that doubles with each ejection.
func (u *upstream) eject(now time.Time) {
	period := baseEjectionPeriod << min(u.ejections, 8)
	u.ejections++
	u.failures = 0
	u.ejectedUntil = now.Add(min(period, maxEjectionPeriod))
}
