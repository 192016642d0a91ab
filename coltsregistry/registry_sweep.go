package coltsregistry

// Upstreams that no longer report, or from which no entry hears, are marked as silent. Entries that have
// expired are deleted.

import (
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

// Sweep marks the upstreams whose reports are overdue as silent, and deletes the entries
// that have expired. It returns the upstreams that became silent. If this process itself
// was stalled since the last sweep, no upstream is marked, because reports may be waiting
// to be read.
func (r *Registry) Sweep(now time.Time) []Upstream {
	r.sweepMu.Lock()
	stalled := !r.lastSweep.IsZero() && now.Sub(r.lastSweep) > stallThreshold
	r.lastSweep = now
	r.sweepMu.Unlock()
	if stalled {
		r.ResetDeadlines(now)
		return nil
	}
	r.expire(now, func(Entry) bool { return true })
	var silent []Upstream
	for i := range r.shards {
		silent = append(silent, r.sweepShard(&r.shards[i], now)...)
	}
	return silent
}

// SweepMirror deletes the entries of upstreams that left or fell silent long ago from the mirror of another
// registry. That one does not say when it deletes an entry, nor when an upstream reports without a change.
func (r *Registry) SweepMirror(now time.Time) {
	r.expire(now, func(e Entry) bool { return e.Silent || e.Upstream.State == StateGone })
}

// expire deletes the entries that have expired and may be deleted, with their addresses.
func (r *Registry) expire(now time.Time, mayDelete func(Entry) bool) {
	var deleted []Upstream
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for id, rec := range s.entries {
			if !now.Before(rec.expiresAt) && mayDelete(rec.entry) {
				delete(s.entries, id)
				deleted = append(deleted, rec.entry.Upstream)
			}
		}
		s.mu.Unlock()
	}
	for _, u := range deleted {
		s := &r.owners[coltsshard.Of(u.Addr.String())]
		s.mu.Lock()
		if s.owners[u.Addr].id == u.ID {
			delete(s.owners, u.Addr)
		}
		s.mu.Unlock()
	}
}

func (r *Registry) sweepShard(s *entryShard, now time.Time) []Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	var silent []Upstream
	for id, rec := range s.entries {
		if rec.entry.Silent || rec.entry.Upstream.State == StateGone || now.Before(rec.overdueAt) {
			continue
		}
		rec.entry.Silent = true
		rec.entry.Revision = r.revision.Add(1)
		s.entries[id] = rec
		silent = append(silent, rec.entry.Upstream)
	}
	return silent
}

// maxQuietShare is the largest share of a service's ready upstreams that MarkQuiet marks. If more of
// them seem quiet, the fault is more likely between them and the entries.
const maxQuietShare = 0.5

// MarkQuiet marks upstreams from which entries hear nothing as silent, until their next report. It
// returns those that became silent.
func (r *Registry) MarkQuiet(quiet []coltsidentity.Upstream) []Upstream {
	if len(quiet) == 0 {
		return nil
	}
	ready, marked := r.countReady(), map[coltsidentity.Service]int{}
	var silent []Upstream
	for _, id := range quiet {
		e, known := r.Find(id)
		service := e.Upstream.Service
		if !known || float64(marked[service]+1) > maxQuietShare*float64(ready[service]) {
			continue
		}
		marked[service]++
		changed := r.updateEntry(id, e.Upstream.StartedAt, func(e *Entry) bool {
			changed := !e.Silent && e.Upstream.State != StateGone
			e.Silent = e.Silent || changed
			return changed
		})
		if changed {
			silent = append(silent, e.Upstream)
		}
	}
	return silent
}

// countReady returns the number of ready upstreams of each service, silent ones included.
func (r *Registry) countReady() map[coltsidentity.Service]int {
	ready := map[coltsidentity.Service]int{}
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, rec := range s.entries {
			if rec.entry.Upstream.State == StateReady {
				ready[rec.entry.Upstream.Service]++
			}
		}
		s.mu.Unlock()
	}
	return ready
}

// ResetDeadlines restarts the deadlines of all entries from now. Silent entries stay silent.
// A new leader calls it because it has not received the reports that went to its
// predecessor.
func (r *Registry) ResetDeadlines(now time.Time) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for id, rec := range s.entries {
			rec.overdueAt = now.Add(r.cfg.SilentAfter)
			rec.expiresAt = now.Add(RetentionPeriod)
			s.entries[id] = rec
		}
		s.mu.Unlock()
	}
}
