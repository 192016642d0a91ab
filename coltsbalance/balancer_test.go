package coltsbalance

import (
	"errors"
	"fmt"
	"math/rand/v2"
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
	b := New(Config{Random: rand.New(rand.NewPCG(1, 2)).IntN})
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

func assertNoUpstream(t *testing.T, b *Balancer) {
	t.Helper()
	_, err := b.Choose(Demand{Service: "llm", Weight: 1}, now)
	var noUpstream *NoUpstreamError
	assert.Assert(t, errors.As(err, &noUpstream), "got %v", err)
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
	t.Run("instances with the same view don't all choose the same upstream", func(t *testing.T) {
		b, counts := newBalancer(18), map[coltsidentity.Upstream]int{}
		for range 36 {
			c := choose(t, b, Demand{Capacity: 100})
			b.Done(c, OutcomeNeutral, now)
			counts[c.Upstream.ID]++
		}
		assert.Assert(t, len(counts) >= 9, "%v", counts)
	})
	t.Run("requests with the same affinity have the same home in every instance", func(t *testing.T) {
		first := choose(t, newBalancer(6), Demand{Affinity: []byte("part")})
		again := choose(t, newBalancer(6), Demand{Affinity: []byte("part")})
		assert.Equal(t, first.Upstream.ID, again.Upstream.ID)
		assert.Assert(t, first.Home)
	})
	t.Run("a home loaded above the others by more than its bonus is not chosen", func(t *testing.T) {
		b, counts := newBalancer(4), map[coltsidentity.Upstream]int{}
		for range 40 {
			counts[choose(t, b, Demand{Affinity: []byte("part"), Capacity: 100, HomeBonus: 0.1}).Upstream.ID]++
		}
		for id, n := range counts {
			assert.Assert(t, n >= 7 && n <= 18, "%s has %d", id, n)
		}
	})
	t.Run("the load of other instances counts", func(t *testing.T) {
		b := newBalancer(2)
		b.SetPeerLoads([]Load{{Upstream: "r0", Amount: 10}}, now)
		for range 5 {
			assert.Equal(t, choose(t, b, Demand{Capacity: 100}).Upstream.ID, coltsidentity.Upstream("r1"))
		}
	})
	t.Run("an excluded upstream is not chosen", func(t *testing.T) {
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
	t.Run("load limits are ignored", func(t *testing.T) {
		assert.Equal(t, counts["r0"]+counts["r1"]+counts["r2"], 30)
	})
}

func TestUpdate(t *testing.T) {
	t.Run("a draining upstream gets no requests", func(t *testing.T) {
		b := newBalancer(1)
		b.Update(entry("r0", coltsregistry.StateDraining, 2))
		assertNoUpstream(t, b)
	})
	t.Run("an older report does not bring an upstream back", func(t *testing.T) {
		b := newBalancer(1)
		b.Update(entry("r0", coltsregistry.StateGone, 2))
		b.Update(entry("r0", coltsregistry.StateReady, 1))
		assertNoUpstream(t, b)
	})
	t.Run("a silent upstream is used only after a recent answer", func(t *testing.T) {
		b := newBalancer(1)
		c := choose(t, b, Demand{})
		silent := entry("r0", coltsregistry.StateReady, 1)
		silent.Silent = true
		b.Update(silent)
		assertNoUpstream(t, b)
		b.Done(c, OutcomeAnswered, now)
		choose(t, b, Demand{})
	})
}

func TestDone(t *testing.T) {
	t.Run("an upstream that failed is avoided while there are others", func(t *testing.T) {
		b := newBalancer(2)
		c := choose(t, b, Demand{})
		b.Done(c, OutcomeFailed, now)
		for range 5 {
			assert.Assert(t, choose(t, b, Demand{}).Upstream.ID != c.Upstream.ID)
		}
	})
	t.Run("an upstream that failed is used if there is no other", func(t *testing.T) {
		b := newBalancer(1)
		b.Done(choose(t, b, Demand{}), OutcomeFailed, now)
		choose(t, b, Demand{})
	})
}

func TestLoads(t *testing.T) {
	l := NewLoads()
	l.Report("a", []Load{{Upstream: "r0", Amount: 1}, {Upstream: "r1", Amount: 2}}, now)
	l.Report("b", []Load{{Upstream: "r1", Amount: 3}}, now)
	t.Run("an instance gets the sum of all others", func(t *testing.T) {
		assert.DeepEqual(t, l.Others("a", now), []Load{{Upstream: "r1", Amount: 3}})
		assert.DeepEqual(t, l.Others("c", now), []Load{{Upstream: "r0", Amount: 1}, {Upstream: "r1", Amount: 5}})
	})
	t.Run("an instance that stops reporting is forgotten", func(t *testing.T) {
		assert.Equal(t, len(l.Others("c", now.Add(loadReportTTL))), 0)
	})
}

// recordGaps records gaps between the stream events of an upstream.
func recordGaps(b *Balancer, id string, gap time.Duration) {
	for range 30 {
		b.RecordGap(Choice{Upstream: coltsregistry.Upstream{ID: coltsidentity.Upstream(id)}}, gap, now)
	}
}

// assertShare asserts that an upstream gets at least least and at most most of 100 requests.
func assertShare(t *testing.T, b *Balancer, id string, least, most int) {
	t.Helper()
	n := 0
	for range 100 {
		c := choose(t, b, Demand{Capacity: 100, PacePenalty: 1})
		b.Done(c, OutcomeNeutral, now)
		if c.Upstream.ID == coltsidentity.Upstream(id) {
			n++
		}
	}
	assert.Assert(t, n >= least && n <= most, "%s got %d of 100", id, n)
}

func TestPace(t *testing.T) {
	t.Run("an upstream with slower streams gets fewer requests", func(t *testing.T) {
		b := newBalancer(4)
		for _, id := range []string{"r1", "r2", "r3"} {
			recordGaps(b, id, 20*time.Millisecond)
		}
		recordGaps(b, "r0", 100*time.Millisecond)
		assertShare(t, b, "r0", 0, 10)
	})
	t.Run("an upstream without measured gaps counts as average", func(t *testing.T) {
		b := newBalancer(4)
		recordGaps(b, "r1", 20*time.Millisecond)
		recordGaps(b, "r2", 20*time.Millisecond)
		assertShare(t, b, "r0", 15, 60)
	})
	t.Run("a gap that was measured long ago does not count", func(t *testing.T) {
		b := newBalancer(4)
		recordGaps(b, "r1", 20*time.Millisecond)
		recordGaps(b, "r2", 20*time.Millisecond)
		b.RecordGap(Choice{Upstream: coltsregistry.Upstream{ID: "r0"}}, time.Second, now.Add(-gapTTL))
		assertShare(t, b, "r0", 15, 60)
	})
}
