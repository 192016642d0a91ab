package coltspoison

// An observer remembers recent answers for all parts, though only those of watched parts are reported:
// a part becomes watched after its first crashes, and answers from before then count as well.

import (
	"sync"
	"time"
	"unicode/utf8"

	"coltsfootstall/coltsshard"
)

const (
	// crashMemory is how long a crash is reported again to a new leader, and maxCrashes the
	// greatest number of crashes that are kept for that.
	crashMemory = 30 * time.Second
	maxCrashes  = 256
	// answerMemory is how long an answer is remembered at least, and maxAnswersPerShard the number of
	// parts in a shard from which the older half is forgotten earlier.
	answerMemory       = 30 * time.Second
	maxAnswersPerShard = 2048
	// maxParts bounds the parts of one prompt that are observed, and maxIDBytes their IDs.
	maxParts   = 64
	maxIDBytes = 128
)

// Observer records the crashes and answers that one gateway sees, and knows which parts are blocked.
// It is safe for concurrent use.
type Observer struct {
	answers [coltsshard.Count]answersShard

	mu      sync.Mutex
	crashes []observedCrash
	// watched holds the watched parts and the newest answer that was reported for each.
	watched map[Part]time.Time
	blocks  map[Part]time.Time
}

// answersShard remembers the newest answers by part in two generations, so that forgetting takes
// no search.
type answersShard struct {
	mu             sync.Mutex
	newer, older   map[Part]time.Time
	newerExpiresAt time.Time
}

type observedCrash struct {
	Crash
	reported bool
}

// NewObserver returns an observer that knows nothing.
func NewObserver() *Observer {
	return &Observer{watched: map[Part]time.Time{}, blocks: map[Part]time.Time{}}
}

// Observable returns the parts that are observed of a prompt's shared parts.
func Observable(parts []Part) []Part {
	var observable []Part
	for _, p := range parts[:min(len(parts), maxParts)] {
		// What is no text can't be reported to control.
		if p.ID != "" && len(p.ID) <= maxIDBytes && utf8.ValidString(p.ID) && utf8.ValidString(string(p.Model)) {
			observable = append(observable, p)
		}
	}
	return observable
}

// RecordAnswer records that an upstream has answered a prompt with these parts, or is past the
// beginning of its answer.
func (o *Observer) RecordAnswer(parts []Part, now time.Time) {
	for _, p := range parts {
		o.recordAnswer(p, now)
	}
	if len(parts) > 0 {
		o.recordAnswer(parts[0].allOf(), now)
	}
}

func (o *Observer) recordAnswer(p Part, now time.Time) {
	s := &o.answers[p.shard()]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(s.newerExpiresAt) || len(s.newer) >= maxAnswersPerShard {
		s.older, s.newer, s.newerExpiresAt = s.newer, map[Part]time.Time{}, now.Add(answerMemory)
	}
	s.newer[p] = now
}

// answeredAt returns the time of the newest answer to a prompt with a part; zero if none is remembered.
func (o *Observer) answeredAt(p Part) time.Time {
	s := &o.answers[p.shard()]
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, found := s.newer[p]; found {
		return at
	}
	return s.older[p]
}

// RecordCrash records a crash.
func (o *Observer) RecordCrash(c Crash) {
	if len(c.Parts) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.crashes) == maxCrashes {
		o.crashes = o.crashes[1:]
	}
	o.crashes = append(o.crashes, observedCrash{Crash: c})
}

// TakeReport returns what is new since the last report, and marks it as reported.
func (o *Observer) TakeReport(now time.Time) Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.crashes) > 0 && now.Sub(o.crashes[0].At) > crashMemory {
		o.crashes = o.crashes[1:]
	}
	var r Report
	for i := range o.crashes {
		if !o.crashes[i].reported {
			r.Crashes = append(r.Crashes, o.crashes[i].Crash)
			o.crashes[i].reported = true
		}
	}
	for p, reportedAt := range o.watched {
		if at := o.answeredAt(p); at.After(reportedAt) {
			r.Answers = append(r.Answers, Answer{Part: p, At: at})
			o.watched[p] = at
		}
	}
	for p, until := range o.blocks {
		if now.Before(until) {
			r.Blocks = append(r.Blocks, Block{Part: p, Until: until})
		}
	}
	return r
}

// Forget marks everything as not reported, after a report that may not have arrived or for a
// new leader.
func (o *Observer) Forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range o.crashes {
		o.crashes[i].reported = false
	}
	for p := range o.watched {
		o.watched[p] = time.Time{}
	}
}

// Apply applies the leader's verdict and returns the blocks that are new to this observer.
func (o *Observer) Apply(v Verdict) []Block {
	o.mu.Lock()
	defer o.mu.Unlock()
	watched := make(map[Part]time.Time, len(v.Watched))
	for _, p := range v.Watched {
		watched[p] = o.watched[p]
	}
	blocks := make(map[Part]time.Time, len(v.Blocks))
	var added []Block
	for _, b := range v.Blocks {
		if _, known := o.blocks[b.Part]; !known {
			added = append(added, b)
		}
		blocks[b.Part] = b.Until
		// An answer to a prompt that was sent before the block may lift it.
		watched[b.Part] = o.watched[b.Part]
	}
	o.watched, o.blocks = watched, blocks
	return added
}

// Check returns a BlockedError if prompts with one of the parts are refused.
func (o *Observer) Check(parts []Part, now time.Time) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.blocks) == 0 {
		return nil
	}
	for _, p := range parts {
		if until, found := o.blocks[p]; found && now.Before(until) {
			return &BlockedError{Block{Part: p, Until: until}}
		}
	}
	return nil
}
