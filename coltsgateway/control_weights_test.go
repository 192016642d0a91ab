package coltsgateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsweights"
	"coltsfootstall/coltswire/coltspb"
)

// told returns a reply with versions 2 and 3 of a model and the time since each was named.
func told(revision uint64, ages ...time.Duration) *coltspb.WatchReply {
	reply := &coltspb.WatchReply{WeightsRevision: revision}
	for i, age := range ages {
		reply.Weights = append(reply.Weights, &coltspb.NamedWeights{Model: "m", Number: uint64(i + 2), AgeNanos: int64(age)})
	}
	return reply
}

// assertRequired asserts the version that requests need which must begin on a version within six seconds of its naming.
func assertRequired(t *testing.T, w *controlWatcher, now time.Time, want coltsweights.Number) {
	t.Helper()
	assert.Equal(t, w.g.weights.Required("m", coltsweights.Limit{GracePeriod: 6 * time.Second}, now), want)
}

// The failure guarded against: a gateway's time limit for old weights counted from the newest version only, or from a clock
// that had stood still while its machine was frozen.
func TestWeightsDeadlines(t *testing.T) {
	t.Run("the limit of each version counts from its own naming", func(t *testing.T) {
		now := time.Unix(1000, 0)
		w := newTestWatcher(&now)
		w.apply(leaderAddr, told(2, 5*time.Second, 2*time.Second), now)
		assertRequired(t, w, now, 0)
		assertRequired(t, w, now.Add(time.Second), 2)
		assertRequired(t, w, now.Add(4*time.Second), 3)
	})
	t.Run("a version that is learned after a higher one counts", func(t *testing.T) {
		now := time.Unix(1000, 0)
		w := newTestWatcher(&now)
		reply := told(2, 5*time.Second, 2*time.Second)
		reply.Weights = reply.Weights[1:]
		w.apply(leaderAddr, reply, now)
		assertRequired(t, w, now.Add(time.Second), 0)
		w.apply(leaderAddr, told(2, 5*time.Second, 2*time.Second), now)
		assertRequired(t, w, now.Add(time.Second), 2)
	})
	t.Run("a clock that stood still is corrected by the next reply", func(t *testing.T) {
		now := time.Unix(1000, 0)
		w := newTestWatcher(&now)
		w.apply(leaderAddr, told(2, time.Second), now)
		w.apply(leaderAddr, told(2, 6*time.Second), now)
		assertRequired(t, w, now, 2)
	})
	t.Run("a reply that took long makes no known version older", func(t *testing.T) {
		now := time.Unix(1000, 0)
		w := newTestWatcher(&now)
		w.apply(leaderAddr, told(2, time.Second), now)
		now = now.Add(800 * time.Millisecond)
		w.apply(leaderAddr, told(2, time.Second), now.Add(-800*time.Millisecond))
		assertRequired(t, w, now.Add(4100*time.Millisecond), 0)
	})
}
