package coltsattempt

// A request that crashes the upstreams that run it is identified by the fingerprint of its
// organisation and content. It becomes a suspect when an upstream crashes while running it, and is
// quarantined after the crash of a second upstream. What only ran on the same upstreams is
// cleared: by a success at any instance, or once the cause of the crashes is found.

import (
	"bytes"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

const (
	// defaultCrashes is the default number of distinct upstreams that must crash before a
	// request is refused.
	defaultCrashes = 2
	// GatewayCrashes is that number for gateways. A request that happened to be running on two
	// upstreams when another request crashed them is still served.
	GatewayCrashes = 3
	// crashRetention is how long the crashes of a request count after the last one.
	crashRetention = time.Hour
	// clearedPeriod is how long the others are told that a suspect has succeeded.
	clearedPeriod = time.Minute
	// maxExplained is the greatest number of upstreams whose crashes have a known cause that are kept.
	maxExplained = 4096
	// maxSuspectsPerShard is the highest number of suspects in a shard.
	maxSuspectsPerShard = 4096
)

// record is the entry of a request in a shard.
type record struct {
	suspect Suspect
	// revision is that of the last change by this instance itself.
	revision uint64
	// clearedAt is when a success took back the crashes of several upstreams.
	clearedAt time.Time
	// trialAt is when this instance began a trial; zero if none is in progress here.
	trialAt time.Time
}

// QuarantineConfig is the configuration of a Quarantine.
type QuarantineConfig struct {
	// Crashes is the number of distinct upstreams that must crash before a request is
	// refused; 0 means two.
	Crashes int
}

// Quarantine counts crashes by the fingerprint of the requests. It is safe for concurrent
// use.
type Quarantine struct {
	cfg    QuarantineConfig
	shards [coltsshard.Count]quarantineShard
	// revision counts the changes by this instance. Those of other instances have the first revision.
	revision atomic.Uint64

	explainedMu sync.Mutex
	// explained holds the upstreams whose crashes have a known cause, with when that is forgotten.
	explained map[coltsidentity.Upstream]time.Time
}

type quarantineShard struct {
	mu       sync.Mutex
	suspects map[coltsidentity.Digest]record
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine(cfg QuarantineConfig) *Quarantine {
	if cfg.Crashes == 0 {
		cfg.Crashes = defaultCrashes
	}
	q := &Quarantine{cfg: cfg, explained: map[coltsidentity.Upstream]time.Time{}}
	q.revision.Store(1)
	for i := range q.shards {
		q.shards[i].suspects = map[coltsidentity.Digest]record{}
	}
	return q
}

func (q *Quarantine) shard(f coltsidentity.Digest) *quarantineShard {
	return &q.shards[int(f[0])%coltsshard.Count]
}

// Record records a crash while this instance ran a request, and returns the resulting suspect.
func (q *Quarantine) Record(f coltsidentity.Digest, c Crash, now time.Time) Suspect {
	explained := q.isExplained(c.Upstream, now)
	s := q.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(now)
	r := s.suspects[f]
	r.suspect.Fingerprint = f
	// An upstream ID may stand for several processes in succession, of which the newest counts.
	r.suspect.dropCrashes(func(k Crash) bool { return k.Upstream == c.Upstream && c.At.Sub(k.At) >= sameCause })
	if n := len(r.suspect.Crashes); n > 0 {
		c.Repeated = !c.SentAt.Before(r.suspect.Crashes[n-1].At)
	}
	if explained || !r.suspect.addCrash(c) {
		return r.suspect
	}
	r.suspect.ExpiresAt = now.Add(crashRetention)
	if !r.trialAt.IsZero() && !c.SentAt.Before(r.trialAt) {
		r.suspect.FailedTrials++
		r.suspect.TrialUntil, r.trialAt = time.Time{}, time.Time{}
	}
	r.revision = q.revision.Add(1)
	s.suspects[f] = r
	return r.suspect
}

// Merge adds what another instance knows of a request, and reports whether that changed its crashes or
// announced a trial.
func (q *Quarantine) Merge(other Suspect, now time.Time) bool {
	var crashes []Crash
	for _, c := range other.crashes() {
		if !q.isExplained(c.Upstream, now) {
			crashes = append(crashes, c)
		}
	}
	s := q.shard(other.Fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(now)
	r, known := s.suspects[other.Fingerprint]
	if !known {
		r.suspect.Fingerprint, r.revision = other.Fingerprint, 1
	}
	changed := r.succeed(other.SucceededAt, now)
	for _, c := range crashes {
		changed = r.suspect.addCrash(c) || changed
	}
	if !now.Before(r.suspect.TrialUntil) && now.Before(other.TrialUntil) && len(r.suspect.Crashes) > 0 {
		r.suspect.TrialUntil = other.TrialUntil
		changed = true
	}
	if len(r.suspect.Crashes) > 0 {
		r.suspect.FailedTrials = max(r.suspect.FailedTrials, other.FailedTrials)
	}
	if other.ExpiresAt.After(r.suspect.ExpiresAt) {
		r.suspect.ExpiresAt = other.ExpiresAt
	}
	s.suspects[other.Fingerprint] = r
	return changed
}

// succeed records a success and reports whether it took back crashes.
func (r *record) succeed(at, now time.Time) bool {
	several := len(r.suspect.Crashes) > 1
	dropped := r.suspect.succeed(at)
	if dropped && several {
		r.clearedAt = now
	}
	return dropped
}

// Explain records that the crashes of upstreams have a known cause. They don't count against requests that
// were running there, in reports of other instances neither.
func (q *Quarantine) Explain(upstreams []coltsidentity.Upstream, now time.Time) {
	added := map[coltsidentity.Upstream]bool{}
	q.explainedMu.Lock()
	for u, expiresAt := range q.explained {
		if !now.Before(expiresAt) {
			delete(q.explained, u)
		}
	}
	for _, u := range upstreams {
		if _, known := q.explained[u]; !known && len(q.explained) < maxExplained {
			q.explained[u] = now.Add(crashRetention)
			added[u] = true
		}
	}
	q.explainedMu.Unlock()
	if len(added) == 0 {
		return
	}
	for i := range q.shards {
		q.shards[i].dropCrashes(func(c Crash) bool { return added[c.Upstream] })
	}
}

func (s *quarantineShard) dropCrashes(drop func(Crash) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f, r := range s.suspects {
		if !r.suspect.dropCrashes(drop) {
			continue
		}
		if len(r.suspect.Crashes) == 0 {
			r.suspect.TrialUntil, r.suspect.FailedTrials = time.Time{}, 0
		}
		s.suspects[f] = r
	}
}

func (q *Quarantine) isExplained(u coltsidentity.Upstream, now time.Time) bool {
	q.explainedMu.Lock()
	defer q.explainedMu.Unlock()
	return now.Before(q.explained[u])
}

// Suspected reports whether a request was running on an upstream that crashed. Suspects are
// kept apart from each other, so that a harmless one succeeds on its next attempt and is
// cleared.
func (q *Quarantine) Suspected(f coltsidentity.Digest, now time.Time) bool {
	s := q.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	suspect := s.suspects[f].suspect
	return len(suspect.Upstreams) > 0 && now.Before(suspect.ExpiresAt)
}

// Clear removes the crashes of a suspect that has succeeded or was released by an
// operator, and reports whether there were any. Later reports of crashes before don't count.
func (q *Quarantine) Clear(f coltsidentity.Digest, now time.Time) (Suspect, bool) {
	s := q.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, known := s.suspects[f]
	if !known {
		return Suspect{}, false
	}
	cleared := r.succeed(now, now)
	if cleared {
		r.trialAt = time.Time{}
		r.revision = q.revision.Add(1)
	}
	s.suspects[f] = r
	return r.suspect, cleared
}

// Find returns what is known of a request.
func (q *Quarantine) Find(f coltsidentity.Digest) Suspect {
	s := q.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	suspect := s.suspects[f].suspect
	suspect.Fingerprint = f
	return suspect
}

// Any reports whether the quarantine has any record, including those of cleared requests.
func (q *Quarantine) Any() bool {
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		n := len(s.suspects)
		s.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}

// Suspects returns all suspects, sorted by fingerprint.
func (q *Quarantine) Suspects(now time.Time) []Suspect { return q.SuspectsWithCrashes(1, now) }

// SuspectsWithCrashes returns the suspects with at least the given number of crashes, sorted
// by fingerprint. Most suspects have one crash. Those with two or more are few enough to send
// them to every instance in each answer.
func (q *Quarantine) SuspectsWithCrashes(crashes int, now time.Time) []Suspect {
	return q.list(now, func(r record) bool { return len(r.suspect.Crashes) >= crashes })
}

// Shared returns the suspects with at least the given number of crashes, and those that several upstreams had
// crashed with until they succeeded lately.
func (q *Quarantine) Shared(crashes int, now time.Time) []Suspect {
	return q.list(now, func(r record) bool {
		return len(r.suspect.Crashes) >= crashes || now.Before(r.clearedAt.Add(clearedPeriod))
	})
}

// ChangedSince returns the suspects that this instance has changed after a revision, those that have succeeded
// included, and the newest revision. After revision 0 it returns all.
func (q *Quarantine) ChangedSince(revision uint64, now time.Time) ([]Suspect, uint64) {
	upTo := q.revision.Load()
	if upTo == revision {
		return nil, upTo
	}
	return q.list(now, func(r record) bool { return r.revision > revision }), upTo
}

// list returns the suspects that a function selects, sorted by fingerprint.
func (q *Quarantine) list(now time.Time, selects func(record) bool) []Suspect {
	var all []Suspect
	for i := range q.shards {
		all = append(all, q.shards[i].list(now, selects)...)
	}
	slices.SortFunc(all, func(a, b Suspect) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return all
}

func (s *quarantineShard) list(now time.Time, selects func(record) bool) []Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(now)
	var suspects []Suspect
	for _, r := range s.suspects {
		if selects(r) {
			suspects = append(suspects, r.suspect)
		}
	}
	return suspects
}

// expireLocked removes expired records and, if the shard is full, the one that would expire
// next.
func (s *quarantineShard) expireLocked(now time.Time) {
	var oldest coltsidentity.Digest
	var oldestAt time.Time
	for f, r := range s.suspects {
		if !now.Before(r.suspect.ExpiresAt) {
			delete(s.suspects, f)
			continue
		}
		if oldestAt.IsZero() || r.suspect.ExpiresAt.Before(oldestAt) {
			oldest, oldestAt = f, r.suspect.ExpiresAt
		}
	}
	if len(s.suspects) >= maxSuspectsPerShard {
		delete(s.suspects, oldest)
	}
}
