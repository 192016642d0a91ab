package coltsbalance

// What upstreams say about further requests: the balancer keeps it by process and lets requests wait
// or go elsewhere. coltsadvice holds the rules.

import (
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltsshard"
)

// maxLeftPerShard bounds the processes in a shard that are remembered to be leaving although control does not report
// them.
const maxLeftPerShard = 64

// recordLeft remembers that a process is leaving that is not known or is being forgotten. Control may report it as ready
// again: a late report of it, or an instance that has just started. The caller must hold the lock.
func (s *balancerShard) recordLeft(id coltsidentity.Upstream, startedAt time.Time) {
	if len(s.left) >= maxLeftPerShard {
		clear(s.left)
	}
	if startedAt.After(s.left[id]) {
		s.left[id] = startedAt
	}
}

// RecordLeaving records that a process has said that it is leaving, and reports whether this is news.
func (b *Balancer) RecordLeaving(id coltsidentity.Upstream, startedAt time.Time) bool {
	s := &b.shards[coltsshard.Of(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if u, known := s.upstreams[id]; known {
		return u.advice.Leave(startedAt)
	}
	s.recordLeft(id, startedAt)
	return false
}

// RecordPause records that a process wants no request until a time, and reports whether this begins a
// pause or extends it noticeably.
func (b *Balancer) RecordPause(id coltsidentity.Upstream, startedAt, until, now time.Time) bool {
	s := &b.shards[coltsshard.Of(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	u, known := s.upstreams[id]
	return known && u.advice.Pause(startedAt, until, now)
}

// IsWithdrawn reports whether the upstream of a choice must not get its request any more: since the choice it
// has asked for a pause or said that it is leaving, its data centre was evacuated, or the choice's permit
// has expired while it is cold.
func (b *Balancer) IsWithdrawn(c Choice, now time.Time) bool {
	if b.isEvacuated(c.Upstream.DataCentre) {
		return true
	}
	s := &b.shards[coltsshard.Of(c.Upstream.ID)]
	s.mu.Lock()
	defer s.mu.Unlock()
	u, known := s.upstreams[c.Upstream.ID]
	return known && (u.advice.Withdraws(c.Trial, now) || b.withdrawsPermit(u, c, now))
}

// Leaving returns the processes that have said to this instance that they are leaving, and that control
// still reports as ready.
func (b *Balancer) Leaving() []coltsregistry.Process {
	var leaving []coltsregistry.Process
	b.each(func(u *upstream) {
		if u.advice.Leaving() && u.record.State == coltsregistry.StateReady {
			leaving = append(leaving, u.record.Process())
		}
	})
	return leaving
}
