package coltsregistry

// Which upstreams are cold. A process is cold for some time after its start, and again whenever it says so.
// The time is kept as a deadline by this instance's clock, and only for services that limit requests to
// cold processes: for the others, reports have no further effect than before.

import (
	"sync/atomic"
	"time"

	"coltsfootstall/coltsidentity"
)

// coldTolerance is by how much a report must move the end of the cold time to count as a change. Reports
// take up to a few tenths of a second to arrive, so the deadlines derived from them differ slightly.
const coldTolerance = 250 * time.Millisecond

// ColdDurations holds how long processes are cold after their start, for each service that limits requests to
// cold processes. It is replaced as a whole, and safe for concurrent use. The zero value is not set.
type ColdDurations struct {
	byService atomic.Pointer[map[coltsidentity.Service]time.Duration]
}

// Set replaces the durations. The caller must not modify the map afterwards.
func (c *ColdDurations) Set(byService map[coltsidentity.Service]time.Duration) {
	c.byService.Store(&byService)
}

// IsSet reports whether the durations are known.
func (c *ColdDurations) IsSet() bool { return c.byService.Load() != nil }

// IsEmpty reports whether no service is known to limit requests to cold processes.
func (c *ColdDurations) IsEmpty() bool {
	byService := c.byService.Load()
	return byService == nil || len(*byService) == 0
}

// Of returns how long a service's processes are cold after their start, and whether requests to them are
// limited.
func (c *ColdDurations) Of(service coltsidentity.Service) (time.Duration, bool) {
	byService := c.byService.Load()
	if byService == nil {
		return 0, false
	}
	d, limited := (*byService)[service]
	return d, limited
}

// warmup holds what the registry knows about cold upstreams besides its entries.
type warmup struct {
	durations ColdDurations
	// latest is the latest deadline of any entry so far, in nanoseconds since the Unix epoch. While no
	// upstream is cold, it saves a scan of the entries.
	latest atomic.Int64
}

func (w *warmup) extend(until time.Time) {
	if until.IsZero() {
		return
	}
	for latest := w.latest.Load(); until.UnixNano() > latest; latest = w.latest.Load() {
		if w.latest.CompareAndSwap(latest, until.UnixNano()) {
			return
		}
	}
}

// SetColdDurations sets how long processes are cold after their start, for each service that limits requests
// to cold processes. The caller must not modify the map afterwards.
func (r *Registry) SetColdDurations(durations map[coltsidentity.Service]time.Duration) {
	r.warmup.durations.Set(durations)
}

// LimitsCold reports whether a service limits requests to cold processes.
func (r *Registry) LimitsCold(service coltsidentity.Service) bool {
	_, limited := r.warmup.durations.Of(service)
	return limited
}

// coldUntil returns until when the process of a report is cold. known is the last report of the same ID,
// nil if there is none.
func (r *Registry) coldUntil(u Upstream, known *Upstream, now time.Time) time.Time {
	d, limited := r.warmup.durations.Of(u.Service)
	isSame := known != nil && u.SameProcess(*known)
	switch {
	case !limited && isSame && !r.warmup.durations.IsSet():
		// After a restart of control, reports come before the route table is known.
		return known.ColdUntil
	case !limited:
		return time.Time{}
	case !u.ColdUntil.IsZero():
		return u.ColdUntil
	case isSame && known.ColdUntil.IsZero() && !u.StartedAt.IsZero() && !u.StartedAt.After(now):
		// The earlier reports came before the route table that limits the service, or are those of a mirror,
		// which does not learn the deadlines of warm upstreams.
		return u.StartedAt.Add(d)
	case isSame:
		return known.ColdUntil
	case known != nil || u.StartedAt.IsZero():
		// The process has started since the last report of its ID, or does not say when: the clocks of
		// upstreams need not agree with this one, so the start counts as now.
		return now.Add(d)
	case u.StartedAt.After(now):
		return now.Add(d)
	}
	return u.StartedAt.Add(d)
}

// mirroredColdUntil returns the deadline of a mirrored entry, which its own registry has decided.
func mirroredColdUntil(u Upstream, _ *Upstream, _ time.Time) time.Time { return u.ColdUntil }

// SameProcess reports whether two reports of one ID come from the same process. Without a start time the
// address tells.
func (u Upstream) SameProcess(other Upstream) bool {
	return u.StartedAt.Equal(other.StartedAt) && (!u.StartedAt.IsZero() || u.Addr == other.Addr)
}

// IsCold reports whether the upstream is cold.
func (u Upstream) IsCold(now time.Time) bool { return now.Before(u.ColdUntil) }

// coldChanged reports whether a new end of the cold time counts as a change.
func coldChanged(known, until, now time.Time) bool {
	if known.Before(now) {
		known = now
	}
	if until.Before(now) {
		until = now
	}
	moved := until.Sub(known).Abs()
	return moved > coldTolerance || known.Equal(now) != until.Equal(now)
}

// Cold returns the upstreams that are cold and may get requests.
func (r *Registry) Cold(now time.Time) []Upstream {
	if now.UnixNano() >= r.warmup.latest.Load() {
		return nil
	}
	var cold []Upstream
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, rec := range s.entries {
			if rec.entry.Upstream.IsCold(now) && rec.entry.Upstream.State == StateReady && !rec.entry.Silent {
				cold = append(cold, rec.entry.Upstream)
			}
		}
		s.mu.Unlock()
	}
	return cold
}

// MarkCold records that all upstreams of a data centre may have become cold as late as since: where
// their service limits requests to cold processes, they are cold for as long as after a start. A later report
// of an upstream about itself replaces this. It returns how many deadlines it has set.
func (r *Registry) MarkCold(dataCentre coltsidentity.DataCentre, since time.Time) int {
	n := 0
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for id, rec := range s.entries {
			d, limited := r.warmup.durations.Of(rec.entry.Upstream.Service)
			until := since.Add(d)
			if !limited || rec.entry.Upstream.DataCentre != dataCentre || !until.After(rec.entry.Upstream.ColdUntil) {
				continue
			}
			rec.entry.Upstream.ColdUntil = until
			rec.entry.Revision = r.revision.Add(1)
			s.entries[id] = rec
			r.warmup.extend(until)
			n++
		}
		s.mu.Unlock()
	}
	return n
}
