package coltsbalance

// Guards against requests that reach the upstreams of an evacuated data centre.

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

// newBalancerInTwo returns a balancer with n upstreams in each of the data centres z1 and z2.
func newBalancerInTwo(n int) *Balancer {
	b := New(Config{Random: rand.New(rand.NewPCG(1, 2)).IntN})
	for i := range n {
		for _, dc := range []string{"z1", "z2"} {
			e := entry(fmt.Sprint(dc, "-", i), coltsregistry.StateReady, 1)
			e.Upstream.DataCentre = coltsidentity.DataCentre(dc)
			b.Update(e)
		}
	}
	return b
}

// assertChosenIn asserts that requests of several kinds get an upstream, and only in one data centre.
func assertChosenIn(t *testing.T, b *Balancer, dc string) {
	t.Helper()
	for i := range 50 {
		for _, d := range []Demand{
			{Capacity: 100},
			{Capacity: 100, Affinity: fmt.Append(nil, "part", i), HomeBonus: 5},
			{Capacity: 100, CacheDataCentre: "z1", DataCentreBonus: 5},
			{Capacity: 100, Weight: 60, Limit: 0.9},
			{Capacity: 100, Exclude: []coltsidentity.Upstream{"z2-0"}},
		} {
			c := choose(t, b, d)
			assert.Equal(t, string(c.Upstream.DataCentre), dc)
			b.Done(c, OutcomeNeutral, now)
		}
	}
}

// assertEvacuated asserts that a demand is refused because its upstreams are in evacuated data centres.
func assertEvacuated(t *testing.T, b *Balancer, upstreams int, dcs ...coltsidentity.DataCentre) {
	t.Helper()
	_, err := b.Choose(Demand{Service: "llm", Weight: 1, Capacity: 4}, now)
	var evacuated *EvacuatedError
	assert.Assert(t, errors.As(err, &evacuated), "%v", err)
	assert.DeepEqual(t, evacuated, &EvacuatedError{Service: "llm", DataCentres: dcs, Upstreams: upstreams})
}

func TestEvacuations(t *testing.T) {
	t.Run("nothing is chosen there for any kind of request, until the end", func(t *testing.T) {
		b := newBalancerInTwo(3)
		b.SetEvacuations([]coltsidentity.DataCentre{"z1"})
		assertChosenIn(t, b, "z2")
		b.SetEvacuations([]coltsidentity.DataCentre{"z2"})
		assertChosenIn(t, b, "z1")
		b.SetEvacuations(nil)
		assert.Equal(t, choose(t, b, Demand{Exclude: []coltsidentity.Upstream{"z1-0", "z1-1", "z1-2"}}).Upstream.DataCentre, coltsidentity.DataCentre("z2"))
	})
	t.Run("an upstream that is overloaded or avoided elsewhere is preferred", func(t *testing.T) {
		b := newBalancerInTwo(1)
		b.SetEvacuations([]coltsidentity.DataCentre{"z1"})
		b.SetPeerLoads([]Load{{Upstream: "z2-0", Amount: 99}}, now)
		for range 3 {
			c := choose(t, b, Demand{Capacity: 4, PrefillPenalty: 1})
			assert.Equal(t, c.Upstream.ID, coltsidentity.Upstream("z2-0"))
			b.Done(c, OutcomeFailed, now)
		}
		_, err := b.Choose(Demand{Service: "llm", Weight: 1, Capacity: 4, Limit: 0.9}, now)
		var full *FullError
		assert.Assert(t, errors.As(err, &full), "a request must wait for room elsewhere: %v", err)
	})
	t.Run("a choice from before the order is withdrawn, and one elsewhere is not", func(t *testing.T) {
		b := newBalancerInTwo(1)
		in1, in2 := choose(t, b, Demand{Exclude: []coltsidentity.Upstream{"z2-0"}}), choose(t, b, Demand{Exclude: []coltsidentity.Upstream{"z1-0"}})
		assert.Assert(t, !b.IsWithdrawn(in1, now))
		b.SetEvacuations([]coltsidentity.DataCentre{"z1"})
		assert.Assert(t, b.IsWithdrawn(in1, now))
		assert.Assert(t, !b.IsWithdrawn(in2, now))
	})
	t.Run("an order between the comparison of upstreams and the reservation counts", func(t *testing.T) {
		b := newBalancerInTwo(1)
		b.SetEvacuations([]coltsidentity.DataCentre{"z1"})
		_, reserved := b.reserve("z1-0", Demand{Weight: 1, Capacity: 4}, now)
		assert.Assert(t, !reserved)
	})
	t.Run("an upstream that registers during the order is not chosen", func(t *testing.T) {
		b := newBalancerInTwo(2)
		b.SetEvacuations([]coltsidentity.DataCentre{"z1", "z3"})
		e := entry("z3-0", coltsregistry.StateReady, 1)
		e.Upstream.DataCentre = "z3"
		b.Update(e)
		assertChosenIn(t, b, "z2")
	})
	t.Run("without an upstream elsewhere the error says where they are", func(t *testing.T) {
		b := newBalancerInTwo(2)
		b.SetEvacuations([]coltsidentity.DataCentre{"z2", "z1"})
		assertEvacuated(t, b, 4, "z1", "z2")
	})
	t.Run("one that asks for a pause counts as evacuated, one that can't be used does not", func(t *testing.T) {
		b := newBalancerInTwo(1)
		b.SetEvacuations([]coltsidentity.DataCentre{"z1", "z2"})
		b.RecordPause("z1-0", now, now.Add(time.Second), now)
		assertEvacuated(t, b, 2, "z1", "z2")
		gone := entry("z2-0", coltsregistry.StateDraining, 2)
		gone.Upstream.DataCentre = "z2"
		b.Update(gone)
		assertEvacuated(t, b, 1, "z1")
		b.RecordLeaving("z1-0", now)
		assertNoUpstream(t, b)
	})
}
