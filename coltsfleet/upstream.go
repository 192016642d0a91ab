package coltsfleet

// What an entry has seen itself is kept apart from what an upstream reports:
// reports come late, and an upstream that is slowed by a neighbour does not
// know it yet. Where both speak, the entry's own timings win.

import (
	"slices"
	"time"

	"coltsfootstall/coltsdocument"
)

const (
	// announceTimeout is how long an upstream is believed to live after its
	// newest announcement.
	announceTimeout = 10 * time.Second
	// spreadPeriod is how often an announcement that says nothing new is passed
	// on, as a sign of life. A load report alone is not worth a message to every
	// entry: it is old when it arrives, and each entry sees its own timings.
	spreadPeriod = 3 * time.Second
	// overdueSlack is by how much a prefill may be late before it says something.
	overdueSlack = 200 * time.Millisecond
	// ejectAfterFailures is the number of failures in a row that ejects.
	ejectAfterFailures = 3
	// ejectionPeriod is how long an ejected upstream gets no work; it doubles
	// with each ejection in a row up to maxEjectionPeriod.
	ejectionPeriod = 2 * time.Second
	// maxEjectionPeriod bounds an ejection.
	maxEjectionPeriod = 30 * time.Second
	// defaultPrefillPerSecond stands in until a rate is reported or seen.
	defaultPrefillPerSecond = 20_000
	// smoothing is the weight of the newest timing, in hundredths.
	smoothing = 20
	// wholeWeight is the whole, in hundredths.
	wholeWeight = 100
)

// upstream is one member of the fleet. Its shard's lock guards it.
type upstream struct {
	announcement Announcement
	aliveUntil   time.Time
	// underWay and queuedTokens count this entry's own dispatches.
	underWay     int
	queuedTokens int64
	// begun holds when each prefill under way was sent, the oldest first.
	begun []time.Time
	// queue is what the upstream said was waiting when it took a request, and
	// queueAt when that was.
	queue   int64
	queueAt time.Time
	// prefillPerSecond is the rate seen by this entry; 0 until one was seen.
	prefillPerSecond int64
	failures         int
	ejections        int
	ejectedUntil     time.Time
	// changed is the fleet's change number of the newest announcement that was
	// worth spreading, and spreadAgainAt when the next one is for its age alone.
	changed       uint64
	spreadAgainAt time.Time
}

// Candidate is what a decision may know of an upstream. It is a copy.
type Candidate struct {
	Announcement Announcement
	// UnderWay are this entry's own requests on it.
	UnderWay int
	// QueuedTokens are prompt tokens that are expected to be before a new one.
	QueuedTokens int64
	// PrefillPerSecond is the best estimate of its rate, more than 0.
	PrefillPerSecond int64
	// Ejected says that it failed too often lately.
	Ejected bool
	// Draining says that it gets no new work.
	Draining bool
}

func (u *upstream) candidate(d coltsdocument.Document, now time.Time) Candidate {
	a := u.announcement
	rate := u.rateNow(now)
	return Candidate{
		Announcement:     a,
		UnderWay:         u.underWay,
		QueuedTokens:     max(u.queuedTokens, u.queueNow(rate, now)),
		PrefillPerSecond: rate,
		Ejected:          now.Before(u.ejectedUntil),
		Draining:         a.Leaving || d.IsDraining(a.ID),
	}
}

// worthSpreading says whether other entries should hear of an announcement.
func (u *upstream) worthSpreading(a Announcement, now time.Time) bool {
	known := u.announcement
	return !now.Before(u.spreadAgainAt) ||
		a.Leaving != known.Leaving ||
		a.Addr != known.Addr ||
		!slices.Equal(a.Serving, known.Serving)
}

// queueNow returns what is left of the queue that the upstream has reported, at a
// rate in tokens a second.
func (u *upstream) queueNow(rate int64, now time.Time) int64 {
	done := int64(now.Sub(u.queueAt).Seconds() * float64(rate))
	return max(0, u.queue-done)
}

// rateNow returns the rate that the prefills under way allow for: one that is
// overdue shows that the upstream has become slower, long before it ends or the
// upstream reports it.
func (u *upstream) rateNow(now time.Time) int64 {
	rate := u.rate()
	if len(u.begun) == 0 || u.queuedTokens == 0 {
		return rate
	}
	age := now.Sub(u.begun[0])
	waiting := max(u.queuedTokens, u.queue)
	expected := time.Duration(float64(waiting) / float64(rate) * float64(time.Second))
	if age <= expected+overdueSlack {
		return rate
	}
	return max(1, int64(float64(waiting)/age.Seconds()))
}

// rate returns the best estimate of the prefill rate.
func (u *upstream) rate() int64 {
	if u.prefillPerSecond > 0 {
		return u.prefillPerSecond
	}
	if u.announcement.Load.PrefillPerSecond > 0 {
		return u.announcement.Load.PrefillPerSecond
	}
	return defaultPrefillPerSecond
}

// leave counts the end of a request. The count stays at zero for a request that
// was sent to an earlier incarnation.
func (u *upstream) leave() {
	u.underWay = max(0, u.underWay-1)
}

// dequeue counts the end of a prefill that was sent at a time, likewise.
func (u *upstream) dequeue(tokens int64, sentAt time.Time) {
	u.queuedTokens = max(0, u.queuedTokens-tokens)
	i := slices.IndexFunc(u.begun, func(t time.Time) bool { return t.Equal(sentAt) })
	if i >= 0 {
		u.begun = slices.Delete(u.begun, i, i+1)
	}
}

// observe takes in the time that a prefill took.
func (u *upstream) observe(tokens int64, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	seen := int64(float64(tokens) / took.Seconds())
	u.prefillPerSecond = max(1, (u.rate()*(wholeWeight-smoothing)+seen*smoothing)/wholeWeight)
}

// succeed takes in that an attempt ended well.
func (u *upstream) succeed() {
	u.failures = 0
	u.ejections = 0
}

// fail takes in that an attempt failed and says whether the upstream has failed
// often enough to be ejected.
func (u *upstream) fail() bool {
	u.failures++
	return u.failures >= ejectAfterFailures
}

// eject keeps new work away for a period that grows with each ejection.
func (u *upstream) eject(now time.Time) {
	period := ejectionPeriod << min(u.ejections, 8)
	u.ejections++
	u.failures = 0
	u.ejectedUntil = now.Add(min(period, maxEjectionPeriod))
}
