package coltsbalance

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
)

// assertExplained asserts the upstreams of an explanation, each with what excludes it, in order.
func assertExplained(t *testing.T, e Explanation, want ...string) {
	t.Helper()
	var got []string
	for _, u := range e.Upstreams {
		got = append(got, fmt.Sprintf("%s %s", u.Upstream, u.Excluded))
	}
	assert.DeepEqual(t, got, want)
}

// Guards against an explanation that differs from the choice, or that changes what is chosen next.
func TestExplain(t *testing.T) {
	d := Demand{Service: "llm", Weight: 10, Capacity: 100, Affinity: []byte("part"), HomeBonus: 0.6}
	newBalancer := func() *Balancer {
		b := New(Config{Random: func(int) int { return 0 }})
		for _, id := range []string{"a", "b", "c"} {
			b.Update(entry(id, coltsregistry.StateReady, 1))
		}
		return b
	}
	t.Run("the candidate with the lowest cost is the one that is chosen", func(t *testing.T) {
		b := newBalancer()
		first := b.Explain(d, now).Upstreams[0]
		assert.Assert(t, first.Home)
		assert.Equal(t, first.Terms.HomeBonus, -0.6)
		choice, err := b.Choose(d, now)
		assert.NilError(t, err)
		assert.Equal(t, choice.Upstream.ID, first.Upstream)
	})
	t.Run("what excludes an upstream is named", func(t *testing.T) {
		b := newBalancer()
		b.RecordPause("a", now, now.Add(time.Second), now)
		b.Update(entry("b", coltsregistry.StateDraining, 2))
		assertExplained(t, b.Explain(d, now), "c ", "a paused", "b not-ready")
		assertExplained(t, b.Explain(Demand{Service: "llm", Exclude: []coltsidentity.Upstream{"c"}}, now), "a paused", "b not-ready", "c tried")
	})
	t.Run("a long request waits if no candidate has room", func(t *testing.T) {
		b := newBalancer()
		b.SetPeerLoads([]Load{{Upstream: "a", Amount: 95}, {Upstream: "b", Amount: 95}, {Upstream: "c", Amount: 95}}, now)
		long := d
		long.Limit = 1
		var full *FullError
		assert.Assert(t, errors.As(b.Explain(long, now).Err, &full))
		assert.NilError(t, b.Explain(d, now).Err)
	})
	t.Run("without a candidate the error is that of a choice", func(t *testing.T) {
		b := newBalancer()
		for _, id := range []coltsidentity.Upstream{"a", "b", "c"} {
			assert.Assert(t, b.RecordPause(id, now, now.Add(time.Second), now))
		}
		_, err := b.Choose(d, now)
		assert.Assert(t, err != nil)
		assert.DeepEqual(t, b.Explain(d, now).Err, err)
		b.SetEvacuations([]coltsidentity.DataCentre{b.Explain(d, now).Upstreams[0].DataCentre})
		_, err = b.Choose(d, now)
		assert.DeepEqual(t, b.Explain(d, now).Err, err)
		b.SetEvacuations(nil)
		_, err = b.Choose(Demand{Service: "none"}, now)
		assert.DeepEqual(t, b.Explain(Demand{Service: "none"}, now).Err, err)
	})
	t.Run("nothing changes", func(t *testing.T) {
		b, untouched := newBalancer(), newBalancer()
		for range 10 {
			b.Explain(d, now)
		}
		assert.DeepEqual(t, b.Loads(), untouched.Loads())
		assert.Equal(t, b.ColdWaits(), untouched.ColdWaits())
		assert.DeepEqual(t, b.Explain(d, now), untouched.Explain(d, now))
	})
}

// Guards against an explanation that counts other candidates or limits than the choice does.
func TestExplainPolicies(t *testing.T) {
	newBalancer := func(cfg Config) *Balancer {
		cfg.Random = func(int) int { return 0 }
		b := New(cfg)
		for _, id := range []string{"a", "b", "c", "d"} {
			b.Update(entry(id, coltsregistry.StateReady, 1))
		}
		return b
	}
	d := Demand{Service: "llm", Weight: 1, Capacity: 1}
	t.Run("round-robin ignores load limits", func(t *testing.T) {
		b, long := newBalancer(Config{Policy: PolicyRoundRobin}), d
		b.SetPeerLoads([]Load{{Upstream: "a", Amount: 9}, {Upstream: "b", Amount: 9}, {Upstream: "c", Amount: 9}, {Upstream: "d", Amount: 9}}, now)
		long.Limit = 1
		_, err := b.Choose(long, now)
		assert.NilError(t, err)
		assert.NilError(t, b.Explain(long, now).Err)
	})
	t.Run("while the leader is not heard, one candidate is drawn", func(t *testing.T) {
		b := newBalancer(Config{})
		b.SetColdDurations(map[coltsidentity.Service]time.Duration{"llm": time.Second})
		b.SetPeerLoads(nil, now)
		assert.Equal(t, b.Explain(d, now).Compared, maxSample)
		assert.Equal(t, b.Explain(d, now.Add(informedFor)).Compared, 1)
	})
	t.Run("by averaged loads, one candidate is drawn", func(t *testing.T) {
		assert.Equal(t, newBalancer(Config{LoadEstimate: EstimateAveraged}).Explain(d, now).Compared, 1)
	})
}
