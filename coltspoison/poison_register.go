package coltspoison

// Crashes of several upstreams at once, or of upstreams that fail whatever they run, must block nothing, since
// a blocked part that many prompts share costs more than the crashes. So a part is blocked only if it stands
// out: prompts without it are answered, and no part with more recent answers explains the same crashes. Where a
// part crashes all upstreams at each return, nothing is answered; a part that stands out by what was answered before is
// then blocked for a short time, in which the others are answered if it is the cause.

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

const (
	// watchThreshold is the number of crashes from which a part's answers are asked for, and blockThreshold
	// the number from which it may be blocked.
	watchThreshold = 2
	blockThreshold = 3
	// sameCause is the time within which crashes of several upstreams count as one: a loss of power
	// takes many upstreams at once.
	sameCause = 100 * time.Millisecond
	// evidencePeriod is how long a part must have been watched without an answer before it is blocked, and for
	// how long after its first crash other prompts to the model must have been answered. Reports take
	// about two poll intervals, and popular parts are answered several times in this time.
	evidencePeriod = 500 * time.Millisecond
	// blockPeriod is how long a part is blocked. Another crash after that blocks it again.
	blockPeriod = 10 * time.Minute
	// outageThreshold is the number of crashes from which a part that was never answered is blocked although no
	// other prompt is answered, if that has lasted for outagePeriod since the first of them. Such a
	// block lasts for outageBlockPeriod, in which upstreams return and answer others.
	outageThreshold   = 5
	outagePeriod      = 2 * time.Second
	outageBlockPeriod = 10 * time.Second
	// recordMemory is how long a part is remembered after its last crash or block.
	recordMemory = 2 * time.Minute
	// maxRecordCrashes bounds the crashes that are kept for one part, maxRecordsPerShard the parts in a
	// shard.
	maxRecordCrashes   = 32
	maxRecordsPerShard = 2048
	// maxTold bounds the parts of each kind in one verdict, which is part of every reply to a gateway, and
	// maxExplained the processes.
	maxTold      = 64
	maxExplained = 256
)

// Register adds up what all observers report and decides which parts are blocked. Only control's
// leader uses one. It is safe for concurrent use.
type Register struct {
	shards [coltsshard.Count]registerShard
	// verdict is replaced while verdictMu is held. No shard is locked by its holder but for the time
	// of one access.
	verdict   atomic.Pointer[Verdict]
	verdictMu sync.Mutex
}

type registerShard struct {
	mu      sync.Mutex
	records map[Part]*record
}

// record is what is known about one part.
type record struct {
	// crashes are those since the last answer, at most one for each upstream, by time.
	crashes    []recordedCrash
	answeredAt time.Time
	// depth is the part's position in the prompt.
	depth int
	// watchedSince is when the observers were first asked for its answers; zero if they are not.
	watchedSince time.Time
	blockedUntil time.Time
	// tentative is set if the newest block began without answers to others. The part is watched all the while, so
	// that one more crash blocks it at once.
	tentative bool
	expiresAt time.Time
}

type recordedCrash struct {
	upstream coltsidentity.Upstream
	at       time.Time
	repeated bool
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	r := &Register{}
	r.Reset()
	return r
}

// Reset forgets everything, as an instance does that becomes leader: what it knew of an earlier
// term is out of date, and the observers report again.
func (r *Register) Reset() {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		s.records = map[Part]*record{}
		s.mu.Unlock()
	}
	r.verdict.Store(&Verdict{})
}

// Verdict returns the verdict of the last Sweep.
func (r *Register) Verdict() Verdict { return *r.verdict.Load() }

// Receive records the report of an observer.
func (r *Register) Receive(report Report, now time.Time) {
	for _, c := range report.Crashes {
		for depth, p := range Observable(c.Parts) {
			r.update(p, now, true, func(rec *record) {
				rec.depth = depth
				rec.addCrash(recordedCrash{upstream: c.Upstream, at: c.At, repeated: c.Repeated})
			})
			r.update(p.allOf(), now, true, func(*record) {})
		}
	}
	for _, a := range report.Answers {
		r.update(a.Part, now, false, func(rec *record) { rec.addAnswer(a.At) })
	}
	for _, b := range report.Blocks {
		r.adopt(b, now)
	}
}

// adopt takes over a block of an earlier leader, at once, so that the observer that reported it keeps
// it.
func (r *Register) adopt(b Block, now time.Time) {
	adopted := false
	r.update(b.Part, b.Until, true, func(rec *record) { adopted = rec.adopt(b.Until, now) })
	if !adopted {
		return
	}
	r.verdictMu.Lock()
	defer r.verdictMu.Unlock()
	v := *r.verdict.Load()
	v.Blocks = append(slices.Clone(v.Blocks), b)
	r.verdict.Store(&v)
}

// update changes the record of a part. A missing record is created if create is set.
func (r *Register) update(p Part, now time.Time, create bool, change func(rec *record)) {
	s := &r.shards[p.shard()]
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.records[p]
	if rec == nil {
		if !create || len(s.records) >= maxRecordsPerShard {
			return
		}
		rec = &record{}
		s.records[p] = rec
	}
	change(rec)
	if create {
		rec.expiresAt = now.Add(recordMemory)
	}
}

// addCrash adds a crash, unless the part was answered later.
func (rec *record) addCrash(c recordedCrash) {
	if !c.at.After(rec.answeredAt) {
		return
	}
	same := func(known recordedCrash) bool { return known.upstream == c.upstream }
	if i := slices.IndexFunc(rec.crashes, same); i >= 0 {
		rec.crashes[i].repeated = rec.crashes[i].repeated || c.repeated
		return
	}
	if len(rec.crashes) == maxRecordCrashes {
		rec.crashes = rec.crashes[1:]
	}
	rec.crashes = append(rec.crashes, c)
	slices.SortFunc(rec.crashes, func(a, b recordedCrash) int { return a.at.Compare(b.at) })
}

// addAnswer records an answer. It clears the part of the crashes before, and of a block if none
// is left.
func (rec *record) addAnswer(at time.Time) {
	if !at.After(rec.answeredAt) {
		return
	}
	rec.answeredAt = at
	rec.crashes = slices.DeleteFunc(rec.crashes, func(c recordedCrash) bool { return !c.at.After(at) })
	if len(rec.crashes) == 0 {
		rec.blockedUntil = time.Time{}
	}
}

// adopt takes over a block and reports whether it did. A part about which this register knows more
// is left alone.
func (rec *record) adopt(until, now time.Time) bool {
	if !rec.answeredAt.IsZero() || !rec.blockedUntil.IsZero() || !now.Before(until) {
		return false
	}
	rec.blockedUntil = until
	return true
}

// incidents returns the number of crashes that count separately. Crashes of upstreams that other
// parts explain are left out.
func (rec *record) incidents(explained map[coltsidentity.Upstream]bool) int {
	n := 0
	var last time.Time
	for _, c := range rec.crashes {
		if explained[c.upstream] {
			continue
		}
		if n == 0 || c.repeated || c.at.Sub(last) >= sameCause {
			n++
			last = c.at
		}
	}
	return n
}

// candidate is a snapshot of the record of a part that may be blocked.
type candidate struct {
	Part
	record
}

// BlockDecision is a new block with the evidence for it.
type BlockDecision struct {
	Block
	// Crashed are the processes that crashed since the part was last answered.
	Crashed []coltsidentity.Upstream
	// FirstCrashAt is when the first of them did.
	FirstCrashAt time.Time
	// AnsweredAt is when the part was last answered, zero if that is not remembered, and OthersAnsweredAt
	// when any prompt to the model was.
	AnsweredAt       time.Time
	OthersAnsweredAt time.Time
}

// Sweep decides again which parts are watched and blocked. It returns the blocks that are new.
func (r *Register) Sweep(now time.Time) []BlockDecision {
	r.verdictMu.Lock()
	defer r.verdictMu.Unlock()
	records := r.snapshot(now)
	explained := map[coltsidentity.Upstream]bool{}
	var candidates []candidate
	verdict := &Verdict{}
	for _, c := range records {
		switch {
		case now.Before(c.blockedUntil):
			verdict.Blocks = append(verdict.Blocks, Block{Part: c.Part, Until: c.blockedUntil})
			explain(explained, c.crashes)
		case !c.watchedSince.IsZero() && c.ID != "":
			candidates = append(candidates, c)
		}
		if !c.watchedSince.IsZero() {
			verdict.Watched = append(verdict.Watched, c.Part)
		}
	}
	slices.SortFunc(candidates, compareCandidates)
	var decisions []BlockDecision
	for _, c := range candidates {
		others := records[c.allOf()]
		period := c.blockFor(others.answeredAt, explained, now)
		if len(verdict.Blocks) >= maxTold || period == 0 {
			continue
		}
		b := Block{Part: c.Part, Until: now.Add(period)}
		r.update(c.Part, b.Until, true, func(rec *record) {
			rec.blockedUntil, rec.tentative = b.Until, period == outageBlockPeriod
		})
		explain(explained, c.crashes)
		decisions = append(decisions, c.decide(b, others.answeredAt))
		verdict.Blocks = append(verdict.Blocks, b)
	}
	verdict.Explained = slices.Sorted(maps.Keys(explained))
	verdict.Explained = verdict.Explained[:min(len(verdict.Explained), maxExplained)]
	r.verdict.Store(verdict)
	return decisions
}

// decide returns the block of a part with the evidence.
func (c candidate) decide(b Block, othersAnsweredAt time.Time) BlockDecision {
	decision := BlockDecision{
		Block: b, FirstCrashAt: c.crashes[0].at, AnsweredAt: c.answeredAt, OthersAnsweredAt: othersAnsweredAt,
	}
	for _, crash := range c.crashes {
		decision.Crashed = append(decision.Crashed, crash.upstream)
	}
	return decision
}

func explain(explained map[coltsidentity.Upstream]bool, crashes []recordedCrash) {
	for _, c := range crashes {
		explained[c.upstream] = true
	}
}

// compareCandidates orders parts by how likely they are to be the one that crashes upstreams: the
// part that has not been answered for the longest time comes first, of several never answered the one
// with the most crashes, then the one furthest back, which fewer sound prompts share.
func compareCandidates(a, b candidate) int {
	return cmp.Or(
		a.answeredAt.Compare(b.answeredAt),
		cmp.Compare(len(b.crashes), len(a.crashes)),
		cmp.Compare(b.depth, a.depth),
		cmp.Compare(a.ID, b.ID),
	)
}

// blockFor returns how long a part is to be blocked, 0 for not at all. othersAnsweredAt is when any prompt to the
// model was last answered.
func (c candidate) blockFor(othersAnsweredAt time.Time, explained map[coltsidentity.Upstream]bool, now time.Time) time.Duration {
	incidents := c.incidents(explained)
	if len(c.crashes) == 0 || incidents < blockThreshold || now.Sub(c.watchedSince) < evidencePeriod {
		return 0
	}
	first, last := c.crashes[0].at, c.crashes[len(c.crashes)-1].at
	switch {
	case !last.After(c.blockedUntil):
		return 0
	case othersAnsweredAt.Sub(first) >= evidencePeriod:
		return blockPeriod
	case c.answeredAt.IsZero() && !othersAnsweredAt.IsZero() && incidents >= outageThreshold && now.Sub(first) >= outagePeriod:
		return outageBlockPeriod
	}
	return 0
}

// snapshot removes expired records, updates which parts are watched, and returns copies of the
// records of those that are watched or blocked, and of the models.
func (r *Register) snapshot(now time.Time) map[Part]candidate {
	found := map[Part]candidate{}
	watching := len(r.Verdict().Watched)
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for p, rec := range s.records {
			if !now.Before(rec.expiresAt) {
				delete(s.records, p)
				continue
			}
			switch {
			case p.ID != "" && (rec.incidents(nil) < watchThreshold || now.Before(rec.blockedUntil) && !rec.tentative):
				rec.watchedSince = time.Time{}
			case rec.watchedSince.IsZero() && watching < maxTold:
				rec.watchedSince = now
				watching++
			}
			if !rec.watchedSince.IsZero() || now.Before(rec.blockedUntil) {
				c := candidate{Part: p, record: *rec}
				c.crashes = slices.Clone(rec.crashes)
				found[p] = c
			}
		}
		s.mu.Unlock()
	}
	return found
}
