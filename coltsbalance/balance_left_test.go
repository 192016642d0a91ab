package coltsbalance

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
)

// The failure guarded against: a gateway heard from an upstream that it is leaving, forgot the upstream because control
// did not list it, and sent it requests again once control did.
func TestLeavingIsRemembered(t *testing.T) {
	forgetAll := func(b *Balancer) { b.Forget(func(coltsidentity.Upstream) bool { return false }) }
	left := func() *Balancer {
		b := newBalancer(1)
		b.RecordLeaving("r0", now)
		forgetAll(b)
		return b
	}
	t.Run("a process that is listed again is not used", func(t *testing.T) {
		b := left()
		b.Update(entry("r0", coltsregistry.StateReady, 2))
		assertNoUpstream(t, b)
		assert.Equal(t, len(b.Leaving()), 1)
	})
	t.Run("nor one that said so before it was known", func(t *testing.T) {
		b := newBalancer(0)
		b.RecordLeaving("r0", now)
		b.Update(entry("r0", coltsregistry.StateReady, 1))
		assertNoUpstream(t, b)
	})
	t.Run("the next process under its ID is used", func(t *testing.T) {
		b, next := left(), entry("r0", coltsregistry.StateReady, 1)
		next.Upstream.StartedAt = now.Add(1)
		b.Update(next)
		choose(t, b, Demand{})
	})
	t.Run("no more than a bound are remembered", func(t *testing.T) {
		b := newBalancer(0)
		for i := range 100 * maxLeftPerShard {
			b.RecordLeaving(coltsidentity.Upstream(fmt.Sprint("r", i)), now)
		}
		for i := range b.shards {
			assert.Assert(t, len(b.shards[i].left) <= maxLeftPerShard)
		}
	})
}
