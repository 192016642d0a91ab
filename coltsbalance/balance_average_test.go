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
	appServers = 3
	appSlots   = 6
	// appWork is how long a request takes, appArrivals how many arrive in each step: half of the slots are
	// taken on average.
	appWork     = 30 * time.Millisecond
	appStep     = time.Millisecond
	appArrivals = 0.3
	// Instances tell each other their loads every appReportInterval; they come after appReportAge.
	appReportInterval = 100 * time.Millisecond
	appReportAge      = 50 * time.Millisecond
	appDuration       = 20 * time.Second
)

// appRequest is a request that is being served.
type appRequest struct {
	instance int
	choice   Choice
	endsAt   time.Time
}

// appReport holds the loads of all instances at one time.
type appReport struct {
	loads    [][]Load
	arriveAt time.Time
}

// appSimulation has instances send short requests to application servers.
type appSimulation struct {
	random    *rand.Rand
	balancers []*Balancer
	requests  []appRequest
	reports   []appReport
	held      map[coltsidentity.Upstream]int
	// chosen counts the requests, overrun those for which a server without a free slot was chosen though
	// another had one.
	chosen  int
	overrun int
}

func newAppSimulation(estimate LoadEstimate, instances int) *appSimulation {
	s := &appSimulation{random: rand.New(rand.NewPCG(1, uint64(instances))), held: map[coltsidentity.Upstream]int{}}
	for range instances {
		b := New(Config{LoadEstimate: estimate, Random: s.random.IntN})
		for server := range appServers {
			b.Update(coltsregistry.Entry{Upstream: coltsregistry.Upstream{
				ID: coltsidentity.Upstream(fmt.Sprint("server-", server)), Service: "app", StartedAt: time.Unix(1_700_000_000, 0),
			}})
		}
		s.balancers = append(s.balancers, b)
	}
	return s
}

// endRequests ends the requests that have been served.
func (s *appSimulation) endRequests(now time.Time) {
	kept := s.requests[:0]
	for _, r := range s.requests {
		if now.Before(r.endsAt) {
			kept = append(kept, r)
			continue
		}
		s.balancers[r.instance].Done(r.choice, OutcomeAnswered, now)
		s.held[r.choice.Upstream.ID]--
	}
	s.requests = kept
}

// exchangeLoads sends a report if one is due, and applies those that have arrived.
func (s *appSimulation) exchangeLoads(since time.Duration, now time.Time) {
	if since%appReportInterval == 0 {
		r := appReport{arriveAt: now.Add(appReportAge)}
		for _, b := range s.balancers {
			r.loads = append(r.loads, b.Loads())
		}
		s.reports = append(s.reports, r)
	}
	for len(s.reports) > 0 && !now.Before(s.reports[0].arriveAt) {
		for i, b := range s.balancers {
			b.SetPeerLoads(sumOfOthers(s.reports[0].loads, i), now)
		}
		s.reports = s.reports[1:]
	}
}

// sendRequest has a random instance send a request.
func (s *appSimulation) sendRequest(t *testing.T, now time.Time) {
	t.Helper()
	i := s.random.IntN(len(s.balancers))
	choice, err := s.balancers[i].Choose(Demand{Service: "app", Weight: 1, Capacity: 1}, now)
	assert.NilError(t, err)
	s.chosen++
	if s.held[choice.Upstream.ID] >= appSlots && len(s.requests) < appServers*appSlots {
		s.overrun++
	}
	s.held[choice.Upstream.ID]++
	s.requests = append(s.requests, appRequest{i, choice, now.Add(appWork)})
}

// overrunShare returns the share of requests for which a server without a free slot is chosen though
// another has one.
func overrunShare(t *testing.T, estimate LoadEstimate, instances int) float64 {
	t.Helper()
	s := newAppSimulation(estimate, instances)
	for since := time.Duration(0); since < appDuration; since += appStep {
		now := time.Unix(1_700_000_000, 0).Add(since)
		s.endRequests(now)
		s.exchangeLoads(since, now)
		if s.random.Float64() < appArrivals {
			s.sendRequest(t, now)
		}
	}
	return float64(s.overrun) / float64(s.chosen)
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
			averaged, newest := overrunShare(t, EstimateAveraged, instances), overrunShare(t, EstimateNewest, instances)
			t.Logf("averaged %.3f, newest %.3f", averaged, newest)
			assert.Assert(t, averaged < maxShare)
			assert.Assert(t, averaged < newest)
		})
	}
}
