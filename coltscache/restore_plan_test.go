package coltscache

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
)

// rate returns an estimate of so many pieces a second.
func rate(perSecond int) func(int) time.Duration {
	return func(pieces int) time.Duration { return time.Duration(pieces) * time.Second / time.Duration(perSecond) }
}

func plan(held, inStore, perSecond int) RestorePlan {
	return PlanRestore(PlanInput{
		Held:             held,
		PromptTokens:     10 * PieceTokens,
		PrefillPerSecond: 20_000, // ten pieces a second
		Sources:          []RestoreSource{{Store: "store-1", Pieces: inStore, Estimate: rate(perSecond)}},
	})
}

func assertPlan(t *testing.T, p RestorePlan, from, pieces, upTo int) {
	t.Helper()
	assert.Equal(t, p.From, from)
	assert.Equal(t, p.Pieces, pieces)
	assert.Equal(t, p.UpTo, upTo)
}

func TestRestorePlan(t *testing.T) {
	t.Run("a link as fast as the runner shares the work", func(t *testing.T) {
		assertPlan(t, plan(0, 10, 10), 0, 5, 5)
	})
	t.Run("a fast link restores nearly all", func(t *testing.T) {
		assertPlan(t, plan(0, 10, 1000), 0, 10, 10)
	})
	t.Run("a link that is slower than computing all is left alone", func(t *testing.T) {
		p := PlanRestore(PlanInput{PromptTokens: PieceTokens, PrefillPerSecond: 20_000,
			Sources: []RestoreSource{{Store: "store-1", Pieces: 1, Estimate: rate(5)}}})
		assertPlan(t, p, 0, 0, 0)
	})
	t.Run("a restore never ends later than computing all would", func(t *testing.T) {
		for perSecond := 1; perSecond < 200; perSecond++ {
			assert.Assert(t, plan(0, 10, perSecond).Expected <= time.Second)
		}
	})
	t.Run("what the runner holds is not restored, but said in case it does not", func(t *testing.T) {
		assertPlan(t, plan(10, 10, 1000), 10, 0, 10)
		assertPlan(t, plan(4, 10, 1000), 4, 6, 10)
	})
}

func TestLinks(t *testing.T) {
	const store = coltsidentity.Upstream("store-1")
	t.Run("restores under way make the next one wait", func(t *testing.T) {
		l := NewLinks()
		alone := l.Estimate(store)(10)
		l.Begin(store, 10)
		assert.Equal(t, l.Estimate(store)(10), 2*alone)
		l.End(store, 10, 0, 0)
		assert.Equal(t, l.Estimate(store)(10), alone)
	})
	t.Run("a stalled restore lowers it too", func(t *testing.T) {
		l := NewLinks()
		before := l.Estimate(store)(10)
		l.Begin(store, 10)
		l.Stalled(store, 10)
		assert.Assert(t, l.Estimate(store)(10) > before)
	})
	t.Run("a slow restore lowers the estimate", func(t *testing.T) {
		l := NewLinks()
		before := l.Estimate(store)(10)
		l.Begin(store, 10)
		l.End(store, 10, 10, 10*time.Second)
		assert.Assert(t, l.Estimate(store)(10) > before)
	})
}

func TestDirectory(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	pieces := Chain(seed, text(4))
	t.Run("holdings are the leading runs", func(t *testing.T) {
		d := NewDirectory()
		d.Record(pieces, "a", now)
		d.Record(pieces[:2], "b", now)
		d.Record(pieces[1:], "c", now)
		assert.DeepEqual(t, d.Locate(pieces, now), []Holding{{Upstream: "a", Pieces: 4}, {Upstream: "b", Pieces: 2}})
	})
	t.Run("what was removed ends the run", func(t *testing.T) {
		d := NewDirectory()
		d.Record(pieces, "a", now)
		d.Remove(pieces[3:], "a")
		assert.DeepEqual(t, d.Locate(pieces, now), []Holding{{Upstream: "a", Pieces: 3}})
	})
	t.Run("hints are forgotten", func(t *testing.T) {
		d := NewDirectory()
		d.Record(pieces, "a", now)
		assert.Equal(t, len(d.Locate(pieces, now.Add(hintRetention))), 0)
	})
}
