package coltstrade

// A runner processes requests with continuous batching: each step generates one token for
// every stream whose prompt is prefilled, and prefills a chunk of one prompt. Running
// requests and cached parts share its KV cache; the least recently used parts are evicted.

import (
	"cmp"
	"slices"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsstore"
)

// runnerRequest is a request at a runner.
type runnerRequest struct {
	// contextTokens is the size of the prompt and the answer, which the request occupies
	// in the KV cache while it runs.
	contextTokens int
	priority      int
	// arrived is when the gateway sent the request.
	arrived time.Time
	parts   []coltsstore.PromptPart
	// toPrefill is the number of prompt tokens that are not prefilled yet, prefilled the
	// number of those that are, including cached ones.
	toPrefill int
	prefilled int
	// generated is the number of tokens of the answer so far, outputTokens the number in
	// the whole answer.
	generated    int
	outputTokens int
	lastEventAt  time.Time
	// maxGap is the longest time so far between two events of the stream.
	maxGap time.Duration
	// onFirstToken is called at the first event of the stream, onEvent at each later one,
	// and onDone when the answer is complete.
	onFirstToken func()
	onEvent      func(gap time.Duration)
	onDone       func(maxGap time.Duration)
	// failed is set when the runner has crashed. onFailed is called then, or if the runner was
	// down when the request arrived.
	failed   bool
	onFailed func(arrived bool)
}

// runner is one upstream with a simulated inference engine.
type runner struct {
	scheduler  *scheduler
	engine     EngineParams
	id         coltsidentity.Upstream
	dataCentre coltsidentity.DataCentre
	// slowFactor multiplies the duration of each step.
	slowFactor   float64
	link         link
	cached       map[coltsstore.Key]*cachedPart
	cachedTokens int
	running      []*runnerRequest
	waiting      []*runnerRequest
	// held holds all requests that have arrived and not ended, and heldTokens the sum of their
	// contextTokens.
	held       []*runnerRequest
	heldTokens int
	// down is set while the runner is crashed. coldUntil is until when its steps take coldFactor
	// times as long, and crashes the number of its crashes.
	down       bool
	coldUntil  time.Time
	coldFactor float64
	crashes    int
	// stepping is set while a step is running.
	stepping bool
}

// cachedPart is a part in a runner's KV cache.
type cachedPart struct {
	tokens int
	usedAt time.Time
}

// cachedPrefix returns the number of leading parts that are cached and marks them as used.
func (r *runner) cachedPrefix(parts []coltsstore.PromptPart) int {
	for i, part := range parts {
		cached, found := r.cached[part.Key]
		if !found {
			return i
		}
		cached.usedAt = r.scheduler.now
	}
	return len(parts)
}

// enqueue adds a request to the runner's queue, which is ordered by priority and arrival.
// The transfers of the request must have ended.
func (r *runner) enqueue(req *runnerRequest) {
	r.waiting = append(r.waiting, req)
	slices.SortStableFunc(r.waiting, func(a, b *runnerRequest) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.arrived.Compare(b.arrived))
	})
	if !r.stepping {
		r.stepping = true
		r.step()
	}
}

// runningTokens returns the number of KV-cache tokens that the running requests occupy.
func (r *runner) runningTokens() int {
	total := 0
	for _, req := range r.running {
		total += req.contextTokens
	}
	return total
}

// admit starts queued requests in order while there is a free slot and room in the KV cache. A
// request that exceeds the whole cache is started when nothing else runs.
func (r *runner) admit() {
	for len(r.waiting) > 0 && len(r.running) < r.engine.Slots {
		next := r.waiting[0]
		if r.runningTokens()+next.contextTokens > r.engine.CacheTokens && len(r.running) > 0 {
			return
		}
		r.waiting = r.waiting[1:]
		r.running = append(r.running, next)
		r.evict()
	}
}

// evict evicts the least recently used parts until the rest fit into the KV cache.
func (r *runner) evict() {
	for excess := r.runningTokens() + r.cachedTokens - r.engine.CacheTokens; excess > 0 && len(r.cached) > 0; {
		var oldestKey coltsstore.Key
		var oldest *cachedPart
		for key, part := range r.cached {
			if oldest == nil || part.usedAt.Before(oldest.usedAt) ||
				part.usedAt.Equal(oldest.usedAt) && key.Part < oldestKey.Part {
				oldestKey, oldest = key, part
			}
		}
		excess -= oldest.tokens
		r.cachedTokens -= oldest.tokens
		delete(r.cached, oldestKey)
	}
}

// cachePart adds a part to the cache and evicts parts if the cache is now too large.
func (r *runner) cachePart(part coltsstore.PromptPart) {
	if _, found := r.cached[part.Key]; found {
		return
	}
	r.cached[part.Key] = &cachedPart{tokens: part.Tokens, usedAt: r.scheduler.now}
	r.cachedTokens += part.Tokens
	r.evict()
}

// step starts the next step. It stops stepping if no request is running.
func (r *runner) step() {
	r.admit()
	if len(r.running) == 0 {
		r.stepping = false
		return
	}
	prefilling, chunk := r.nextPrefill()
	duration := r.engine.StepTime + time.Duration(float64(r.runningTokens())/1000*float64(r.engine.ContextTime)) +
		time.Duration(float64(chunk)/r.engine.PrefillTokensPerSecond*float64(time.Second))
	if prefilling != nil {
		duration += time.Duration(
			float64(chunk) * float64(prefilling.prefilled+chunk/2) / 1e6 * float64(r.engine.AttentionTime),
		)
	}
	factor := r.slowFactor
	if r.scheduler.now.Before(r.coldUntil) {
		factor *= r.coldFactor
	}
	crashes := r.crashes
	r.scheduler.after(time.Duration(float64(duration)*factor), func() {
		if r.crashes != crashes {
			return
		}
		r.finishStep(prefilling, chunk)
		r.step()
	})
}

// nextPrefill returns the request whose prompt the next step prefills and the size of the
// chunk in tokens; nil if there is none.
func (r *runner) nextPrefill() (*runnerRequest, int) {
	for _, req := range r.running {
		if req.toPrefill > 0 {
			return req, min(req.toPrefill, r.engine.ChunkTokens)
		}
	}
	return nil, 0
}

// finishStep applies the results of a step. prefilling is the request of which the step
// prefilled a chunk; nil if there was none.
func (r *runner) finishStep(prefilling *runnerRequest, chunk int) {
	var done []*runnerRequest
	for _, req := range r.running {
		if req != prefilling && req.toPrefill > 0 {
			continue
		}
		if req == prefilling {
			req.toPrefill -= chunk
			req.prefilled += chunk
			if req.toPrefill > 0 {
				continue
			}
			for _, part := range req.parts {
				r.cachePart(part)
			}
		}
		req.generated++
		r.sendEvent(req)
		if req.generated >= req.outputTokens {
			done = append(done, req)
		}
	}
	r.running = slices.DeleteFunc(r.running, func(req *runnerRequest) bool { return slices.Contains(done, req) })
	for _, req := range done {
		req.onDone(req.maxGap)
	}
}

// sendEvent sends the generated tokens if they fill an event of the stream or end it. The
// first event has one token.
func (r *runner) sendEvent(req *runnerRequest) {
	switch {
	case req.generated == 1:
		req.onFirstToken()
	case req.generated%r.engine.TokensPerEvent == 0 || req.generated == req.outputTokens:
		gap := r.scheduler.now.Sub(req.lastEventAt)
		req.maxGap = max(req.maxGap, gap)
		req.onEvent(gap)
	default:
		return
	}
	req.lastEventAt = r.scheduler.now
}
