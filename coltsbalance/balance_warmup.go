package coltsbalance

// Upstreams that are cold get only requests for which control has dealt this instance a permit. coltswarmup
// holds the rules. Only services that limit requests to cold processes are concerned; for the others, the
// balancer chooses as if no upstream were ever cold.

import (
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltsshard"
	"coltsfootstall/coltswarmup"
)

// coldCost is added to the cost of a cold upstream, as a share of its capacity. A cold upstream is empty
// but slow: by its load alone it would be chosen over every warm one. So it is used only if the warm
// ones have half of a capacity more load, when a slow answer is better than waiting for them. How slow
// it is, no report says.
const coldCost = 0.5

// informedFor is how long the loads of the other instances say which upstreams have just returned. It
// spans several polls of the leader.
const informedFor = 500 * time.Millisecond

// isInformed reports whether a choice may rely on which upstreams seem empty. For services that limit
// requests to cold processes it may not while the leader is not heard.
func (b *Balancer) isInformed(service coltsidentity.Service, now time.Time) bool {
	if _, limited := b.coldDurations.Of(service); !limited {
		return true
	}
	informedAt := b.informedAt.Load()
	return informedAt != nil && now.Sub(*informedAt) < informedFor
}

// pickUninformed is pick without the sample: it compares the home with one candidate that is drawn at
// random. A process that has crashed and returned under the same ID while the leader is not heard is
// cold, but looks warm and empty to all instances, and together they would send it more than it bears.
// Drawn at random, it gets an average share.
func (b *Balancer) pickUninformed(d Demand, candidates []candidate) (int, bool) {
	drawn, home := b.cfg.Random(len(candidates)), homeOf(d, candidates)
	if home >= 0 && costOf(d, candidates[home], true) <= costOf(d, candidates[drawn], drawn == home) {
		return home, true
	}
	return drawn, drawn == home
}

// warmup is what the balancer knows about an upstream that is cold.
type warmup struct {
	permits coltswarmup.Permits
	// markedUntil is until when the upstream counts as cold because its data centre was marked or its
	// process has ended.
	markedUntil time.Time
}

// SetColdDurations sets how long processes are cold after their start, for each service that limits requests
// to cold processes. The caller must not modify the map afterwards.
func (b *Balancer) SetColdDurations(durations map[coltsidentity.Service]time.Duration) {
	b.coldDurations.Set(durations)
}

// isCold reports whether an upstream gets only requests with a permit.
func (b *Balancer) isCold(u *upstream, now time.Time) bool {
	if !u.record.IsCold(now) && !now.Before(u.warmup.markedUntil) {
		return false
	}
	_, limited := b.coldDurations.Of(u.record.Service)
	return limited
}

// lacksPermit reports whether an upstream is passed over because this instance has no permit for it.
func (b *Balancer) lacksPermit(u *upstream, now time.Time) bool {
	return b.isCold(u, now) && !u.warmup.permits.Available(now)
}

// takePermit takes a permit if the upstream is cold, and reports whether a request may be sent to it. The
// time is until when, zero for no limit.
func (b *Balancer) takePermit(u *upstream, now time.Time) (time.Time, bool) {
	if !b.isCold(u, now) {
		return time.Time{}, true
	}
	until := u.warmup.permits.Take(now)
	return until, !until.IsZero()
}

// withdrawsPermit reports whether the upstream of a choice is cold and the choice has no permit for its
// process, or no longer.
func (b *Balancer) withdrawsPermit(u *upstream, c Choice, now time.Time) bool {
	return b.isCold(u, now) && (!now.Before(c.PermitUntil) || !u.record.SameProcess(c.Upstream))
}

// awaitsPermit reports whether a demand could be sent to a cold upstream now if there were a permit. One that is
// also evacuated or paused is excluded whatever the permits are.
func (b *Balancer) awaitsPermit(d Demand, now time.Time) bool {
	if _, limited := b.coldDurations.Of(d.Service); !limited {
		return false
	}
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for _, u := range s.upstreams {
			if u.record.Service == d.Service && b.exclusion(u, d, now) == ExclusionNoPermit {
				s.mu.Unlock()
				return true
			}
		}
		s.mu.Unlock()
	}
	return false
}

// update prepares for a new record of the upstream. Permits belong to one process. A record with a deadline
// was made by a control instance that knows of the mark or has heard of a later cold time.
func (w *warmup) update(known, record coltsregistry.Upstream) {
	if !record.SameProcess(known) {
		*w = warmup{}
	}
	if !record.ColdUntil.IsZero() {
		w.markedUntil = time.Time{}
	}
}

// SetPermits sets the permits that control has dealt to this instance. Those for other processes stay as
// they are until they expire.
func (b *Balancer) SetPermits(permits []coltswarmup.Permit) {
	for _, p := range permits {
		s := &b.shards[coltsshard.Of(p.Process.ID)]
		s.mu.Lock()
		if u, known := s.upstreams[p.Process.ID]; known && u.record.StartedAt.Equal(p.Process.StartedAt) {
			u.warmup.permits.Replace(p)
		}
		s.mu.Unlock()
	}
}

// MarkCold records that all upstreams of a data centre may have become cold as late as since: where
// their service limits requests to cold processes, they are cold for as long as after a start, unless control
// says otherwise later.
func (b *Balancer) MarkCold(dataCentre coltsidentity.DataCentre, since time.Time) {
	b.each(func(u *upstream) {
		d, limited := b.coldDurations.Of(u.record.Service)
		if until := since.Add(d); limited && u.record.DataCentre == dataCentre && until.After(u.warmup.markedUntil) {
			u.warmup.markedUntil = until
		}
	})
}

// RecordEnded records that a process of an upstream has ended: nothing listens at its address. Another
// one may listen there at any moment under the same ID, and it is cold before control reports it, which
// takes seconds if the leader is frozen. So the upstream counts as cold for the time of an outage that
// is as long as the cold time and the cold time after it, or until control reports the next process.
func (b *Balancer) RecordEnded(p coltsregistry.Process, now time.Time) {
	s := &b.shards[coltsshard.Of(p.ID)]
	s.mu.Lock()
	defer s.mu.Unlock()
	u, known := s.upstreams[p.ID]
	if !known || !u.record.StartedAt.Equal(p.StartedAt) {
		return
	}
	if d, limited := b.coldDurations.Of(u.record.Service); limited {
		u.warmup.markedUntil = now.Add(2 * d)
	}
}

// ColdWaits returns the number of choices that passed over a cold upstream for lack of a permit.
func (b *Balancer) ColdWaits() int64 { return b.coldWaits.Load() }

// ColdUpstreams returns the number of upstreams that are cold.
func (b *Balancer) ColdUpstreams(now time.Time) int {
	n := 0
	if b.coldDurations.IsEmpty() {
		return n
	}
	b.eachUsable(now, func(u *upstream) {
		if b.isCold(u, now) {
			n++
		}
	})
	return n
}
