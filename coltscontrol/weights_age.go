package coltscontrol

// Entries must stop using older weights in time after a version was named. They learn how long ago
// that was, because their clocks and the leader's may differ, and the answer that tells them of the
// version may be late.

import (
	"sync"
	"time"

	"coltsfootstall/coltsweights"
)

// restorePeriod is how long after its start an instance may be restoring versions that were named
// before, whose age follows only from the clock of the instance that recorded them.
const restorePeriod = 5 * time.Second

// repeatPeriod is how long after its naming a version is part of every reply to a gateway. A gateway whose machine was
// frozen, and with it the clock, then learns that the version is older than it believes.
const repeatPeriod = time.Minute

// weightAges holds when this instance first had each named version. There are a few of them a day,
// so they have a single lock.
type weightAges struct {
	startedAt time.Time

	mu    sync.Mutex
	since map[coltsweights.Weights]time.Time
}

// observe records versions that this instance has applied. Gateways may ask it for their ages much later, for example
// when it leads.
func (a *weightAges) observe(versions []coltsweights.NamedVersion, now time.Time) {
	for _, n := range versions {
		a.age(n, now)
	}
}

// age returns the time since a version was named.
func (a *weightAges) age(n coltsweights.NamedVersion, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	since, known := a.since[n.Weights]
	if !known {
		since = now
		if now.Before(a.startedAt.Add(restorePeriod)) && n.NamedAt.Before(now) {
			since = n.NamedAt
		}
		if a.since == nil {
			a.since = map[coltsweights.Weights]time.Time{}
		}
		a.since[n.Weights] = since
	}
	return now.Sub(since)
}
