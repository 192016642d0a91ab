package coltswarmup_test

// Customer A without a network: 84 gateways with their balancers, the leader's registry, loads and dealer, and 90
// runners of which 27 crash at once, return a second later and are cold for three seconds, three times in ten seconds.

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltswarmup"
)

const (
	step      = 5 * time.Millisecond
	runners   = 90
	crashing  = 27
	gateways  = 84
	perSecond = 670
	coldTime  = 3 * time.Second
	limit     = 19
)

var begin = time.Unix(1_700_000_000, 0)

// runner is one runner; a crash replaces its report.
type runner struct {
	report    coltsregistry.Upstream
	down      bool
	coldUntil time.Time
	// reported is set once the leader has its report, arrivals are the times of requests while it was
	// cold.
	reported bool
	arrivals []time.Time
}

type request struct {
	gateway int
	choice  coltsbalance.Choice
	endsAt  time.Time
}

// simulation is the state of one run. The leader answers nothing from frozenFrom to frozenUntil.
type simulation struct {
	random                  *rand.Rand
	now                     time.Time
	frozenFrom, frozenUntil time.Time
	runners                 []*runner
	balancers               []*coltsbalance.Balancer
	revisions               []uint64
	registry                *coltsregistry.Registry
	loads                   *coltsbalance.Loads
	dealer                  *coltswarmup.Dealer
	running                 []request
	starts, toCold, refused int
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: begin, revisions: make([]uint64, gateways),
		registry: coltsregistry.NewRegistry(coltsregistry.Config{SilentAfter: 5 * time.Second}),
		loads:    coltsbalance.NewLoads(), dealer: coltswarmup.NewDealer(),
	}
	durations := map[coltsidentity.Service]time.Duration{"llm": coldTime}
	s.registry.SetColdDurations(durations)
	for i := range runners {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(1000+i))
		s.runners = append(s.runners, &runner{report: coltsregistry.Upstream{
			ID: coltsidentity.Upstream(fmt.Sprint("r", i)), Service: "llm", Slots: 48, Addr: addr, StartedAt: begin.Add(-time.Hour),
		}})
	}
	for range gateways {
		b := coltsbalance.New(coltsbalance.Config{Random: s.random.IntN})
		b.SetColdDurations(durations)
		s.balancers = append(s.balancers, b)
	}
	return s
}

// run simulates ten seconds with crashes after 1, 4.5 and 8 seconds. Each keepers-th runner returns
// under the same ID.
func (s *simulation) run(keepers int) {
	for n := 0; s.now.Before(begin.Add(10 * time.Second)); n++ {
		s.now = begin.Add(time.Duration(n) * step)
		for _, crashAt := range []time.Duration{time.Second, 4500 * time.Millisecond, 8 * time.Second} {
			switch s.now.Sub(begin) {
			case crashAt:
				s.crash()
			case crashAt + time.Second:
				s.restart(keepers)
			}
		}
		if s.now.Before(s.frozenFrom) || !s.now.Before(s.frozenUntil) {
			s.lead(n)
		}
		s.end()
		for range s.due() {
			s.send()
		}
	}
}

// due returns how many requests begin in this step.
func (s *simulation) due() int {
	n := 0
	for range 10 {
		if s.random.Float64() < perSecond*step.Seconds()/10 {
			n++
		}
	}
	return n
}

func (s *simulation) crash() {
	for _, r := range s.runners[:crashing] {
		r.down = true
	}
	for i := range s.running {
		if s.runnerOf(s.running[i].choice).down {
			s.running[i].endsAt = s.now
		}
	}
}

func (s *simulation) restart(keepers int) {
	for i, r := range s.runners[:crashing] {
		r.down, r.reported, r.coldUntil = false, false, s.now.Add(coldTime)
		r.report.StartedAt = s.now
		if i%keepers != 0 {
			r.report.ID += "x"
		}
	}
}

func (s *simulation) runnerOf(c coltsbalance.Choice) *runner {
	return s.runners[c.Upstream.Addr.Port()-1000]
}

// lead lets the leader take in reports and answer the polls of a twentieth of the gateways, so that each polls every
// 100 ms.
func (s *simulation) lead(n int) {
	for _, r := range s.runners {
		if !r.down && !r.reported {
			r.reported = true
			u := r.report
			u.Sequence, u.ColdUntil = 1, r.coldUntil
			if u.ColdUntil.IsZero() {
				u.ColdUntil = s.now
			}
			_, _ = s.registry.Report(u, s.now)
		}
	}
	var cold []coltswarmup.Cold
	for _, u := range s.registry.Cold(s.now) {
		cold = append(cold, coltswarmup.Cold{Process: coltsregistry.Process{ID: u.ID, StartedAt: u.StartedAt}, Limit: limit})
	}
	lease := coltswarmup.Lease{Since: begin.Add(-time.Hour), Until: begin.Add(time.Hour)}
	for g := n % 20; g < gateways; g += 20 {
		b, id := s.balancers[g], coltsidentity.Instance(fmt.Sprint("g", g))
		entries, revision := s.registry.ChangedSince(s.revisions[g])
		s.revisions[g] = revision
		for _, e := range entries {
			b.Update(e)
		}
		s.loads.Report(id, b.Loads(), s.now)
		b.SetPeerLoads(s.loads.Others(id, s.now), s.now)
		var permits []coltswarmup.Permit
		for _, p := range s.dealer.Deal(id, cold, lease, s.now) {
			permits = append(permits, coltswarmup.Permit{Process: p, Requests: 1, Until: s.now.Add(coltswarmup.Validity - 100*time.Millisecond)})
		}
		b.SetPermits(permits)
	}
}

// end ends the requests that are due.
func (s *simulation) end() {
	kept := s.running[:0]
	for _, q := range s.running {
		if s.now.Before(q.endsAt) {
			kept = append(kept, q)
			continue
		}
		outcome := coltsbalance.OutcomeAnswered
		if s.runnerOf(q.choice).down {
			outcome = coltsbalance.OutcomeFailed
		}
		s.balancers[q.gateway].Done(q.choice, outcome, s.now)
	}
	s.running = kept
}

// send sends one request from some gateway, to another runner if one can't be reached.
func (s *simulation) send() {
	g := s.random.IntN(gateways)
	d := coltsbalance.Demand{Service: "llm", Weight: 1, Capacity: 48}
	s.starts++
	for range 3 {
		c, err := s.balancers[g].Choose(d, s.now)
		if err != nil {
			break
		}
		r := s.runnerOf(c)
		if !r.down && r.report.ID == c.Upstream.ID {
			if s.now.Before(r.coldUntil) {
				r.arrivals = append(r.arrivals, s.now)
				s.toCold++
			}
			s.running = append(s.running, request{gateway: g, choice: c, endsAt: s.now.Add(time.Second + time.Duration(s.random.Int64N(int64(2*time.Second))))})
			return
		}
		if r.down {
			s.balancers[g].RecordEnded(coltsregistry.Process{ID: c.Upstream.ID, StartedAt: c.Upstream.StartedAt}, s.now)
		}
		s.balancers[g].Done(c, coltsbalance.OutcomeFailed, s.now)
		d.Exclude = append(d.Exclude, c.Upstream.ID)
	}
	s.refused++
}

// most returns the largest number of requests that a cold runner got in a second.
func (s *simulation) most() int {
	most := 0
	for _, r := range s.runners {
		first := 0
		for i, at := range r.arrivals {
			for at.Sub(r.arrivals[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// assertCrashes asserts that no cold runner gets more than most requests in a second.
func assertCrashes(t *testing.T, keepers int, frozen time.Duration, most int) {
	t.Helper()
	s := newSimulation(1)
	s.frozenFrom, s.frozenUntil = begin.Add(5*time.Second), begin.Add(5*time.Second+frozen)
	s.run(keepers)
	t.Logf("%d requests, %d to cold runners, %d not placed, most in a second %d", s.starts, s.toCold, s.refused, s.most())
	assert.Assert(t, s.most() <= most, "a cold runner got %d requests in a second", s.most())
}

func TestCrashes(t *testing.T) {
	t.Run("runners of which some return with the same IDs", func(t *testing.T) { assertCrashes(t, 3, 0, limit) })
	// No gateway can know of these. Each runner should get about its share of 7.4 a second, which is less than it
	// bears.
	t.Run("runners that return with the same IDs while the leader is frozen", func(t *testing.T) {
		assertCrashes(t, 1, 3*time.Second, limit)
	})
}
