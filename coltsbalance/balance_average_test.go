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

// shortRequests simulates instances that send requests of 30 ms to three application servers, and tell
// each other their loads every reportInterval, with half of the servers' slots taken on average. It
// returns the share of requests for which a server without a free slot is chosen though another has one.
func shortRequests(estimate LoadEstimate, instances int) float64 {
	const (
		servers        = 3
		slots          = 6
		work           = 30 * time.Millisecond
		step           = time.Millisecond
		reportInterval = 100 * time.Millisecond
		reportAge      = 50 * time.Millisecond
		perStep        = 0.3
		duration       = 20 * time.Second
	)
	start := time.Unix(1_700_000_000, 0)
	random := rand.New(rand.NewPCG(1, uint64(instances)))
	balancers := make([]*Balancer, instances)
	for i := range balancers {
		balancers[i] = New(Config{LoadEstimate: estimate, Random: random.IntN})
		for s := range servers {
			balancers[i].Update(coltsregistry.Entry{Upstream: coltsregistry.Upstream{
				ID: coltsidentity.Upstream(fmt.Sprint("server-", s)), Service: "app", StartedAt: start,
			}})
		}
	}
	type running struct {
		instance int
		choice   Choice
		endsAt   time.Time
	}
	type report struct {
		loads    [][]Load
		arriveAt time.Time
	}
	var requests []running
	var reports []report
	held := map[coltsidentity.Upstream]int{}
	chosen, overrun := 0, 0
	for now := start; now.Before(start.Add(duration)); now = now.Add(step) {
		kept := requests[:0]
		for _, r := range requests {
			if now.Before(r.endsAt) {
				kept = append(kept, r)
				continue
			}
			balancers[r.instance].Done(r.choice, OutcomeAnswered, now)
			held[r.choice.Upstream.ID]--
		}
		requests = kept
		if now.Sub(start)%reportInterval == 0 {
			r := report{arriveAt: now.Add(reportAge)}
			for _, b := range balancers {
				r.loads = append(r.loads, b.Loads())
			}
			reports = append(reports, r)
		}
		for len(reports) > 0 && !now.Before(reports[0].arriveAt) {
			for i, b := range balancers {
				b.SetPeerLoads(sumOfOthers(reports[0].loads, i), now)
			}
			reports = reports[1:]
		}
		if random.Float64() >= perStep {
			continue
		}
		i := random.IntN(instances)
		choice, err := balancers[i].Choose(Demand{Service: "app", Weight: 1, Capacity: 1}, now)
		if err != nil {
			panic(err)
		}
		chosen++
		if held[choice.Upstream.ID] >= slots && len(requests) < servers*slots {
			overrun++
		}
		held[choice.Upstream.ID]++
		requests = append(requests, running{i, choice, now.Add(work)})
	}
	return float64(overrun) / float64(chosen)
}

// sumOfOthers returns the loads of all instances except one.
func sumOfOthers(loads [][]Load, except int) []Load {
	sums := map[coltsidentity.Upstream]float64{}
	for i, list := range loads {
		for _, l := range list {
			if i != except {
				sums[l.Upstream] += l.Amount
			}
		}
	}
	var all []Load
	for id, amount := range sums {
		all = append(all, Load{Upstream: id, Amount: amount})
	}
	return all
}

// Guards against many instances that send short requests to the same application server in turns because
// they all have the same old loads.
func TestOldLoadsOfShortRequests(t *testing.T) {
	// A request that waits for a slot is late, and callers accept one late request in ten.
	const maxShare = 0.1
	for _, instances := range []int{10, 30, 100} {
		t.Run(fmt.Sprintf("%d instances rarely choose a server without a free slot", instances), func(t *testing.T) {
			averaged, newest := shortRequests(EstimateAveraged, instances), shortRequests(EstimateNewest, instances)
			t.Logf("averaged %.3f, newest %.3f", averaged, newest)
			assert.Assert(t, averaged < maxShare)
			assert.Assert(t, averaged < newest)
		})
	}
}
