package coltsbalance

// A choice is made from load reports that are already stale. The next report shows how loaded the
// chosen upstream turned out to be. The comparison with the mean of its service runs when loads are
// reported, at most once in imbalancePeriod, so a choice itself costs only a counter.

import (
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
)

const (
	// imbalancePeriod is the shortest time between two comparisons.
	imbalancePeriod = 100 * time.Millisecond
	// overloadFactor is the multiple of the mean load above which prompts at a model runner
	// become late.
	overloadFactor = 2
)

// Imbalance counts choices by the load that their upstreams turned out to have.
type Imbalance struct {
	// Compared is the number of choices whose upstream was compared with the mean of its service.
	Compared int64
	// Overloaded is the number of those whose upstream had more than twice the mean.
	Overloaded int64
}

// imbalance holds the counts until they are taken.
type imbalance struct {
	mu     sync.Mutex
	dueAt  time.Time
	counts Imbalance
}

// serviceLoad is the sum of the loads of a service's upstreams that are in use.
type serviceLoad struct {
	sum       float64
	upstreams int
}

// TakeImbalance returns the counts since the last call.
func (b *Balancer) TakeImbalance() Imbalance {
	b.imbalance.mu.Lock()
	defer b.imbalance.mu.Unlock()
	counts := b.imbalance.counts
	b.imbalance.counts = Imbalance{}
	return counts
}

// measureImbalance compares the loads of the upstreams that were chosen since the last comparison.
// Upstreams without a choice count only towards the means.
func (b *Balancer) measureImbalance(now time.Time) {
	m := &b.imbalance
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Before(m.dueAt) {
		return
	}
	m.dueAt = now.Add(imbalancePeriod)
	totals := map[coltsidentity.Service]serviceLoad{}
	b.eachUsable(now, func(u *upstream) {
		t := totals[u.record.Service]
		totals[u.record.Service] = serviceLoad{sum: t.sum + u.totalLoad(now), upstreams: t.upstreams + 1}
	})
	b.eachUsable(now, func(u *upstream) {
		t := totals[u.record.Service]
		m.counts.Compared += int64(u.chosen)
		if u.totalLoad(now)*float64(t.upstreams) > overloadFactor*t.sum {
			m.counts.Overloaded += int64(u.chosen)
		}
		u.chosen = 0
	})
}

// eachUsable calls f for each upstream that is in use, with its shard locked.
func (b *Balancer) eachUsable(now time.Time, f func(u *upstream)) {
	b.each(func(u *upstream) {
		if u.usable(now) {
			f(u)
		}
	})
}
