package coltscache

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
)

// constantRate returns the estimate function of a link that transfers perSecond
// pieces per second.
func constantRate(perSecond int) func(int) time.Duration {
	return func(pieces int) time.Duration { return time.Duration(pieces) * time.Second / time.Duration(perSecond) }
}

// plan returns the plan for a prompt of ten pieces and one store.
func plan(held, inStore, perSecond int) RestorePlan {
	return PlanRestore(PlanInput{
		HeldPieces:       held,
		PromptTokens:     10 * PieceTokens,
		PrefillPerSecond: 20_000, // ten pieces per second
		Sources:          []RestoreSource{{Store: "store-1", Pieces: inStore, Estimate: constantRate(perSecond)}},
	})
}

func assertPlan(t *testing.T, p RestorePlan, from, pieces, upTo int) {
	t.Helper()
	assert.Equal(t, p.From, from)
	assert.Equal(t, p.Pieces, pieces)
	assert.Equal(t, p.UpTo, upTo)
}

func TestRestorePlan(t *testing.T) {
	t.Run("with a link as fast as the runner, half of the pieces are restored", func(t *testing.T) {
		assertPlan(t, plan(0, 10, 10), 0, 5, 5)
	})
	t.Run("with a fast link all pieces are restored", func(t *testing.T) {
		assertPlan(t, plan(0, 10, 1000), 0, 10, 10)
	})
	t.Run("nothing is restored if that takes longer than to compute the whole prompt", func(t *testing.T) {
		p := PlanRestore(PlanInput{PromptTokens: PieceTokens, PrefillPerSecond: 20_000,
			Sources: []RestoreSource{{Store: "store-1", Pieces: 1, Estimate: constantRate(5)}}})
		assertPlan(t, p, 0, 0, 0)
	})
	t.Run("no plan takes longer than to compute the whole prompt", func(t *testing.T) {
		for perSecond := 1; perSecond < 200; perSecond++ {
			assert.Assert(t, plan(0, 10, perSecond).Expected <= time.Second)
		}
	})
	t.Run("pieces that the runner holds are restored only if it has evicted them", func(t *testing.T) {
		assertPlan(t, plan(10, 10, 1000), 10, 0, 10)
		assertPlan(t, plan(4, 10, 1000), 4, 6, 10)
	})
}

func TestLinks(t *testing.T) {
	const store = coltsidentity.Upstream("store-1")
	t.Run("restores in progress delay the next one", func(t *testing.T) {
		l := NewLinks()
		alone := l.Estimate(store)(10)
		l.Begin(store, 10)
		assert.Equal(t, l.Estimate(store)(10), 2*alone)
		l.End(store, 10, 0, 0)
		assert.Equal(t, l.Estimate(store)(10), alone)
	})
	t.Run("a stalled restore raises the estimate", func(t *testing.T) {
		l := NewLinks()
		before := l.Estimate(store)(10)
		l.Begin(store, 10)
		l.Stalled(store, 10)
		assert.Assert(t, l.Estimate(store)(10) > before)
	})
	t.Run("a slow restore raises the estimate", func(t *testing.T) {
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
	t.Run("holdings count leading pieces only", func(t *testing.T) {
		d := NewDirectory()
		d.Record(pieces, "a", now)
		d.Record(pieces[:2], "b", now)
		d.Record(pieces[1:], "c", now)
		assert.DeepEqual(t, d.Locate(pieces, now), []Holding{{Upstream: "a", Pieces: 4}, {Upstream: "b", Pieces: 2}})
	})
	t.Run("a removed piece shortens the holding", func(t *testing.T) {
		d := NewDirectory()
		d.Record(pieces, "a", now)
		d.Remove(pieces[3:], "a")
		assert.DeepEqual(t, d.Locate(pieces, now), []Holding{{Upstream: "a", Pieces: 3}})
	})
	t.Run("hints expire", func(t *testing.T) {
		d := NewDirectory()
		d.Record(pieces, "a", now)
		assert.Equal(t, len(d.Locate(pieces, now.Add(hintTTL))), 0)
	})
}
