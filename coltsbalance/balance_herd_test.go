package coltsbalance

// Herd: many instances choose at the same time, and all know the same loads, which are as old as the
// last reports. The fewer upstreams each of them compares, the fewer choose the same one.

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
)

// herd has instances that know the same random loads choose one upstream each. It returns the greatest
// number of choices of one upstream, and the average load of the chosen ones before the choices, as a
// share of the capacity.
func herd(t *testing.T, seed uint64, upstreams, instances int) (crowd int, load float64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	loads := make([]Load, upstreams)
	for i := range loads {
		loads[i] = Load{Upstream: coltsidentity.Upstream(fmt.Sprint("r", i)), Amount: 30 + 60*random.Float64()}
	}
	counts := map[coltsidentity.Upstream]int{}
	for range instances {
		b := New(Config{Random: random.IntN})
		for _, l := range loads {
			b.Update(entry(string(l.Upstream), coltsregistry.StateReady, 1))
		}
		b.SetPeerLoads(loads, now)
		c := choose(t, b, Demand{Weight: 12, Capacity: 100})
		counts[c.Upstream.ID]++
		load += c.Load / float64(instances)
	}
	for _, n := range counts {
		crowd = max(crowd, n)
	}
	return crowd, load - 0.12
}

func TestHerd(t *testing.T) {
	const seeds, upstreams, instances = 100, 53, 30
	crowd, load := 0.0, 0.0
	for seed := range uint64(seeds) {
		n, l := herd(t, seed, upstreams, instances)
		crowd += float64(n) / seeds
		load += l / seeds
	}
	t.Run("few instances choose the same upstream", func(t *testing.T) {
		// If each took any upstream at random, 2.8 would be the average.
		assert.Assert(t, crowd < 4, "%.2f", crowd)
	})
	t.Run("less loaded upstreams are preferred", func(t *testing.T) {
		// The average load of all is 0.6.
		assert.Assert(t, load < 0.5, "%.2f", load)
	})
}
