package coltsbalance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
)

// loaded returns a balancer whose upstreams r0, r1 and so on have these loads by other instances.
func loaded(seed uint64, amounts ...float64) (*Balancer, []Load) {
	b := New(Config{Random: rand.New(rand.NewPCG(seed, 0)).IntN})
	loads := make([]Load, len(amounts))
	for i, amount := range amounts {
		loads[i] = Load{Upstream: coltsidentity.Upstream(fmt.Sprint("r", i)), Amount: amount}
		b.Update(entry(string(loads[i].Upstream), coltsregistry.StateReady, 1))
	}
	b.SetPeerLoads(loads, now)
	return b, loads
}

func assertImbalance(t *testing.T, b *Balancer, want Imbalance) {
	t.Helper()
	assert.DeepEqual(t, b.TakeImbalance(), want)
}

// Guards against a gateway that keeps choosing an upstream that others fill at the same moment,
// without an operator seeing it.
func TestImbalance(t *testing.T) {
	t.Run("a choice counts once, by the load that the next report shows", func(t *testing.T) {
		b, loads := loaded(1, 5, 90, 90)
		c := choose(t, b, Demand{Weight: 10, Capacity: 100})
		assert.Equal(t, c.Upstream.ID, coltsidentity.Upstream("r0"))
		loads[0].Amount = 900
		b.SetPeerLoads(loads, now.Add(imbalancePeriod))
		assertImbalance(t, b, Imbalance{Compared: 1, Overloaded: 1})
		b.SetPeerLoads(loads, now.Add(2*imbalancePeriod))
		assertImbalance(t, b, Imbalance{})
	})
	t.Run("an even load counts as compared only", func(t *testing.T) {
		b, loads := loaded(1, 50, 50, 50)
		choose(t, b, Demand{Weight: 10, Capacity: 100})
		b.SetPeerLoads(loads, now.Add(imbalancePeriod))
		assertImbalance(t, b, Imbalance{Compared: 1})
	})
	t.Run("loads are compared at most once in a period", func(t *testing.T) {
		b, loads := loaded(1, 50, 50, 50)
		choose(t, b, Demand{Weight: 10, Capacity: 100})
		b.SetPeerLoads(loads, now.Add(imbalancePeriod-time.Millisecond))
		assertImbalance(t, b, Imbalance{})
	})
}

// BenchmarkChoose measures a choice of a gateway of customer B, which runs on a fifth of a core.
func BenchmarkChoose(b *testing.B) {
	balancer, _ := loaded(1, make([]float64, 140)...)
	d := Demand{Service: "llm", Weight: 12_000, Capacity: 82_486, Affinity: []byte("part"), HomeBonus: 0.6, Prefill: 3_000, PrefillPenalty: 12}
	for b.Loop() {
		c, err := balancer.Choose(d, now)
		if err != nil {
			b.Fatal(err)
		}
		balancer.Done(c, OutcomeAnswered, now)
	}
}
