package coltsstandin

// The engine simulates timing: prefills run one after another at a fixed rate, while all
// streams decode at the same time at a fixed token period. As in a real engine, short
// prompts therefore wait behind long ones.

import (
	"context"
	"sync"
	"time"
)

// engine schedules prefills and counts requests and tokens.
type engine struct {
	prefillPerSecond int64
	faults           *faultSwitches

	mu sync.Mutex
	// busyUntil is when the last scheduled prefill ends.
	busyUntil time.Time
	// running counts active requests, waiting those prefills that have not ended.
	running int
	waiting int
	// queuedTokens is the total of the prefills that have not ended, computedTokens that of
	// all prefills so far.
	queuedTokens   int64
	computedTokens int64
}

// requestStarted counts an active request until requestEnded.
func (g *engine) requestStarted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running++
}

// requestEnded ends the count of an active request.
func (g *engine) requestEnded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
}

// reserve schedules a prefill after those already scheduled and returns its end time.
func (g *engine) reserve(tokens int64) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.busyUntil.Before(now) {
		g.busyUntil = now
	}
	d := time.Duration(tokens) * time.Second / time.Duration(g.prefillPerSecond)
	g.busyUntil = g.busyUntil.Add(g.faults.Faults().slowed(d))
	g.waiting++
	g.queuedTokens += tokens
	g.computedTokens += tokens
	return g.busyUntil
}

// prefillEnded removes a prefill from the counts of waiting work.
func (g *engine) prefillEnded(tokens int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting--
	g.queuedTokens -= tokens
}

// prefill schedules a prefill and waits until it or ctx ends.
func (g *engine) prefill(ctx context.Context, tokens int64) error {
	end := g.reserve(tokens)
	defer g.prefillEnded(tokens)
	return sleepUntil(ctx, end)
}

// sleepUntil waits until t. It returns the error of ctx if ctx ends first.
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

// engineLoad is a copy of the engine's counters.
type engineLoad struct {
	running        int
	waiting        int
	queuedTokens   int64
	computedTokens int64
}

func (g *engine) currentLoad() engineLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	return engineLoad{running: g.running, waiting: g.waiting, queuedTokens: g.queuedTokens, computedTokens: g.computedTokens}
}
