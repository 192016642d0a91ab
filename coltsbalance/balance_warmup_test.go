package coltsbalance

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltswarmup"
)

// newColdBalancer returns a balancer of n upstreams of which the first ones are cold for three seconds.
func newColdBalancer(n, cold int) *Balancer {
	b := newBalancer(n)
	b.SetColdDurations(map[coltsidentity.Service]time.Duration{"llm": 3 * time.Second})
	b.SetPeerLoads(nil, now)
	for i := range cold {
		b.Update(coldEntry(i, now))
	}
	return b
}

// coldEntry returns the entry of the ith upstream, whose process started at startedAt and is cold.
func coldEntry(i int, startedAt time.Time) coltsregistry.Entry {
	e := entry("r"+string(rune('0'+i)), coltsregistry.StateReady, 2)
	e.Upstream.StartedAt, e.Upstream.ColdUntil = startedAt, now.Add(3*time.Second)
	return e
}

// permit returns a permit for one request to r0.
func permit(until time.Time) coltswarmup.Permit {
	return coltswarmup.Permit{Process: coltsregistry.Process{ID: "r0", StartedAt: now}, Requests: 1, Until: until}
}

// assertAwaitsPermit asserts that a demand waits for a permit.
func assertAwaitsPermit(t *testing.T, b *Balancer, d Demand) {
	t.Helper()
	d.Service, d.Weight, d.Capacity = "llm", 1, 4
	_, err := b.Choose(d, now)
	var full *FullError
	assert.Assert(t, errors.As(err, &full) && full.Cold, "got %v", err)
}

// The failure guarded against: an upstream that has just returned is empty, gets the requests of all
// instances and crashes again.
func TestColdUpstream(t *testing.T) {
	t.Run("an instance without control sends nothing to a cold upstream", func(t *testing.T) {
		b := newColdBalancer(4, 3)
		for range 20 {
			assert.Equal(t, choose(t, b, Demand{}).Upstream.ID, coltsidentity.Upstream("r3"))
		}
		assert.Equal(t, b.ColdUpstreams(now), 3)
		assert.Equal(t, b.ColdWaits(), int64(20))
	})
	t.Run("a request waits if all upstreams that it may go to are cold", func(t *testing.T) {
		assertAwaitsPermit(t, newColdBalancer(2, 2), Demand{})
		assertAwaitsPermit(t, newColdBalancer(2, 1), Demand{Exclude: []coltsidentity.Upstream{"r1"}})
	})
	t.Run("no request waits for a cold upstream that it may not go to", func(t *testing.T) {
		_, err := newColdBalancer(1, 1).Choose(Demand{Service: "llm", Exclude: []coltsidentity.Upstream{"r0"}}, now)
		var noUpstream *NoUpstreamError
		assert.Assert(t, errors.As(err, &noUpstream), "got %v", err)
	})
	t.Run("a permit is for one request to its process", func(t *testing.T) {
		b := newColdBalancer(1, 1)
		b.SetPermits([]coltswarmup.Permit{permit(now.Add(coltswarmup.Validity))})
		c := choose(t, b, Demand{})
		assert.Assert(t, !b.IsWithdrawn(c, now))
		assertAwaitsPermit(t, b, Demand{})
	})
	t.Run("a permit does not outlast its process", func(t *testing.T) {
		b := newColdBalancer(1, 1)
		b.SetPermits([]coltswarmup.Permit{permit(now.Add(coltswarmup.Validity))})
		b.Update(coldEntry(0, now.Add(time.Second)))
		b.SetPermits([]coltswarmup.Permit{permit(now.Add(coltswarmup.Validity))})
		assertAwaitsPermit(t, b, Demand{})
	})
	t.Run("a request of an instance that was frozen since the choice is not sent", func(t *testing.T) {
		b := newColdBalancer(1, 1)
		b.SetPermits([]coltswarmup.Permit{permit(now.Add(coltswarmup.Validity))})
		c := choose(t, b, Demand{})
		assert.Assert(t, b.IsWithdrawn(c, now.Add(coltswarmup.Validity)))
		assert.Assert(t, !b.IsWithdrawn(c, now.Add(time.Minute)), "the upstream is warm by then")
	})
	t.Run("a request whose upstream has become cold or restarted since the choice is not sent", func(t *testing.T) {
		b := newColdBalancer(1, 0)
		c := choose(t, b, Demand{})
		b.Update(coldEntry(0, now))
		assert.Assert(t, b.IsWithdrawn(c, now))
		b.SetPermits([]coltswarmup.Permit{permit(now.Add(coltswarmup.Validity))})
		c = choose(t, b, Demand{})
		b.Update(coldEntry(0, now.Add(time.Second)))
		assert.Assert(t, b.IsWithdrawn(c, now))
	})
	t.Run("a permitted request goes to a warm upstream unless these have more load", func(t *testing.T) {
		b := newColdBalancer(3, 1)
		b.SetPermits([]coltswarmup.Permit{permit(now.Add(coltswarmup.Validity))})
		n := 0
		for choose(t, b, Demand{Weight: 0.9}).Upstream.ID != "r0" {
			n++
		}
		// The warm ones have room for four requests each.
		assert.Assert(t, n >= 4 && n <= 6, "%d requests went to warm upstreams before", n)
	})
	t.Run("a cold upstream is preferred by no prompt, because it has cached none", func(t *testing.T) {
		b, home := newColdBalancer(2, 0), Demand{Affinity: []byte("part")}
		for i := 0; choose(t, b, home).Upstream.ID != "r0"; i++ {
			home.Affinity = append(home.Affinity, 'x')
		}
		b.Update(coldEntry(0, now))
		b.SetPermits([]coltswarmup.Permit{permit(now.Add(coltswarmup.Validity))})
		assert.Equal(t, choose(t, b, home).Upstream.ID, coltsidentity.Upstream("r1"))
	})
	t.Run("nothing changes for a service without a limit", func(t *testing.T) {
		seeded := func() *Balancer { return New(Config{Random: rand.New(rand.NewPCG(1, 2)).IntN}) }
		limited, plain := seeded(), seeded()
		limited.SetColdDurations(map[coltsidentity.Service]time.Duration{"other": time.Second})
		for i := range 4 {
			limited.Update(coldEntry(i, now))
			plain.Update(entry("r"+string(rune('0'+i)), coltsregistry.StateReady, 2))
		}
		limited.MarkCold("", now)
		for range 40 {
			want, got := choose(t, plain, Demand{}), choose(t, limited, Demand{})
			assert.Equal(t, got.Upstream.ID, want.Upstream.ID)
			assert.Assert(t, got.PermitUntil.IsZero() && !limited.IsWithdrawn(got, now))
		}
	})
}

// The failure guarded against: a process that returns under the same ID is filled before control reports it, because
// the leader is frozen.
func TestEndedProcess(t *testing.T) {
	ended := func() *Balancer {
		b := newColdBalancer(1, 0)
		b.RecordEnded(coltsregistry.Process{ID: "r0", StartedAt: now}, now)
		return b
	}
	t.Run("an upstream whose process has ended gets nothing without a permit", func(t *testing.T) {
		assertAwaitsPermit(t, ended(), Demand{})
	})
	t.Run("control's report of the next process replaces this", func(t *testing.T) {
		b, next := ended(), entry("r0", coltsregistry.StateReady, 1)
		next.Upstream.StartedAt = now.Add(time.Second)
		b.Update(next)
		choose(t, b, Demand{})
		b.RecordEnded(coltsregistry.Process{ID: "r0", StartedAt: now}, now)
		choose(t, b, Demand{})
	})
	t.Run("it is forgotten if control reports none", func(t *testing.T) {
		_, err := ended().Choose(Demand{Service: "llm", Weight: 1, Capacity: 4}, now.Add(6*time.Second))
		assert.NilError(t, err)
	})
}

// The failure guarded against: processes that returned under the same ID look warm and empty while the leader is
// frozen, and get the requests of all instances.
func TestUninformed(t *testing.T) {
	empty := func(b *Balancer, now time.Time) int {
		n := 0
		for range 100 {
			c, err := b.Choose(Demand{Service: "llm", Weight: 1, Capacity: 100}, now)
			assert.NilError(t, err)
			b.Done(c, OutcomeNeutral, now)
			if c.Upstream.ID == "r0" {
				n++
			}
		}
		return n
	}
	loaded := func() *Balancer {
		b := newColdBalancer(4, 0)
		b.SetPeerLoads([]Load{{Upstream: "r1", Amount: 30}, {Upstream: "r2", Amount: 30}, {Upstream: "r3", Amount: 30}}, now)
		return b
	}
	t.Run("an empty upstream is preferred while the leader is heard", func(t *testing.T) {
		n := empty(loaded(), now)
		assert.Assert(t, n > 60, "%d of 100", n)
	})
	t.Run("an empty upstream gets an average share while the leader is not heard", func(t *testing.T) {
		n := empty(loaded(), now.Add(informedFor))
		assert.Assert(t, n > 10 && n < 45, "%d of 100", n)
	})
	t.Run("a prompt goes to its home all the same", func(t *testing.T) {
		home := Demand{Affinity: []byte("part"), Capacity: 100}
		want := choose(t, newBalancer(4), home).Upstream.ID
		b := newColdBalancer(4, 0)
		home.Service, home.HomeBonus, home.Weight = "llm", 0.5, 1
		c, err := b.Choose(home, now.Add(informedFor))
		assert.NilError(t, err)
		assert.Assert(t, c.Home && c.Upstream.ID == want)
	})
}

func TestMarkCold(t *testing.T) {
	marked := func() *Balancer {
		b := newColdBalancer(1, 0)
		b.MarkCold("elsewhere", now)
		choose(t, b, Demand{})
		b.MarkCold("", now)
		return b
	}
	t.Run("the upstreams of a marked data centre are cold", func(t *testing.T) {
		assertAwaitsPermit(t, marked(), Demand{})
	})
	t.Run("an older report of control does not end it", func(t *testing.T) {
		b := marked()
		b.Update(entry("r0", coltsregistry.StateReady, 3))
		assertAwaitsPermit(t, b, Demand{})
	})
	t.Run("control's own deadline replaces it", func(t *testing.T) {
		b := marked()
		b.Update(coldEntry(0, now))
		b.Update(entry("r0", coltsregistry.StateReady, 3))
		choose(t, b, Demand{})
	})
}

// The failure guarded against: a request waits for a permit for an upstream that it could not go to with one, until its
// queue deadline, rather than being refused at once.
func TestAwaitsPermit(t *testing.T) {
	demand := Demand{Service: "llm", Weight: 1, Capacity: 4}
	t.Run("no request waits for a permit for an upstream in an evacuated data centre", func(t *testing.T) {
		b := newColdBalancer(2, 1)
		b.RecordEnded(coltsregistry.Process{ID: "r1", StartedAt: now}, now)
		b.SetEvacuations([]coltsidentity.DataCentre{""})
		assertEvacuated(t, b, 2, "")
		_, err := b.Choose(demand, now)
		assert.DeepEqual(t, b.Explain(demand, now).Err, err)
	})
	t.Run("no request waits for a permit for an upstream that has asked for a pause", func(t *testing.T) {
		b := newColdBalancer(1, 1)
		b.RecordPause("r0", now, now.Add(time.Minute), now)
		_, err := b.Choose(demand, now)
		var paused *PausedError
		assert.Assert(t, errors.As(err, &paused), "got %v", err)
		assert.Equal(t, paused.Until, now.Add(time.Minute))
	})
	t.Run("a request waits for a permit for an upstream elsewhere", func(t *testing.T) {
		b, elsewhere := newColdBalancer(2, 1), coldEntry(1, now)
		elsewhere.Upstream.DataCentre = "z2"
		b.Update(elsewhere)
		b.SetEvacuations([]coltsidentity.DataCentre{""})
		assertAwaitsPermit(t, b, Demand{})
	})
}

// The failure guarded against: an upstream whose process has ended is filled when it returns, because a mark of its data
// centre that ends earlier has replaced that of the process.
func TestMarkColdIsNoShorter(t *testing.T) {
	b := newColdBalancer(1, 0)
	b.RecordEnded(coltsregistry.Process{ID: "r0", StartedAt: now}, now)
	b.MarkCold("", now.Add(-time.Minute))
	assertAwaitsPermit(t, b, Demand{})
	t.Run("a later mark extends it", func(t *testing.T) {
		b.MarkCold("", now.Add(4*time.Second))
		assert.Equal(t, b.ColdUpstreams(now.Add(6500*time.Millisecond)), 1)
	})
}
