package coltsgateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
)

// receiveUpstream applies a reply with one upstream.
func receiveUpstream(w *controlWatcher, id string, state coltsregistry.State, now time.Time) {
	e := coltsregistry.Entry{Upstream: coltsregistry.Upstream{
		ID: coltsidentity.Upstream(id), Service: "llm", State: state, StartedAt: time.Unix(1, 0), Sequence: 1,
	}}
	w.applyRegistryEntries(&coltspb.WatchReply{Entries: coltswire.EncodeRegistryEntries([]coltsregistry.Entry{e}, now)}, now)
}

// assertKnownUpstreams asserts how many upstreams the balancer knows.
func assertKnownUpstreams(t *testing.T, w *controlWatcher, now time.Time, want int) {
	t.Helper()
	assert.Equal(t, len(w.g.balancer.Explain(coltsbalance.Demand{Service: "llm"}, now).Upstreams), want)
}

// The failure guarded against: as long as the leader stays, a gateway remembers and compares all upstreams that have
// ever left, for example those that return under another ID after each crash.
func TestGoneUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	w := newTestWatcher(&now)
	for i := range 1000 {
		at := now.Add(time.Duration(i) * time.Minute)
		receiveUpstream(w, fmt.Sprint("r", i), coltsregistry.StateReady, at)
		receiveUpstream(w, fmt.Sprint("r", i), coltsregistry.StateGone, at)
	}
	end := now.Add(1000 * time.Minute)
	t.Run("those that left long ago are forgotten", func(t *testing.T) {
		receiveUpstream(w, "ready", coltsregistry.StateReady, end)
		assert.Assert(t, len(w.listed) < 10, "%d", len(w.listed))
		assertKnownUpstreams(t, w, end, len(w.listed))
	})
	t.Run("one that has just left is not used again if an instance reports it late", func(t *testing.T) {
		w := newTestWatcher(&now)
		receiveUpstream(w, "late", coltsregistry.StateGone, now)
		receiveUpstream(w, "late", coltsregistry.StateReady, now.Add(time.Minute))
		assert.Equal(t, w.g.balancer.Explain(coltsbalance.Demand{Service: "llm"}, now).Upstreams[0].Excluded, coltsbalance.ExclusionNotReady)
	})
}
