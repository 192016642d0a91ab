package coltsbalance

// Picks one of the candidates by the policy.

import (
	"slices"
	"time"
)

// pick returns the index of the chosen candidate and whether it is the demand's home. The
// least-loaded policy compares the home and a random sample of the candidates, and picks the
// one with the lowest cost. It does not compare all candidates because instances learn of
// each other's load with a delay: all of them would pick the same upstream at once.
func (b *Balancer) pick(d Demand, candidates []candidate, now time.Time) (int, bool) {
	if b.cfg.Policy == PolicyRoundRobin {
		return int(b.roundRobin.Add(1) % uint64(len(candidates))), false
	}
	if b.averages(d) {
		return b.pickByShare(candidates), false
	}
	if !b.isInformed(d.Service, now) {
		return b.pickUninformed(d, candidates)
	}
	home := homeOf(d, candidates)
	best := home
	for _, i := range b.sample(len(candidates)) {
		if best < 0 || costOf(d, candidates[i], i == home) < costOf(d, candidates[best], best == home) {
			best = i
		}
	}
	return best, best == home
}

// homeOf returns the index of the demand's home, -1 if it has none.
func homeOf(d Demand, candidates []candidate) int {
	home := -1
	if len(d.Affinity) > 0 {
		for i, c := range candidates {
			if home < 0 || c.score > candidates[home].score {
				home = i
			}
		}
	}
	return home
}

// utilisation returns the load that a candidate would have with the demand, as a share of
// its capacity. It returns 0 for an idle candidate, which has room for a demand of any size.
func utilisation(d Demand, candidates []candidate, i int) float64 {
	if candidates[i].load <= 0 {
		return 0
	}
	return (candidates[i].load + d.Weight) / max(1, d.Capacity)
}

// maxSample is how many candidates are drawn at random. A larger sample finds a less loaded one, but
// is more likely to contain the same one for many instances at once.
const maxSample = 3

// sample returns the indexes of up to maxSample different candidates, drawn at random from n.
func (b *Balancer) sample(n int) []int {
	drawn := make([]int, 0, maxSample)
	for len(drawn) < min(n, maxSample) {
		i := b.cfg.Random(n)
		for slices.Contains(drawn, i) {
			i = (i + 1) % n
		}
		drawn = append(drawn, i)
	}
	return drawn
}

// costOf returns the cost of a candidate, as a share of its capacity.
func costOf(d Demand, c candidate, home bool) float64 { return termsOf(d, c, home).Sum() }
