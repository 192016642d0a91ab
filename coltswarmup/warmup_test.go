package coltswarmup

// Schedules of polls, delays, freezes and changes of the leader, without a network.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
)

var start = time.Unix(1_700_000_000, 0)

// always is a lease that began long before start.
var always = Lease{Since: start.Add(-time.Hour), Until: start.Add(time.Hour)}

func at(d time.Duration) time.Time { return start.Add(d) }

func gatewayID(i int) coltsidentity.Instance { return coltsidentity.Instance(fmt.Sprint("g", i)) }

// coldProcesses returns n cold processes that bear a number of requests each.
func coldProcesses(n, limit int) []Cold {
	var cold []Cold
	for i := range n {
		id := coltsidentity.Upstream(fmt.Sprint("r", i))
		cold = append(cold, Cold{Process: coltsregistry.Process{ID: id, StartedAt: start}, Limit: limit})
	}
	return cold
}

// assertWithinBound asserts that no second holds more arrivals than limit.
func assertWithinBound(t *testing.T, arrivals []time.Time, limit int) {
	t.Helper()
	slices.SortFunc(arrivals, time.Time.Compare)
	for i := range arrivals {
		if i >= limit {
			span := arrivals[i].Sub(arrivals[i-limit])
			assert.Assert(t, span >= time.Second, "%d requests arrived within %s", limit+1, span)
		}
	}
}

// load is a schedule of gateways that poll a leader and send to cold upstreams.
type load struct {
	random   *rand.Rand
	gateways int
	cold     []Cold
	// perSecond is the number of requests that all gateways together have, 0 for always one more.
	perSecond float64
	// leaseLength is how long each leader leads, 0 for always.
	leaseLength time.Duration
	// maxDelay is the longest time that a poll or its reply is under way, or a gateway or the leader is
	// frozen.
	maxDelay time.Duration
}

// run returns when requests arrived at each upstream in a number of seconds.
func (l load) run(seconds int) map[coltsidentity.Upstream][]time.Time {
	type poll struct {
		gateway          int
		askedAt, dealtAt time.Time
	}
	var polls []poll
	end := at(time.Duration(seconds) * time.Second)
	for g := range l.gateways {
		for askedAt := at(l.upTo(100 * time.Millisecond)); askedAt.Before(end); {
			dealtAt := askedAt.Add(l.delay())
			polls = append(polls, poll{gateway: g, askedAt: askedAt, dealtAt: dealtAt})
			askedAt = dealtAt.Add(100*time.Millisecond + l.upTo(10*time.Millisecond))
		}
	}
	slices.SortFunc(polls, func(a, b poll) int { return a.dealtAt.Compare(b.dealtAt) })
	dealer, lease := NewDealer(), always
	if l.leaseLength > 0 {
		lease.Until = at(l.leaseLength)
	}
	arrivals := map[coltsidentity.Upstream][]time.Time{}
	budget := make([]float64, l.gateways)
	lastAt := make([]time.Time, l.gateways)
	for _, p := range polls {
		if !p.dealtAt.Before(lease.Until) {
			dealer, lease = NewDealer(), Lease{Since: lease.Until, Until: lease.Until.Add(l.leaseLength)}
		}
		if !lastAt[p.gateway].IsZero() {
			budget[p.gateway] += p.dealtAt.Sub(lastAt[p.gateway]).Seconds() * l.perSecond / float64(l.gateways)
		}
		lastAt[p.gateway] = p.dealtAt
		receivedAt := p.dealtAt.Add(l.delay())
		for _, process := range dealer.Deal(gatewayID(p.gateway), l.cold, lease, p.dealtAt) {
			var held Permits
			held.Replace(Permit{Process: process, Requests: 1, Until: p.askedAt.Add(Validity)})
			sentAt := receivedAt.Add(l.upTo(Validity))
			if until := held.Take(receivedAt); until.IsZero() || !sentAt.Before(until) || l.perSecond > 0 && budget[p.gateway] < 1 {
				continue
			}
			budget[p.gateway]--
			arrivals[process.ID] = append(arrivals[process.ID], sentAt.Add(l.upTo(transitAllowance)))
		}
	}
	return arrivals
}

func (l load) upTo(d time.Duration) time.Duration { return time.Duration(l.random.Int64N(int64(d))) }

// delay returns a delay of a few milliseconds, and now and then one of up to maxDelay.
func (l load) delay() time.Duration {
	if l.random.IntN(10) == 0 {
		return l.upTo(l.maxDelay)
	}
	return l.upTo(5 * time.Millisecond)
}

// The failure guarded against: all gateways send to a process that has just returned, and it crashes again.
func TestBound(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("any delays, freezes and changes of the leader, seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			limit := 1 + random.IntN(30)
			l := load{random: random, gateways: 1 + random.IntN(90), cold: coldProcesses(1+random.IntN(30), limit), maxDelay: 3 * time.Second}
			if seed%2 == 0 {
				l.leaseLength = 2 * time.Second
			}
			for _, arrivals := range l.run(8) {
				assertWithinBound(t, arrivals, limit)
			}
		})
	}
}

func TestDealer(t *testing.T) {
	t.Run("a third of the upstreams that returns at once is filled within the bound", func(t *testing.T) {
		// Customer A: 27 of 90 runners, 670 requests a second at 84 gateways, 19 requests a second at most.
		l := load{random: rand.New(rand.NewPCG(1, 1)), gateways: 84, cold: coldProcesses(27, 19), perSecond: 670, maxDelay: 50 * time.Millisecond}
		arrivals := l.run(3)
		total := 0
		for _, of := range arrivals {
			assertWithinBound(t, of, 19)
			total += len(of)
		}
		// Without the limit they would get 27 / 90 of 670 requests a second, 603 in all.
		assert.Equal(t, len(arrivals), 27)
		assert.Assert(t, total > 300, "%d requests arrived", total)
	})
	t.Run("a new leader deals nothing for a span", func(t *testing.T) {
		d, lease := NewDealer(), Lease{Since: start, Until: at(time.Hour)}
		assert.Equal(t, len(d.Deal("g", coldProcesses(1, 5), lease, at(Span-1))), 0)
		assert.Equal(t, len(d.Deal("g", coldProcesses(1, 5), lease, at(Span))), 1)
	})
	t.Run("a leader whose lease has ended deals nothing", func(t *testing.T) {
		assert.Equal(t, len(NewDealer().Deal("g", coldProcesses(1, 5), Lease{Since: at(-time.Hour), Until: start}, start)), 0)
	})
	t.Run("a process that bears no request gets none", func(t *testing.T) {
		assert.Equal(t, len(NewDealer().Deal("g", coldProcesses(1, 0), always, start)), 0)
	})
	t.Run("a gateway that has drawn draws again after the others", func(t *testing.T) {
		d, cold, drawn := NewDealer(), coldProcesses(1, 15), map[int]int{}
		for step := range 60 {
			// The first gateway polls before the others each time.
			for g := range 4 {
				drawn[g] += len(d.Deal(gatewayID(g), cold, always, at(time.Duration(step)*100*time.Millisecond)))
			}
		}
		for g := range 4 {
			assert.Assert(t, drawn[g] >= 14, "%v", drawn)
		}
	})
	t.Run("no gateway takes the permits of all processes while others ask", func(t *testing.T) {
		d := NewDealer()
		for g := range 9 {
			d.Deal(gatewayID(g), nil, always, start)
		}
		for g := range 9 {
			assert.Equal(t, len(d.Deal(gatewayID(g), coldProcesses(27, 19), always, start)), 3)
		}
	})
	t.Run("the turn of a gateway that no longer asks is passed over", func(t *testing.T) {
		d, cold := NewDealer(), coldProcesses(1, 100)
		d.Deal("gone", nil, always, start)
		assert.Equal(t, len(d.Deal("g", cold, always, start)), 1)
		assert.Equal(t, len(d.Deal("g", cold, always, at(100*time.Millisecond))), 0)
		assert.Equal(t, len(d.Deal("g", cold, always, at(liveFor+time.Millisecond))), 1)
	})
	t.Run("a restart under the same ID gets no second allowance", func(t *testing.T) {
		d := NewDealer()
		assert.Equal(t, len(d.Deal("g", coldProcesses(1, 1), always, start)), 1)
		restarted := coldProcesses(1, 1)
		restarted[0].Process.StartedAt = at(time.Second)
		assert.Equal(t, len(d.Deal("g", restarted, always, at(time.Second))), 0)
	})
}

func TestPermits(t *testing.T) {
	held := func() *Permits {
		p := &Permits{}
		p.Replace(Permit{Requests: 1, Until: at(Validity)})
		return p
	}
	t.Run("a permit is for one request", func(t *testing.T) {
		p := held()
		assert.Equal(t, p.Take(start), at(Validity))
		assert.Assert(t, p.Take(start).IsZero())
	})
	t.Run("a gateway that was frozen has none", func(t *testing.T) {
		assert.Assert(t, held().Take(at(Validity)).IsZero())
	})
	t.Run("later permits replace earlier ones", func(t *testing.T) {
		p := held()
		p.Replace(Permit{Requests: 1, Until: at(2 * Validity)})
		assert.Equal(t, p.Take(start), at(2*Validity))
		assert.Assert(t, p.Take(start).IsZero())
	})
}

// The failure guarded against: the dealer of a leader that leads for months remembers all gateways that have ever asked
// while no upstream was cold.
func TestSweep(t *testing.T) {
	t.Run("gateways that no longer ask are forgotten", func(t *testing.T) {
		d := NewDealer()
		for g := range 1000 {
			d.Deal(gatewayID(g), nil, always, at(time.Duration(g)*time.Second))
		}
		d.Sweep(at(999 * time.Second))
		assert.Equal(t, len(d.turns.gateways), 1)
	})
	t.Run("those that ask keep their turns", func(t *testing.T) {
		d, cold := NewDealer(), coldProcesses(1, 100)
		d.Deal("other", nil, always, start)
		assert.Equal(t, len(d.Deal("g", cold, always, start)), 1)
		d.Sweep(at(liveFor))
		assert.Equal(t, len(d.Deal("g", cold, always, at(liveFor))), 0)
	})
}
