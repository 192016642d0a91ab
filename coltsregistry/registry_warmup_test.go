package coltsregistry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
)

// newColdRegistry returns a registry of a service whose processes are cold for three seconds.
func newColdRegistry() *Registry {
	r := newRegistry()
	r.SetColdDurations(map[coltsidentity.Service]time.Duration{"llm": 3 * time.Second})
	return r
}

// coldReport returns a report of upstream a that it is cold for some time from start on.
func coldReport(startSecond, sequence int, left time.Duration) Upstream {
	u := report("a", startSecond, sequence, StateReady)
	u.ColdUntil = start.Add(left)
	return u
}

// assertColdFor asserts for how long after start upstream a is cold.
func assertColdFor(t *testing.T, r *Registry, want time.Duration) {
	t.Helper()
	e, known := r.Find("a")
	assert.Assert(t, known)
	assert.Equal(t, max(0, e.Upstream.ColdUntil.Sub(start)), want)
	assert.Equal(t, len(r.Cold(start)) > 0, want > 0)
}

// The failure guarded against: a process that has just started is filled as if it were warm.
func TestCold(t *testing.T) {
	t.Run("a process is cold for as long as it says", func(t *testing.T) {
		r := newColdRegistry()
		assertAccepted(t, r, coldReport(-60, 1, time.Second), true)
		assertColdFor(t, r, time.Second)
	})
	t.Run("a process that says nothing is cold after its start", func(t *testing.T) {
		r := newColdRegistry()
		assertAccepted(t, r, report("a", -1, 1, StateReady), true)
		assertColdFor(t, r, 2*time.Second)
		assertAccepted(t, r, report("a", -1, 2, StateReady), false)
		assertColdFor(t, r, 2*time.Second)
	})
	t.Run("a process that started long ago and says nothing is warm", func(t *testing.T) {
		r := newColdRegistry()
		assertAccepted(t, r, report("a", -60, 1, StateReady), true)
		assertColdFor(t, r, 0)
	})
	t.Run("a restart under the same ID is cold whatever its clock says", func(t *testing.T) {
		r := newColdRegistry()
		assertAccepted(t, r, report("a", -60, 5, StateReady), true)
		assertAccepted(t, r, report("a", -50, 1, StateReady), true)
		assertColdFor(t, r, 3*time.Second)
	})
	t.Run("a process without a start time is cold at its first report and at a new address", func(t *testing.T) {
		r := newColdRegistry()
		u := coldReport(0, 1, 0)
		u.StartedAt = time.Time{}
		assertAccepted(t, r, u, true)
		assertColdFor(t, r, 0)
		u.Sequence, u.ColdUntil = 2, time.Time{}
		assertAccepted(t, r, u, false)
		u.Sequence, u.Addr = 3, quietUpstream(0, 1).Addr
		assertAccepted(t, r, u, true)
		assertColdFor(t, r, 3*time.Second)
	})
	t.Run("a warm process that becomes cold again is a change", func(t *testing.T) {
		r := newColdRegistry()
		assertAccepted(t, r, coldReport(-60, 1, 0), true)
		assertAccepted(t, r, coldReport(-60, 2, 100*time.Millisecond), true)
		assertColdFor(t, r, 100*time.Millisecond)
	})
	t.Run("a deadline that moves as much as reports are delayed is no change", func(t *testing.T) {
		r := newColdRegistry()
		assertAccepted(t, r, coldReport(-60, 1, time.Second), true)
		assertAccepted(t, r, coldReport(-60, 2, time.Second+coldTolerance), false)
		assertColdFor(t, r, time.Second)
		assertAccepted(t, r, coldReport(-60, 3, time.Second+coldTolerance+1), true)
	})
	t.Run("no process of a service without a limit is cold", func(t *testing.T) {
		r := newRegistry()
		assertAccepted(t, r, coldReport(0, 1, time.Second), true)
		assertColdFor(t, r, 0)
		assert.Equal(t, r.MarkCold("", start), 0)
	})
	t.Run("a mirror takes the deadline over and decides nothing itself", func(t *testing.T) {
		r := newColdRegistry()
		assert.Assert(t, r.Mirror(Entry{Upstream: report("a", 0, 1, StateReady)}, start))
		assertColdFor(t, r, 0)
		assert.Assert(t, r.Mirror(Entry{Upstream: coldReport(0, 1, time.Second)}, start))
		assertColdFor(t, r, time.Second)
	})
	t.Run("the upstreams of a marked data centre are cold until they say otherwise", func(t *testing.T) {
		r := newColdRegistry()
		assertAccepted(t, r, coldReport(-60, 1, 0), true)
		assert.Equal(t, r.MarkCold("elsewhere", start), 0)
		assert.Equal(t, r.MarkCold("", start), 1)
		assert.Equal(t, r.MarkCold("", start), 0)
		assertColdFor(t, r, 3*time.Second)
		assertAccepted(t, r, report("a", -60, 2, StateReady), false)
		assertColdFor(t, r, 3*time.Second)
		assertAccepted(t, r, coldReport(-60, 3, 0), true)
		assertColdFor(t, r, 0)
	})
}

// The failure guarded against: after a restart of control, upstreams report before the new leader has applied the route
// table, and cold ones count as warm from then on.
func TestReportsBeforeRoutes(t *testing.T) {
	applyRoutes := func(r *Registry) {
		r.SetColdDurations(map[coltsidentity.Service]time.Duration{"llm": 3 * time.Second})
	}
	t.Run("a deadline that was restored is kept", func(t *testing.T) {
		r := newRegistry()
		assert.Assert(t, r.Mirror(Entry{Upstream: coldReport(-60, 1, 2*time.Second)}, start))
		assertAccepted(t, r, report("a", -60, 2, StateReady), false)
		applyRoutes(r)
		assertAccepted(t, r, report("a", -60, 3, StateReady), false)
		assertColdFor(t, r, 2*time.Second)
	})
	t.Run("a process that has just started is cold from its next report on", func(t *testing.T) {
		r := newRegistry()
		assertAccepted(t, r, report("a", -1, 1, StateReady), true)
		applyRoutes(r)
		assertAccepted(t, r, report("a", -1, 2, StateReady), true)
		assertColdFor(t, r, 2*time.Second)
		assertAccepted(t, r, report("a", -1, 3, StateReady), false)
	})
	t.Run("a process that started long ago or does not say when stays warm", func(t *testing.T) {
		r, unknownStart := newRegistry(), report("b", 0, 1, StateReady)
		unknownStart.StartedAt, unknownStart.Addr = time.Time{}, quietUpstream(0, 1).Addr
		assertAccepted(t, r, report("a", -60, 1, StateReady), true)
		assertAccepted(t, r, unknownStart, true)
		applyRoutes(r)
		unknownStart.Sequence = 2
		assertAccepted(t, r, report("a", -60, 2, StateReady), false)
		assertAccepted(t, r, unknownStart, false)
		assertColdFor(t, r, 0)
	})
}
