package coltstrade

// A runner batches: each step makes a token of every stream that has been read, and reads
// a piece of the prompt that is next. Running prompts and kept parts share its memory; the
// parts that were not used for the longest time give way.

import (
	"cmp"
	"slices"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsstore"
)

// run is a request at a runner.
type run struct {
	memory   int
	priority int
	arrived  time.Time
	parts    []coltsstore.PromptPart
	// toRead is what is not read yet, read what is.
	toRead int
	read   int
	// made and toMake are tokens of the answer.
	made    int
	toMake  int
	eventAt time.Time
	pause   time.Duration
	// first is called at the first event, event at each later one, done at the end.
	first func()
	event func(gap time.Duration)
	done  func(pause time.Duration)
}

// runner is one engine.
type runner struct {
	s          *schedule
	shape      EngineShape
	id         coltsidentity.Upstream
	dataCentre coltsidentity.DataCentre
	slow       float64
	link       link
	kept       map[coltsstore.Key]*keptPart
	keptTokens int
	running    []*run
	waiting    []*run
	stepping   bool
}

// keptPart is a part in a runner's memory.
type keptPart struct {
	tokens int
	usedAt time.Time
}

// leading returns how many of the first parts are kept, and marks these as used.
func (r *runner) leading(parts []coltsstore.PromptPart) int {
	for i, part := range parts {
		kept, has := r.kept[part.Key]
		if !has {
			return i
		}
		kept.usedAt = r.s.now
	}
	return len(parts)
}

// enqueue takes in a request whose transfers have ended.
func (r *runner) enqueue(n *run) {
	r.waiting = append(r.waiting, n)
	slices.SortStableFunc(r.waiting, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.arrived.Compare(b.arrived))
	})
	if !r.stepping {
		r.stepping = true
		r.step()
	}
}

// inUse is the memory of what runs.
func (r *runner) inUse() int {
	used := 0
	for _, n := range r.running {
		used += n.memory
	}
	return used
}

// admit lets requests run that find a slot and memory.
func (r *runner) admit() {
	for len(r.waiting) > 0 && len(r.running) < r.shape.Slots {
		next := r.waiting[0]
		if r.inUse()+next.memory > r.shape.CacheTokens && len(r.running) > 0 {
			return
		}
		r.waiting = r.waiting[1:]
		r.running = append(r.running, next)
		r.evict()
	}
}

// evict drops kept parts until all fits.
func (r *runner) evict() {
	for over := r.inUse() + r.keptTokens - r.shape.CacheTokens; over > 0 && len(r.kept) > 0; {
		var oldest coltsstore.Key
		var found *keptPart
		for key, kept := range r.kept {
			if found == nil || kept.usedAt.Before(found.usedAt) || kept.usedAt.Equal(found.usedAt) && key.Part < oldest.Part {
				oldest, found = key, kept
			}
		}
		over -= found.tokens
		r.keptTokens -= found.tokens
		delete(r.kept, oldest)
	}
}

// keep keeps a part if there is room for it besides what runs.
func (r *runner) keep(part coltsstore.PromptPart) {
	if _, has := r.kept[part.Key]; has {
		return
	}
	r.kept[part.Key] = &keptPart{tokens: part.Tokens, usedAt: r.s.now}
	r.keptTokens += part.Tokens
	r.evict()
}

// step plans the end of the next step; the runner rests when nothing runs.
func (r *runner) step() {
	r.admit()
	if len(r.running) == 0 {
		r.stepping = false
		return
	}
	reading, chunk := r.nextRead()
	takes := r.shape.StepTime + time.Duration(float64(r.inUse())/1000*float64(r.shape.ContextTime)) +
		time.Duration(float64(chunk)/r.shape.ReadPerSecond*float64(time.Second))
	if reading != nil {
		takes += time.Duration(float64(chunk) * float64(reading.read+chunk/2) / 1e6 * float64(r.shape.PairTime))
	}
	r.s.after(time.Duration(float64(takes)*r.slow), func() {
		r.advance(reading, chunk)
		r.step()
	})
}

// nextRead returns the prompt of which a step reads a piece, nil for none.
func (r *runner) nextRead() (*run, int) {
	for _, n := range r.running {
		if n.toRead > 0 {
			return n, min(n.toRead, r.shape.ChunkTokens)
		}
	}
	return nil, 0
}

// advance takes in the end of a step.
func (r *runner) advance(reading *run, chunk int) {
	var ended []*run
	for _, n := range r.running {
		if n != reading && n.toRead > 0 {
			continue
		}
		if n == reading {
			n.toRead -= chunk
			n.read += chunk
			if n.toRead > 0 {
				continue
			}
			for _, part := range n.parts {
				r.keep(part)
			}
		}
		n.made++
		r.event(n)
		if n.made >= n.toMake {
			ended = append(ended, n)
		}
	}
	r.running = slices.DeleteFunc(r.running, func(n *run) bool { return slices.Contains(ended, n) })
	for _, n := range ended {
		n.done(n.pause)
	}
}

// event passes tokens on when an event is full: the first one has one token.
func (r *runner) event(n *run) {
	switch {
	case n.made == 1:
		n.first()
	case n.made%r.shape.EventTokens == 0 || n.made == n.toMake:
		gap := r.s.now.Sub(n.eventAt)
		n.pause = max(n.pause, gap)
		n.event(gap)
	default:
		return
	}
	n.eventAt = r.s.now
}
