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

const (
	fleetUpstreams = 20
	fleetInstances = 30
	// Requests end after fleetRounds exchanges of loads; their prompts are prefilled after one.
	fleetRounds = 10
	// fleetAbsent is how many rounds the first upstream is silent at the start.
	fleetAbsent = 15
)

// fleetBalancers returns the balancers of the instances, which know all upstreams and the first as silent.
func fleetBalancers(random *rand.Rand, estimate LoadReport) []*Balancer {
	balancers := make([]*Balancer, fleetInstances)
	for i := range balancers {
		balancers[i] = New(Config{LoadReport: estimate, Random: random.IntN})
		balancers[i].RecordLoadAge(0)
		for u := range fleetUpstreams {
			e := entry(fmt.Sprint("r", u), coltsregistry.StateReady, 1)
			e.Silent = u == 0
			balancers[i].Update(e)
		}
	}
	return balancers
}

// fleet has instances with stale loads send one request each in every round. It returns the greatest
// number of requests that each upstream holds as a multiple of the mean, for each round in which all
// upstreams are in use.
func fleet(t *testing.T, seed uint64, estimate LoadReport) []float64 {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	balancers := fleetBalancers(random, estimate)
	type sent struct {
		b      *Balancer
		choice Choice
	}
	var rounds [][]sent
	var peaks []float64
	held := map[coltsidentity.Upstream]int{}
	loads := NewLoads()
	for round := range 3 * fleetAbsent {
		at := now.Add(time.Duration(round) * 100 * time.Millisecond)
		for i, b := range balancers {
			loads.Report(coltsidentity.Instance(fmt.Sprint("g", i)), b.Loads(), at)
		}
		var batch []sent
		for i, b := range balancers {
			if round == fleetAbsent {
				b.Update(entry("r0", coltsregistry.StateReady, 2))
			}
			b.SetPeerLoads(loads.Others(coltsidentity.Instance(fmt.Sprint("g", i)), at), at)
			c, err := b.Choose(Demand{Service: "llm", Weight: 12, Capacity: 400, Prefill: 9, PrefillPenalty: 12}, at)
			assert.NilError(t, err)
			batch = append(batch, sent{b, c})
			held[c.Upstream.ID]++
		}
		rounds = append(rounds, batch)
		if round > 0 {
			for i := range rounds[round-1] {
				rounds[round-1][i].b.AnswerStarted(&rounds[round-1][i].choice, at)
			}
		}
		if round >= fleetRounds {
			for _, s := range rounds[round-fleetRounds] {
				s.b.Done(s.choice, OutcomeAnswered, at)
				held[s.choice.Upstream.ID]--
			}
		}
		peak, total := 0, 0
		for _, n := range held {
			peak, total = max(peak, n), total+n
		}
		if round >= fleetAbsent {
			peaks = append(peaks, float64(peak)*fleetUpstreams/float64(total))
		}
	}
	return peaks
}

// Guards against many gateways that fill the same upstream at once because they know the same stale
// loads: prompts are late at an upstream with more than twice the mean work.
func TestStaleLoads(t *testing.T) {
	for _, estimate := range LoadReports() {
		t.Run(estimate+": no upstream holds twice the mean, also after one returns empty", func(t *testing.T) {
			for seed := range uint64(3) {
				for round, peak := range fleet(t, seed, LoadReport(estimate)) {
					assert.Assert(t, peak < 2, "seed %d, round %d: %.2f times the mean", seed, round, peak)
				}
			}
		})
	}
}

// Guards against sums of loads that drift, and against a default that changes what others learn.
func TestReportedLoad(t *testing.T) {
	for estimate, want := range map[LoadReport]float64{"": 12, ReportHeld: 12, ReportPrefill: 12 + prefillFactor*9} {
		t.Run(fmt.Sprintf("%q counts a prompt that is not prefilled as %.0f, and a prefilled one as 12", estimate, want), func(t *testing.T) {
			b := New(Config{LoadReport: estimate})
			b.RecordLoadAge(0)
			b.Update(entry("r0", coltsregistry.StateReady, 1))
			c := choose(t, b, Demand{Weight: 12, Capacity: 100, Prefill: 9})
			assert.Equal(t, b.Loads()[0].Amount, want)
			b.RecordLoadAge(maxPrefillAge + 1)
			assert.Equal(t, b.Loads()[0].Amount, 12.0, "prefill is over when such old loads are used")
			b.RecordLoadAge(maxPrefillAge)
			assert.Equal(t, b.Loads()[0].Amount, want)
			b.AnswerStarted(&c, now)
			assert.Equal(t, b.Loads()[0].Amount, 12.0)
		})
	}
}
