package coltsregistry

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsweights"
)

var start = time.Unix(1_700_000_000, 0)

func report(id string, startSecond, sequence int, state State) Upstream {
	return Upstream{
		ID:        coltsidentity.Upstream(id),
		Service:   "llm",
		Addr:      netip.MustParseAddrPort("10.0.0.1:80"),
		State:     state,
		StartedAt: start.Add(time.Duration(startSecond) * time.Second),
		Sequence:  uint64(sequence),
	}
}

func newRegistry() *Registry {
	return NewRegistry(Config{SilentAfter: 4 * time.Second})
}

func assertAccepted(t *testing.T, r *Registry, u Upstream, changed bool) {
	t.Helper()
	got, err := r.Report(u, start)
	assert.NilError(t, err)
	assert.Equal(t, got, changed)
}

func assertStale(t *testing.T, r *Registry, u Upstream) {
	t.Helper()
	before, _ := r.Find(u.ID)
	_, err := r.Report(u, start)
	var stale *StaleError
	assert.Assert(t, errors.As(err, &stale), "got %v", err)
	after, _ := r.Find(u.ID)
	assert.Assert(t, reflect.DeepEqual(before, after), "%v became %v", before, after)
}

func assertState(t *testing.T, r *Registry, id string, state State) {
	t.Helper()
	e, known := r.Find(coltsidentity.Upstream(id))
	assert.Assert(t, known)
	assert.Equal(t, e.Upstream.State, state)
}

func TestReport(t *testing.T) {
	t.Run("a later report of one process wins", func(t *testing.T) {
		r := newRegistry()
		assertAccepted(t, r, report("a", 0, 2, StateReady), true)
		assertAccepted(t, r, report("a", 0, 4, StateDraining), true)
		assertStale(t, r, report("a", 0, 3, StateReady))
		assertState(t, r, "a", StateDraining)
	})
	t.Run("a repeated report does not change the entry", func(t *testing.T) {
		r := newRegistry()
		assertAccepted(t, r, report("a", 0, 2, StateReady), true)
		assertAccepted(t, r, report("a", 0, 3, StateReady), false)
	})
	t.Run("a restarted process replaces the previous one", func(t *testing.T) {
		r := newRegistry()
		assertAccepted(t, r, report("a", 0, 9, StateDraining), true)
		assertAccepted(t, r, report("a", 1, 1, StateReady), true)
		assertStale(t, r, report("a", 0, 10, StateDraining))
	})
	t.Run("a late report does not revive an upstream that left", func(t *testing.T) {
		r := newRegistry()
		assertAccepted(t, r, report("a", 0, 1, StateReady), true)
		assert.Assert(t, r.Leave("a", time.Time{}, start))
		assertStale(t, r, report("a", 0, 2, StateReady))
		assertAccepted(t, r, report("a", 5, 1, StateReady), true)
	})
	t.Run("a process that told its callers that it is leaving stays draining", func(t *testing.T) {
		r := newRegistry()
		assertAccepted(t, r, report("a", 1, 1, StateReady), true)
		assert.Assert(t, r.RecordLeaving(Process{ID: "a", StartedAt: start.Add(time.Second)}))
		assert.Assert(t, !r.RecordLeaving(Process{ID: "a", StartedAt: start}))
		assertAccepted(t, r, report("a", 1, 2, StateReady), false)
		assertState(t, r, "a", StateDraining)
		assertAccepted(t, r, report("a", 2, 1, StateReady), true)
		assertState(t, r, "a", StateReady)
	})
	t.Run("a leave from an earlier process is ignored", func(t *testing.T) {
		r := newRegistry()
		assertAccepted(t, r, report("a", 5, 1, StateReady), true)
		assert.Assert(t, !r.Leave("a", start, start))
		assertState(t, r, "a", StateReady)
	})
	t.Run("an address belongs to the process that started last", func(t *testing.T) {
		r := newRegistry()
		assertAccepted(t, r, report("old", 0, 1, StateReady), true)
		assertStale(t, r, report("forged", 0, 9, StateReady))
		assertState(t, r, "old", StateReady)
		assertAccepted(t, r, report("new", 5, 1, StateReady), true)
		assertState(t, r, "old", StateGone)
		assertStale(t, r, report("old", 0, 2, StateReady))
	})
}

func TestWeights(t *testing.T) {
	weights := func(n coltsweights.Number) []coltsweights.Weights {
		return []coltsweights.Weights{{Model: "m", Number: n}}
	}
	r := newRegistry()
	u := report("a", 0, 1, StateReady)
	u.Weights = weights(1)
	assertAccepted(t, r, u, true)
	t.Run("loaded weights change the entry immediately", func(t *testing.T) {
		assert.Assert(t, r.SetLoaded("a", u.StartedAt, weights(2)[0]))
		assert.Assert(t, !r.SetLoaded("a", u.StartedAt, weights(2)[0]))
	})
	t.Run("a report sent before the weights were loaded does not undo the change", func(t *testing.T) {
		delayed := report("a", 0, 2, StateReady)
		delayed.Weights = weights(1)
		assertAccepted(t, r, delayed, false)
		e, _ := r.Find("a")
		assert.Equal(t, e.Upstream.Weights[0].Number, coltsweights.Number(2))
	})
	t.Run("a new process replaces the known weights", func(t *testing.T) {
		again := report("a", 1, 1, StateReady)
		again.Weights = weights(1)
		assertAccepted(t, r, again, true)
	})
}

func TestSweep(t *testing.T) {
	t.Run("marks an overdue upstream once and clears it with the next report", func(t *testing.T) {
		r := newRegistry()
		assertAccepted(t, r, report("a", 0, 1, StateReady), true)
		for i := range 4 {
			assert.Equal(t, len(r.Sweep(start.Add(time.Duration(i)*time.Second))), 0)
		}
		assert.Equal(t, len(r.Sweep(start.Add(5*time.Second))), 1)
		assert.Equal(t, len(r.Sweep(start.Add(6*time.Second))), 0)
		changed, err := r.Report(report("a", 0, 2, StateReady), start.Add(7*time.Second))
		assert.NilError(t, err)
		assert.Assert(t, changed)
	})
	t.Run("marks no upstream after this process was stalled", func(t *testing.T) {
		r := newRegistry()
		assertAccepted(t, r, report("a", 0, 1, StateReady), true)
		assert.Equal(t, len(r.Sweep(start)), 0)
		assert.Equal(t, len(r.Sweep(start.Add(time.Minute))), 0)
		e, _ := r.Find("a")
		assert.Assert(t, !e.Silent)
	})
}

// countKept returns the numbers of entries and of addresses in a registry.
func countKept(r *Registry) (entries, addrs int) {
	for i := range r.shards {
		entries, addrs = entries+len(r.shards[i].entries), addrs+len(r.owners[i].owners)
	}
	return entries, addrs
}

func TestExpiry(t *testing.T) {
	fill := func(t *testing.T, r *Registry, silent bool) {
		t.Helper()
		for i := range 100 {
			u := report(fmt.Sprint(i), 0, 1, StateReady)
			u.Addr = netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1))
			assert.Assert(t, r.Mirror(Entry{Upstream: u, Silent: silent}, start))
		}
	}
	assertKept := func(t *testing.T, r *Registry, want int) {
		t.Helper()
		entries, addrs := countKept(r)
		assert.Equal(t, entries, want)
		assert.Equal(t, addrs, want)
	}
	t.Run("upstreams that no longer report are forgotten with their addresses", func(t *testing.T) {
		r := newRegistry()
		fill(t, r, false)
		for at := time.Duration(0); at <= RetentionPeriod; at += 100 * time.Millisecond {
			r.Sweep(start.Add(at))
		}
		assertKept(t, r, 0)
	})
	t.Run("a mirror forgets upstreams that fell silent", func(t *testing.T) {
		r := newRegistry()
		fill(t, r, true)
		r.SweepMirror(start.Add(RetentionPeriod))
		assertKept(t, r, 0)
	})
	t.Run("a mirror keeps upstreams that have not changed for long", func(t *testing.T) {
		r := newRegistry()
		fill(t, r, false)
		r.SweepMirror(start.Add(100 * RetentionPeriod))
		assertKept(t, r, 100)
	})
	t.Run("an address that another upstream has taken stays its own", func(t *testing.T) {
		r := newRegistry()
		assertAccepted(t, r, report("a", 0, 1, StateReady), true)
		later := start.Add(RetentionPeriod - time.Second)
		_, err := r.Report(report("b", 1, 1, StateReady), later)
		assert.NilError(t, err)
		r.SweepMirror(later.Add(RetentionPeriod))
		assertKept(t, r, 1)
	})
}

func TestSince(t *testing.T) {
	r := newRegistry()
	assertAccepted(t, r, report("a", 0, 1, StateReady), true)
	all, upTo := r.ChangedSince(0)
	assert.Equal(t, len(all), 1)
	t.Run("returns only what changed", func(t *testing.T) {
		none, again := r.ChangedSince(upTo)
		assert.Equal(t, len(none), 0)
		assert.Equal(t, again, upTo)
	})
	t.Run("returns a changed entry", func(t *testing.T) {
		assertAccepted(t, r, report("a", 0, 2, StateDraining), true)
		some, _ := r.ChangedSince(upTo)
		assert.Equal(t, len(some), 1)
	})
	t.Run("a mirror holds the same entries", func(t *testing.T) {
		mirror := newRegistry()
		entries, _ := r.ChangedSince(0)
		for _, e := range entries {
			assert.Assert(t, mirror.Mirror(e, start))
			assert.Assert(t, !mirror.Mirror(e, start))
		}
		assertState(t, mirror, "a", StateDraining)
	})
}

func TestMarkQuiet(t *testing.T) {
	newRegistry := func() *Registry {
		r := NewRegistry(Config{SilentAfter: time.Minute})
		for i := range 4 {
			_, err := r.Report(quietUpstream(i, 1), start)
			assert.NilError(t, err)
		}
		return r
	}
	assertSilent := func(t *testing.T, r *Registry, id coltsidentity.Upstream, want bool) {
		t.Helper()
		e, known := r.Find(id)
		assert.Assert(t, known)
		assert.Equal(t, e.Silent, want)
	}
	t.Run("an upstream that no entry hears from is silent until its next report", func(t *testing.T) {
		r := newRegistry()
		assert.Equal(t, len(r.MarkQuiet([]coltsidentity.Upstream{"q0", "unknown"})), 1)
		assert.Equal(t, len(r.MarkQuiet([]coltsidentity.Upstream{"q0"})), 0)
		assertSilent(t, r, "q0", true)
		_, err := r.Report(quietUpstream(0, 2), start)
		assert.NilError(t, err)
		assertSilent(t, r, "q0", false)
	})
	t.Run("at most half of a service is marked", func(t *testing.T) {
		r := newRegistry()
		assert.Equal(t, len(r.MarkQuiet([]coltsidentity.Upstream{"q0", "q1", "q2", "q3"})), 2)
		assertSilent(t, r, "q3", false)
	})
}

// quietUpstream returns the report of the ith upstream of a service.
func quietUpstream(i int, sequence uint64) Upstream {
	return Upstream{
		ID: coltsidentity.Upstream(fmt.Sprint("q", i)), Service: "llm", State: StateReady, StartedAt: start, Sequence: sequence,
		Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+i)),
	}
}

// Guards against a departure that takes a later process with the same ID out of use.
func TestDepart(t *testing.T) {
	t.Run("a process departs and does not return", func(t *testing.T) {
		r := newRegistry()
		assertAccepted(t, r, report("a", 0, 1, StateReady), true)
		p := Process{ID: "a", StartedAt: start}
		assert.Assert(t, r.Depart(p, StateGone))
		assert.Assert(t, !r.Depart(p, StateDraining))
		assertState(t, r, "a", StateGone)
	})
	t.Run("a later process with the same ID stays in use", func(t *testing.T) {
		r := newRegistry()
		assertAccepted(t, r, report("a", 1, 1, StateReady), true)
		assert.Assert(t, !r.Depart(Process{ID: "a", StartedAt: start}, StateGone))
		assertState(t, r, "a", StateReady)
	})
}
