package coltsstandin

// The engine's timing: one prefill after another at a stated rate, and decoding
// for all streams at once at a stated pace. That is what makes short prompts wait
// behind long ones in a real engine, too.

import (
	"context"
	"sync"
	"time"
)

// engine times prefill and counts what waits.
type engine struct {
	prefillPerSecond int64
	faults           *faultSwitches

	mu sync.Mutex
	// freeAt is when the prefills that were begun will have ended.
	freeAt       time.Time
	running      int
	waiting      int
	queuedTokens int64
	computed     int64
}

// enter counts a request that runs.
func (g *engine) enter() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running++
}

// leave counts its end.
func (g *engine) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
}

// reserve takes the next slot for a prefill and returns when it ends.
func (g *engine) reserve(tokens int64) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.freeAt.Before(now) {
		g.freeAt = now
	}
	span := time.Duration(tokens) * time.Second / time.Duration(g.prefillPerSecond)
	g.freeAt = g.freeAt.Add(g.faults.Faults().slowed(span))
	g.waiting++
	g.queuedTokens += tokens
	g.computed += tokens
	return g.freeAt
}

// release counts the end of a prefill.
func (g *engine) release(tokens int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting--
	g.queuedTokens -= tokens
}

// prefill waits for the prefill of tokens, or until ctx ends.
func (g *engine) prefill(ctx context.Context, tokens int64) error {
	end := g.reserve(tokens)
	defer g.release(tokens)
	return sleepUntil(ctx, end)
}

// sleepUntil waits for a time, or until ctx ends.
func sleepUntil(ctx context.Context, t time.Time) error {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// load is what the engine reports of itself.
type load struct {
	running      int
	waiting      int
	queuedTokens int64
	computed     int64
}

func (g *engine) load() load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return load{running: g.running, waiting: g.waiting, queuedTokens: g.queuedTokens, computed: g.computed}
}
