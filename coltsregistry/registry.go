package coltsregistry

// The entries are sharded by upstream ID. A second set of shards, keyed by address,
// records which upstream owns an address: if two upstreams report the same one, the
// process that started later owns it. A new revision is assigned while the entry's shard
// is locked, so a reader that loads the revision counter before it visits the shards
// sees every change up to that revision.

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
	"coltsfootstall/coltsweights"
)

const (
	// RetentionPeriod is how long an upstream that left or stopped reporting stays in
	// the registry, so that delayed reports don't add it again.
	RetentionPeriod = 2 * time.Minute
	// stallThreshold is the interval between two sweeps above which this process itself
	// is assumed to have been stalled.
	stallThreshold = 2 * time.Second
)

// Config configures a Registry.
type Config struct {
	// SilentAfter is the time without a report after which an upstream counts as silent.
	SilentAfter time.Duration
}

// Registry holds one entry for each upstream. It is safe for concurrent use.
type Registry struct {
	cfg      Config
	revision atomic.Uint64
	shards   [coltsshard.Count]entryShard
	owners   [coltsshard.Count]ownerShard
	warmup   warmup

	sweepMu   sync.Mutex
	lastSweep time.Time
}

type entryShard struct {
	mu      sync.Mutex
	entries map[coltsidentity.Upstream]record
}

type ownerShard struct {
	mu     sync.Mutex
	owners map[netip.AddrPort]addrOwner
}

// record is an entry with its deadlines: at overdueAt it becomes silent unless another
// report arrives, and at expiresAt it is deleted.
type record struct {
	entry     Entry
	overdueAt time.Time
	expiresAt time.Time
}

type addrOwner struct {
	id        coltsidentity.Upstream
	startedAt time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry(cfg Config) *Registry {
	r := &Registry{cfg: cfg}
	for i := range r.shards {
		r.shards[i].entries = map[coltsidentity.Upstream]record{}
		r.owners[i].owners = map[netip.AddrPort]addrOwner{}
	}
	return r
}

// Report applies an upstream's report about itself and reports whether it changed the
// entry. It returns a StaleError if the report is out of date, and an InvalidError if it can't be
// true.
func (r *Registry) Report(u Upstream, now time.Time) (bool, error) {
	return r.report(u, now, r.coldUntil)
}

// report applies a report. coldUntil returns until when its process is cold, given the known one of the
// same ID, nil for none.
func (r *Registry) report(u Upstream, now time.Time, coldUntil func(u Upstream, known *Upstream, now time.Time) time.Time) (bool, error) {
	if err := u.Validate(now); err != nil {
		return false, err
	}
	previousOwner, claimed := r.claimAddr(u)
	if !claimed {
		return false, &StaleError{ID: u.ID, Reason: "another process owns its address"}
	}
	if previousOwner != "" && previousOwner != u.ID {
		r.advanceState(previousOwner, StateGone, now)
	}
	s := &r.shards[coltsshard.Of(u.ID)]
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, known := s.entries[u.ID]
	if known {
		if err := checkStale(rec.entry.Upstream, u); err != nil {
			return false, err
		}
		u.Weights = u.mergeWeights(rec.entry.Upstream)
		u.State = u.mergeState(rec.entry.Upstream)
		u.ColdUntil = coldUntil(u, &rec.entry.Upstream, now)
	} else {
		u.ColdUntil = coldUntil(u, nil, now)
	}
	changed := !known || rec.entry.changedBy(u, now)
	if !changed {
		u.ColdUntil = rec.entry.Upstream.ColdUntil
	}
	r.warmup.extend(u.ColdUntil)
	if known && !rec.entry.Upstream.StartedAt.Equal(u.StartedAt) {
		rec.entry.Loading = false
	}
	rec.overdueAt = now.Add(r.cfg.SilentAfter)
	rec.expiresAt = now.Add(RetentionPeriod)
	rec.entry.Upstream = u
	if changed {
		rec.entry.Silent = false
		rec.entry.Revision = r.revision.Add(1)
	}
	s.entries[u.ID] = rec
	return changed, nil
}

// checkStale returns a StaleError if report u is older than the known one.
func checkStale(known, u Upstream) error {
	switch {
	case u.StartedAt.Before(known.StartedAt):
		return &StaleError{ID: u.ID, Reason: "a newer process uses the same ID"}
	case u.StartedAt.After(known.StartedAt):
		return nil
	case known.State == StateGone && u.State != StateGone:
		return &StaleError{ID: u.ID, Reason: "the upstream has left"}
	case u.Sequence < known.Sequence && u.State != StateGone:
		return &StaleError{ID: u.ID, Reason: "a newer report was already received"}
	}
	return nil
}

// claimAddr makes an upstream the owner of its address, unless the address belongs to
// another process that started at the same time or later. It returns the previous owner
// and whether the claim succeeded. If the owner's start time is unknown, the newest
// report wins.
func (r *Registry) claimAddr(u Upstream) (coltsidentity.Upstream, bool) {
	s := &r.owners[coltsshard.Of(u.Addr.String())]
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, owned := s.owners[u.Addr]
	if owned && owner.id != u.ID && !u.StartedAt.After(owner.startedAt) && !owner.startedAt.IsZero() {
		return owner.id, false
	}
	s.owners[u.Addr] = addrOwner{id: u.ID, startedAt: u.StartedAt}
	return owner.id, true
}

// Leave marks an upstream as gone and reports whether it was known and not gone before.
// startedAt is the start time of its process, or zero if unknown; a request from a
// process older than the known one is ignored.
func (r *Registry) Leave(id coltsidentity.Upstream, startedAt, now time.Time) bool {
	s := &r.shards[coltsshard.Of(id)]
	s.mu.Lock()
	known := s.entries[id].entry.Upstream
	s.mu.Unlock()
	if !startedAt.IsZero() && startedAt.Before(known.StartedAt) {
		return false
	}
	return r.advanceState(id, StateGone, now)
}

// ProcessOf returns the newest process of an upstream and its state, zero values if it is unknown.
func (r *Registry) ProcessOf(id coltsidentity.Upstream) (Process, State) {
	s := &r.shards[coltsshard.Of(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.entries[id].entry.Upstream
	return u.Process(), u.State
}

// Depart records that a process has reached a state, and reports whether this changed its entry.
func (r *Registry) Depart(p Process, state State) bool {
	return r.updateEntry(p.ID, p.StartedAt, func(e *Entry) bool {
		changed := e.Upstream.State < state
		e.Upstream.State = max(e.Upstream.State, state)
		return changed
	})
}

// RecordLeaving records that a process has told its callers that it is leaving, and reports whether this
// changed its entry.
func (r *Registry) RecordLeaving(p Process) bool { return r.Depart(p, StateDraining) }

// advanceState moves an entry to a later state and reports whether it changed. It never
// moves an entry back.
func (r *Registry) advanceState(id coltsidentity.Upstream, state State, now time.Time) bool {
	s := &r.shards[coltsshard.Of(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, known := s.entries[id]
	if !known || rec.entry.Upstream.State >= state {
		return false
	}
	rec.entry.Upstream.State = state
	rec.entry.Revision = r.revision.Add(1)
	rec.expiresAt = now.Add(RetentionPeriod)
	s.entries[id] = rec
	return true
}

// SetLoaded records that an upstream's process has loaded weights, and reports whether this
// changed the entry.
func (r *Registry) SetLoaded(id coltsidentity.Upstream, startedAt time.Time, w coltsweights.Weights) bool {
	return r.updateEntry(id, startedAt, func(e *Entry) bool {
		weights := slices.Clone(e.Upstream.Weights)
		changed := false
		for i, loaded := range weights {
			if loaded.Model == w.Model && loaded.Number < w.Number {
				weights[i] = w
				changed = true
			}
		}
		e.Upstream.Weights = weights
		return changed
	})
}

// SetLoading records whether an upstream's process is loading weights, and reports
// whether this changed the entry.
func (r *Registry) SetLoading(id coltsidentity.Upstream, startedAt time.Time, loading bool) bool {
	return r.updateEntry(id, startedAt, func(e *Entry) bool {
		changed := e.Loading != loading
		e.Loading = loading
		return changed
	})
}

// updateEntry calls apply on the entry of an upstream's process. Both apply and
// updateEntry report whether the entry changed.
func (r *Registry) updateEntry(id coltsidentity.Upstream, startedAt time.Time, apply func(*Entry) bool) bool {
	s := &r.shards[coltsshard.Of(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, known := s.entries[id]
	if !known || !rec.entry.Upstream.StartedAt.Equal(startedAt) || !apply(&rec.entry) {
		return false
	}
	rec.entry.Revision = r.revision.Add(1)
	s.entries[id] = rec
	return true
}

// Mirror applies an entry of another registry and reports whether it changed this one.
func (r *Registry) Mirror(e Entry, now time.Time) bool {
	changed, err := r.report(e.Upstream, now, mirroredColdUntil)
	if err != nil {
		return false
	}
	if !e.Silent {
		return changed
	}
	s := &r.shards[coltsshard.Of(e.Upstream.ID)]
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.entries[e.Upstream.ID]
	rec.entry.Silent = true
	rec.entry.Revision = r.revision.Add(1)
	s.entries[e.Upstream.ID] = rec
	return true
}

// ChangedSince returns the entries that changed after a revision, and the revision up to
// which the result is complete.
func (r *Registry) ChangedSince(revision uint64) ([]Entry, uint64) {
	upTo := r.revision.Load()
	var entries []Entry
	if upTo == revision {
		return nil, upTo
	}
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, rec := range s.entries {
			if rec.entry.Revision > revision {
				entries = append(entries, rec.entry)
			}
		}
		s.mu.Unlock()
	}
	return entries, upTo
}

// Find returns the entry of an upstream, and whether there is one.
func (r *Registry) Find(id coltsidentity.Upstream) (Entry, bool) {
	s := &r.shards[coltsshard.Of(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, known := s.entries[id]
	return rec.entry, known
}
