package coltsbalance

import (
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
		b.RecordPause("a", b.Explain(d, now).startOf(t, b, "a"), now.Add(time.Second), now)
		b.Update(entry("b", coltsregistry.StateDraining, 2))
		assertExplained(t, b.Explain(d, now), "c ", "a paused", "b not-ready")
		assertExplained(t, b.Explain(Demand{Service: "llm", Exclude: []coltsidentity.Upstream{"c"}}, now), "a paused", "b not-ready", "c tried")
	})
	t.Run("a long request waits if no candidate has room", func(t *testing.T) {
		b := newBalancer()
		b.SetPeerLoads([]Load{{Upstream: "a", Amount: 95}, {Upstream: "b", Amount: 95}, {Upstream: "c", Amount: 95}}, now)
		long := d
		long.Limit = 1
		assert.Assert(t, b.Explain(long, now).OverLimit)
		assert.Assert(t, !b.Explain(d, now).OverLimit)
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

// startOf returns when the process of an explained upstream started.
func (e Explanation) startOf(t *testing.T, b *Balancer, id coltsidentity.Upstream) time.Time {
	t.Helper()
	choice, err := b.Choose(Demand{Service: "llm", Exclude: others(e, id)}, now)
	assert.NilError(t, err)
	b.Done(choice, OutcomeNeutral, now)
	return choice.Upstream.StartedAt
}

// others returns the upstreams of an explanation except one.
func others(e Explanation, except coltsidentity.Upstream) []coltsidentity.Upstream {
	var ids []coltsidentity.Upstream
	for _, u := range e.Upstreams {
		if u.Upstream != except {
			ids = append(ids, u.Upstream)
		}
	}
	return ids
}
