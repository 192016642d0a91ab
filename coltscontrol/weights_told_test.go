package coltscontrol

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsweights"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
)

// learn returns what a gateway that asks an instance with these revisions learns of the named versions, and the next
// revisions to ask with.
func learn(c *Control, asked *coltspb.WatchRequest) (*coltsweights.Register, *coltspb.WatchRequest) {
	reply, _ := (&controlServer{c: c}).watchReply(asked)
	r := coltsweights.NewRegister()
	for i, n := range coltswire.DecodeNamedVersions(reply.GetWeights()) {
		n.NamedAt = time.Now().Add(-time.Duration(reply.GetWeights()[i].GetAgeNanos()))
		r.SetNamed(n)
	}
	return r, &coltspb.WatchRequest{Source: reply.GetSource(), WeightsRevision: reply.GetWeightsRevision()}
}

// The failure guarded against: a gateway that started learned only the newest version, and sent requests to runners with
// weights that the naming of an earlier one had made too old.
func TestVersionsToldToGateways(t *testing.T) {
	folder := t.TempDir()
	c := startControl(t, folder, &atomic.Bool{})
	t.Cleanup(func() { _ = c.Shutdown() })
	name := func(number coltsweights.Number) time.Time {
		ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
		defer cancel()
		assert.NilError(t, c.NameWeights(ctx, coltsweights.Weights{Model: "m", Number: number}))
		return time.Now()
	}
	var namedAt []time.Time
	for number := coltsweights.Number(2); number <= 4; number++ {
		namedAt = append(namedAt, name(number))
		time.Sleep(200 * time.Millisecond)
	}
	assertTold := func(t *testing.T, r *coltsweights.Register) {
		t.Helper()
		for i, at := range namedAt {
			assert.Equal(t, r.NamedAsOf("m", at.Add(100*time.Millisecond)), coltsweights.Number(i+2))
		}
	}
	t.Run("one that starts learns when each version was named", func(t *testing.T) {
		r, _ := learn(c, &coltspb.WatchRequest{})
		assertTold(t, r)
	})
	t.Run("one that knows them is told again, in case its clock stood still", func(t *testing.T) {
		_, next := learn(c, &coltspb.WatchRequest{})
		r, _ := learn(c, next)
		assertTold(t, r)
		_, hasChanges := (&controlServer{c: c}).watchReply(next)
		assert.Assert(t, !hasChanges)
	})
	t.Run("also by an instance that has started again", func(t *testing.T) {
		assert.NilError(t, c.Shutdown())
		c = startControl(t, folder, &atomic.Bool{})
		for deadline := time.Now().Add(conditionTimeout); !c.driver.view.Load().caughtUp; time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(deadline))
		}
		r, _ := learn(c, &coltspb.WatchRequest{})
		assertTold(t, r)
	})
	t.Run("an instance knows their ages before any gateway has asked it", func(t *testing.T) {
		name(5)
		time.Sleep(200 * time.Millisecond)
		ages := &c.weightAges
		ages.mu.Lock()
		_, known := ages.since[coltsweights.Weights{Model: "m", Number: 5}]
		ages.mu.Unlock()
		assert.Assert(t, known)
	})
	t.Run("versions that were named long ago are not repeated", func(t *testing.T) {
		ages := &c.weightAges
		ages.mu.Lock()
		for w, since := range ages.since {
			ages.since[w] = since.Add(-repeatPeriod)
		}
		ages.mu.Unlock()
		_, next := learn(c, &coltspb.WatchRequest{})
		r, _ := learn(c, next)
		assert.Equal(t, r.Wanted("m").Number, coltsweights.Number(0))
	})
}
