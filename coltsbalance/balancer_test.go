package coltsbalance

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
)

var now = time.Unix(1_700_000_000, 0)

func entry(id string, state coltsregistry.State, sequence uint64) coltsregistry.Entry {
	return coltsregistry.Entry{Upstream: coltsregistry.Upstream{
		ID: coltsidentity.Upstream(id), Service: "llm", Slots: 4, State: state, StartedAt: now, Sequence: sequence,
	}}
}

func newBalancer(n int) *Balancer {
	turn := 0
	b := New(Config{Random: func(n int) int { turn++; return turn % n }})
	for i := range n {
		b.Update(entry(fmt.Sprint("r", i), coltsregistry.StateReady, 1))
	}
	return b
}

func choose(t *testing.T, b *Balancer, d Demand) Choice {
	t.Helper()
	d.Service = "llm"
	if d.Weight == 0 {
		d.Weight = 1
	}
	if d.Capacity == 0 {
		d.Capacity, d.HomeBonus = 4, 0.5
	}
	c, err := b.Choose(d, now)
	assert.NilError(t, err)
	return c
}

func assertNone(t *testing.T, b *Balancer) {
	t.Helper()
	_, err := b.Choose(Demand{Service: "llm", Weight: 1}, now)
	var none *NoUpstreamError
	assert.Assert(t, errors.As(err, &none), "got %v", err)
}

func TestChoose(t *testing.T) {
	t.Run("work without affinity is spread evenly", func(t *testing.T) {
		b, counts := newBalancer(4), map[coltsidentity.Upstream]int{}
		for range 40 {
			counts[choose(t, b, Demand{}).Upstream.ID]++
		}
		for id, n := range counts {
			assert.Assert(t, n >= 8 && n <= 12, "%s has %d", id, n)
		}
	})
	t.Run("instances that know the same don't all take the same", func(t *testing.T) {
		b, counts := newBalancer(18), map[coltsidentity.Upstream]int{}
		for range 36 {
			c := choose(t, b, Demand{Capacity: 100})
			b.Done(c, OutcomeUntold, now)
			counts[c.Upstream.ID]++
		}
		assert.Assert(t, len(counts) >= 9, "%v", counts)
	})
	t.Run("what shares a part goes to one place in every instance", func(t *testing.T) {
		first := choose(t, newBalancer(6), Demand{Affinity: []byte("part")})
		again := choose(t, newBalancer(6), Demand{Affinity: []byte("part")})
		assert.Equal(t, first.Upstream.ID, again.Upstream.ID)
		assert.Assert(t, first.Home)
	})
	t.Run("a home that is loaded above the others by more than its bonus is passed over", func(t *testing.T) {
		b, counts := newBalancer(4), map[coltsidentity.Upstream]int{}
		for range 40 {
			counts[choose(t, b, Demand{Affinity: []byte("part"), Capacity: 100, HomeBonus: 0.1}).Upstream.ID]++
		}
		for id, n := range counts {
			assert.Assert(t, n >= 7 && n <= 18, "%s has %d", id, n)
		}
	})
	t.Run("what others have under way counts", func(t *testing.T) {
		b := newBalancer(2)
		b.SetOthers([]Load{{Upstream: "r0", Amount: 10}}, now)
		for range 5 {
			assert.Equal(t, choose(t, b, Demand{Capacity: 100}).Upstream.ID, coltsidentity.Upstream("r1"))
		}
	})
	t.Run("what was tried is not chosen again", func(t *testing.T) {
		b := newBalancer(2)
		first := choose(t, b, Demand{})
		second := choose(t, b, Demand{Exclude: []coltsidentity.Upstream{first.Upstream.ID}})
		assert.Assert(t, first.Upstream.ID != second.Upstream.ID)
	})
}

func TestRoundRobin(t *testing.T) {
	b := New(Config{Policy: PolicyRoundRobin})
	for _, id := range []string{"r0", "r1", "r2"} {
		b.Update(entry(id, coltsregistry.StateReady, 1))
	}
	counts := map[coltsidentity.Upstream]int{}
	for range 30 {
		counts[choose(t, b, Demand{Capacity: 1, Limit: 0.5}).Upstream.ID]++
	}
	t.Run("nobody waits however loaded all are", func(t *testing.T) {
		assert.Equal(t, counts["r0"]+counts["r1"]+counts["r2"], 30)
	})
}

func TestUpdate(t *testing.T) {
	t.Run("a draining upstream gets nothing", func(t *testing.T) {
		b := newBalancer(1)
		b.Update(entry("r0", coltsregistry.StateDraining, 2))
		assertNone(t, b)
	})
	t.Run("an older word does not bring it back", func(t *testing.T) {
		b := newBalancer(1)
		b.Update(entry("r0", coltsregistry.StateGone, 2))
		b.Update(entry("r0", coltsregistry.StateReady, 1))
		assertNone(t, b)
	})
	t.Run("a silent upstream is used only while answers speak for it", func(t *testing.T) {
		b := newBalancer(1)
		c := choose(t, b, Demand{})
		silent := entry("r0", coltsregistry.StateReady, 1)
		silent.Silent = true
		b.Update(silent)
		assertNone(t, b)
		b.Done(c, OutcomeAnswered, now)
		choose(t, b, Demand{})
	})
}

func TestDone(t *testing.T) {
	t.Run("one that failed rests while others are there", func(t *testing.T) {
		b := newBalancer(2)
		c := choose(t, b, Demand{})
		b.Done(c, OutcomeFailed, now)
		for range 5 {
			assert.Assert(t, choose(t, b, Demand{}).Upstream.ID != c.Upstream.ID)
		}
	})
	t.Run("one that failed is used if there is no other", func(t *testing.T) {
		b := newBalancer(1)
		b.Done(choose(t, b, Demand{}), OutcomeFailed, now)
		choose(t, b, Demand{})
	})
}

func TestLoads(t *testing.T) {
	l := NewLoads()
	l.Report("a", []Load{{Upstream: "r0", Amount: 1}, {Upstream: "r1", Amount: 2}}, now)
	l.Report("b", []Load{{Upstream: "r1", Amount: 3}}, now)
	t.Run("everybody hears of all others", func(t *testing.T) {
		assert.DeepEqual(t, l.Others("a", now), []Load{{Upstream: "r1", Amount: 3}})
		assert.DeepEqual(t, l.Others("c", now), []Load{{Upstream: "r0", Amount: 1}, {Upstream: "r1", Amount: 5}})
	})
	t.Run("one that reports no more is forgotten", func(t *testing.T) {
		assert.Equal(t, len(l.Others("c", now.Add(loadTimeout))), 0)
	})
}

// paced has the streams of an upstream come with a pause.
func paced(b *Balancer, id string, gap time.Duration) {
	for range 30 {
		b.Paced(Choice{Upstream: coltsregistry.Upstream{ID: coltsidentity.Upstream(id)}}, gap, now)
	}
}

// assertShare asserts how many of 100 requests an upstream got.
func assertShare(t *testing.T, b *Balancer, id string, least, most int) {
	t.Helper()
	n := 0
	for range 100 {
		c := choose(t, b, Demand{Capacity: 100, PaceBias: 1})
		b.Done(c, OutcomeUntold, now)
		if c.Upstream.ID == coltsidentity.Upstream(id) {
			n++
		}
	}
	assert.Assert(t, n >= least && n <= most, "%s got %d of 100", id, n)
}

func TestPace(t *testing.T) {
	t.Run("an upstream whose streams come slower gets less", func(t *testing.T) {
		b := newBalancer(4)
		for _, id := range []string{"r1", "r2", "r3"} {
			paced(b, id, 20*time.Millisecond)
		}
		paced(b, "r0", 100*time.Millisecond)
		assertShare(t, b, "r0", 0, 10)
	})
	t.Run("one whose pace is not known counts as the others", func(t *testing.T) {
		b := newBalancer(4)
		paced(b, "r1", 20*time.Millisecond)
		paced(b, "r2", 20*time.Millisecond)
		assertShare(t, b, "r0", 15, 60)
	})
	t.Run("a pace that was measured long ago does not count", func(t *testing.T) {
		b := newBalancer(4)
		paced(b, "r1", 20*time.Millisecond)
		paced(b, "r2", 20*time.Millisecond)
		b.Paced(Choice{Upstream: coltsregistry.Upstream{ID: "r0"}}, time.Second, now.Add(-gapFor))
		assertShare(t, b, "r0", 15, 60)
	})
}
