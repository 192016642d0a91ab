package coltsgateway

// Guards against an evacuation's end that counts once more with each later order.

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsevacuation"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
)

// newColdWatcher returns a watcher of a gateway with one upstream, which is warm, in the data centre z1. Its service
// limits requests to cold processes.
func newColdWatcher(now *time.Time) *controlWatcher {
	w := newTestWatcher(now)
	w.g.balancer.SetColdDurations(map[coltsidentity.Service]time.Duration{"llm": 3 * time.Second})
	w.g.balancer.Update(z1Entry(time.Time{}))
	return w
}

// z1Entry returns the entry of the upstream with the end of its cold time, zero if control says that it is warm.
func z1Entry(coldUntil time.Time) coltsregistry.Entry {
	return coltsregistry.Entry{Upstream: coltsregistry.Upstream{
		ID: "r0", Service: "llm", DataCentre: "z1", StartedAt: time.Unix(1, 0), Sequence: 1, ColdUntil: coldUntil,
	}}
}

// receive applies a reply with a state of the evacuations that was sent some time ago.
func receive(w *controlWatcher, state coltsevacuation.State, now time.Time, sentAgo time.Duration) {
	evacuations := coltswire.EncodeEvacuationsWithAges(state, now.Add(-sentAgo))
	w.applyEvacuations(&coltspb.WatchReply{Evacuations: evacuations}, now)
}

// assertColdUpstreams asserts how many upstreams of the gateway are cold.
func assertColdUpstreams(t *testing.T, w *controlWatcher, now time.Time, want int) {
	t.Helper()
	assert.Equal(t, w.g.balancer.ColdUpstreams(now), want)
}

func TestEvacuationEnd(t *testing.T) {
	begin := time.Unix(1000, 0)
	ended := func(at time.Time) coltsevacuation.Evacuation {
		return coltsevacuation.Evacuation{DataCentre: "z1", Ended: true, ChangedAt: at}
	}
	begun := coltsevacuation.Evacuation{DataCentre: "z2", ChangedAt: begin}
	t.Run("an order for another data centre does not make warm upstreams cold again", func(t *testing.T) {
		now := begin
		w := newColdWatcher(&now)
		receive(w, coltsevacuation.State{Revision: 2, Evacuations: []coltsevacuation.Evacuation{ended(now)}}, now, time.Millisecond)
		assertColdUpstreams(t, w, now, 1)
		w.g.balancer.Update(z1Entry(now.Add(3 * time.Second)))
		w.g.balancer.Update(z1Entry(time.Time{}))
		assertColdUpstreams(t, w, now, 0)
		later := now.Add(time.Second)
		receive(w, coltsevacuation.State{Revision: 3, Evacuations: []coltsevacuation.Evacuation{ended(now), begun}}, later, 20*time.Millisecond)
		assertColdUpstreams(t, w, later, 0)
	})
	t.Run("an order long after the end keeps an upstream cold whose process has ended", func(t *testing.T) {
		now := begin
		w := newColdWatcher(&now)
		old := ended(begin.Add(-time.Hour))
		receive(w, coltsevacuation.State{Revision: 2, Evacuations: []coltsevacuation.Evacuation{old}}, now, time.Millisecond)
		w.g.balancer.RecordEnded(coltsregistry.Process{ID: "r0", StartedAt: time.Unix(1, 0)}, now)
		assertColdUpstreams(t, w, now, 1)
		receive(w, coltsevacuation.State{Revision: 3, Evacuations: []coltsevacuation.Evacuation{old, begun}}, now, 20*time.Millisecond)
		assertColdUpstreams(t, w, now, 1)
	})
	t.Run("a second end counts", func(t *testing.T) {
		now := begin
		w := newColdWatcher(&now)
		receive(w, coltsevacuation.State{Revision: 2, Evacuations: []coltsevacuation.Evacuation{ended(now)}}, now, time.Millisecond)
		later := now.Add(time.Minute)
		assertColdUpstreams(t, w, later, 0)
		receive(w, coltsevacuation.State{Revision: 4, Evacuations: []coltsevacuation.Evacuation{ended(later)}}, later, time.Millisecond)
		assertColdUpstreams(t, w, later, 1)
		_, err := w.g.balancer.Choose(coltsbalance.Demand{Service: "llm", Weight: 1, Capacity: 1}, later)
		assert.ErrorContains(t, err, "cold")
	})
}
