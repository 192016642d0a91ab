package coltsregistry

// Entries stand in shards by identity. A second set of shards, by address, says
// who holds an address: of two upstreams that name the same one, the process that
// was born later does. A revision is given out under the lock of the entry's shard,
// so a reader that has seen a revision before it goes through the shards misses no
// change up to it.

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
	// forgetAfter is how long an upstream that left or fell silent is remembered,
	// so that reports which were held up on the way don't bring it back.
	forgetAfter = 2 * time.Minute
	// sweepGap is the pause between two sweeps from which on this process itself
	// is taken to have stood still.
	sweepGap = 2 * time.Second
)

// Config says how long an upstream may be silent.
type Config struct {
	// SilentAfter is the time without a report after which one is overdue.
	SilentAfter time.Duration
}

// Registry holds the entries. It may be used concurrently.
type Registry struct {
	cfg      Config
	revision atomic.Uint64
	shards   [coltsshard.Count]registryShard
	holders  [coltsshard.Count]holderShard

	sweepMu sync.Mutex
	sweptAt time.Time
}

type registryShard struct {
	mu      sync.Mutex
	entries map[coltsidentity.Upstream]record
}

type holderShard struct {
	mu      sync.Mutex
	holders map[netip.AddrPort]holder
}

// record is an entry with its deadlines.
type record struct {
	entry    Entry
	silentAt time.Time
	forgetAt time.Time
}

type holder struct {
	id   coltsidentity.Upstream
	born time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry(cfg Config) *Registry {
	r := &Registry{cfg: cfg}
	for i := range r.shards {
		r.shards[i].entries = map[coltsidentity.Upstream]record{}
		r.holders[i].holders = map[netip.AddrPort]holder{}
	}
	return r
}

// Report takes in what an upstream says of itself and says whether that changes
// what is believed. It returns a StaleError for a report that is out of date.
func (r *Registry) Report(u Upstream, now time.Time) (bool, error) {
	before, taken := r.claim(u)
	if !taken {
		return false, &StaleError{ID: u.ID, Reason: "another process holds its address"}
	}
	if before != "" && before != u.ID {
		r.setState(before, StateGone, now)
	}
	s := &r.shards[coltsshard.Of(u.ID)]
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, known := s.entries[u.ID]
	if known {
		if err := overtaken(rec.entry.Upstream, u); err != nil {
			return false, err
		}
		u.Weights = u.newestWeights(rec.entry.Upstream)
	}
	changed := !known || rec.entry.news(u)
	if known && !rec.entry.Upstream.Born.Equal(u.Born) {
		rec.entry.Loading = false
	}
	rec.silentAt = now.Add(r.cfg.SilentAfter)
	rec.forgetAt = now.Add(forgetAfter)
	rec.entry.Upstream = u
	if changed {
		rec.entry.Silent = false
		rec.entry.Revision = r.revision.Add(1)
	}
	s.entries[u.ID] = rec
	return changed, nil
}

// overtaken returns a StaleError if a report is older than what is known.
func overtaken(known, u Upstream) error {
	switch {
	case u.Born.Before(known.Born):
		return &StaleError{ID: u.ID, Reason: "a later process has its identity"}
	case u.Born.After(known.Born):
		return nil
	case known.State == StateGone && u.State != StateGone:
		return &StaleError{ID: u.ID, Reason: "it has left"}
	case u.Sequence < known.Sequence && u.State != StateGone:
		return &StaleError{ID: u.ID, Reason: "a later report is known"}
	}
	return nil
}

// claim takes an upstream's address for it, unless another process holds it that was not
// born before, and returns who held it. Where births are not told, the newest report wins.
func (r *Registry) claim(u Upstream) (coltsidentity.Upstream, bool) {
	s := &r.holders[coltsshard.Of(u.Addr.String())]
	s.mu.Lock()
	defer s.mu.Unlock()
	h, held := s.holders[u.Addr]
	if held && h.id != u.ID && !u.Born.After(h.born) && !h.born.IsZero() {
		return h.id, false
	}
	s.holders[u.Addr] = holder{id: u.ID, born: u.Born}
	return h.id, true
}

// Leave takes in that an upstream leaves, and says whether it was known and had not
// left before. born is its process's start, the zero time if that was not said.
func (r *Registry) Leave(id coltsidentity.Upstream, born, now time.Time) bool {
	s := &r.shards[coltsshard.Of(id)]
	s.mu.Lock()
	known := s.entries[id].entry.Upstream
	s.mu.Unlock()
	if !born.IsZero() && born.Before(known.Born) {
		return false
	}
	return r.setState(id, StateGone, now)
}

// setState moves an entry on to a state, never back.
func (r *Registry) setState(id coltsidentity.Upstream, state State, now time.Time) bool {
	s := &r.shards[coltsshard.Of(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, known := s.entries[id]
	if !known || rec.entry.Upstream.State >= state {
		return false
	}
	rec.entry.Upstream.State = state
	rec.entry.Revision = r.revision.Add(1)
	rec.forgetAt = now.Add(forgetAfter)
	s.entries[id] = rec
	return true
}

// Loaded takes in that an upstream's process has loaded weights, and says whether that
// is news.
func (r *Registry) Loaded(id coltsidentity.Upstream, born time.Time, w coltsweights.Weights) bool {
	return r.change(id, born, func(e *Entry) bool {
		weights := slices.Clone(e.Upstream.Weights)
		changed := false
		for i, has := range weights {
			if has.Model == w.Model && has.Number < w.Number {
				weights[i] = w
				changed = true
			}
		}
		e.Upstream.Weights = weights
		return changed
	})
}

// SetLoading takes in whether an upstream's process is loading weights, and says
// whether that is news.
func (r *Registry) SetLoading(id coltsidentity.Upstream, born time.Time, loading bool) bool {
	return r.change(id, born, func(e *Entry) bool {
		changed := e.Loading != loading
		e.Loading = loading
		return changed
	})
}

// change changes the entry of an upstream's process; apply says whether it did.
func (r *Registry) change(id coltsidentity.Upstream, born time.Time, apply func(*Entry) bool) bool {
	s := &r.shards[coltsshard.Of(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, known := s.entries[id]
	if !known || !rec.entry.Upstream.Born.Equal(born) || !apply(&rec.entry) {
		return false
	}
	rec.entry.Revision = r.revision.Add(1)
	s.entries[id] = rec
	return true
}

// Sweep marks the upstreams whose reports are overdue and forgets those that have
// been away for long. It returns those that fell silent. If this process itself
// stood still since the last sweep, nobody is overdue: reports may wait unread.
func (r *Registry) Sweep(now time.Time) []Upstream {
	r.sweepMu.Lock()
	stood := !r.sweptAt.IsZero() && now.Sub(r.sweptAt) > sweepGap
	r.sweptAt = now
	r.sweepMu.Unlock()
	if stood {
		r.Renew(now)
		return nil
	}
	var silent []Upstream
	for i := range r.shards {
		silent = append(silent, r.sweepShard(&r.shards[i], now)...)
	}
	return silent
}

func (r *Registry) sweepShard(s *registryShard, now time.Time) []Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	var silent []Upstream
	for id, rec := range s.entries {
		if !now.Before(rec.forgetAt) {
			delete(s.entries, id)
			continue
		}
		if rec.entry.Silent || rec.entry.Upstream.State == StateGone || now.Before(rec.silentAt) {
			continue
		}
		rec.entry.Silent = true
		rec.entry.Revision = r.revision.Add(1)
		s.entries[id] = rec
		silent = append(silent, rec.entry.Upstream)
	}
	return silent
}

// Renew gives every upstream that is not silent its whole time anew, as a new owner
// of the registry must who has not been told of their reports.
func (r *Registry) Renew(now time.Time) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for id, rec := range s.entries {
			rec.silentAt = now.Add(r.cfg.SilentAfter)
			rec.forgetAt = now.Add(forgetAfter)
			s.entries[id] = rec
		}
		s.mu.Unlock()
	}
}

// Mirror takes in an entry of another registry, and says whether it was news.
func (r *Registry) Mirror(e Entry, now time.Time) bool {
	changed, err := r.Report(e.Upstream, now)
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
// which they are complete.
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

// Find returns the entry of an upstream.
func (r *Registry) Find(id coltsidentity.Upstream) (Entry, bool) {
	s := &r.shards[coltsshard.Of(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, known := s.entries[id]
	return rec.entry, known
}
