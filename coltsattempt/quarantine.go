package coltsattempt

// A request that crashes the upstreams that run it is identified by the fingerprint of its
// organisation and content. It becomes a suspect when an upstream crashes while running it,
// and is quarantined after the crash of a second upstream. A request that only ran on the
// same upstream as the harmful one is cleared when it later succeeds.

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

const (
	// defaultCrashes is the default number of distinct upstreams that must crash before a
	// request is refused.
	defaultCrashes = 2
	// crashRetention is how long the crashes of a request count after the last one.
	crashRetention = time.Hour
	// clearedPeriod is how long reports from other entry instances about a request are
	// ignored after it was cleared. The other instances learn within that time that it was.
	clearedPeriod = time.Minute
	// maxSuspectsPerShard is the highest number of suspects in a shard.
	maxSuspectsPerShard = 4096
)

// Suspect is a request that was running on one or more upstreams when they crashed.
type Suspect struct {
	Fingerprint coltsidentity.Digest
	// Upstreams lists the upstreams that crashed, without duplicates.
	Upstreams []coltsidentity.Upstream
	// ExpiresAt is when the suspect expires and its crashes stop counting.
	ExpiresAt time.Time
}

// record is the entry of a request in a shard.
type record struct {
	suspect Suspect
	// clearedUntil is the time until which reports from other entry instances are ignored,
	// because they may date from before the request was cleared here; zero if it was not.
	clearedUntil time.Time
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
	q := &Quarantine{cfg: cfg}
	for i := range q.shards {
		q.shards[i].suspects = map[coltsidentity.Digest]record{}
	}
	return q
}

func (q *Quarantine) shard(f coltsidentity.Digest) *quarantineShard {
	return &q.shards[int(f[0])%coltsshard.Count]
}

// RecordCrash records the crash of an upstream that was running a request, and returns the
// resulting suspect.
func (q *Quarantine) RecordCrash(f coltsidentity.Digest, upstream coltsidentity.Upstream, now time.Time) Suspect {
	suspect := Suspect{
		Fingerprint: f,
		Upstreams:   []coltsidentity.Upstream{upstream},
		ExpiresAt:   now.Add(crashRetention),
	}
	s := q.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mergeLocked(suspect, now)
	return s.suspects[f].suspect
}

// Merge adds the crashes that another entry instance has reported for a request, and
// reports whether any of the upstreams was new.
func (q *Quarantine) Merge(other Suspect, now time.Time) bool {
	s := q.shard(other.Fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.suspects[other.Fingerprint].clearedUntil) {
		return false
	}
	return s.mergeLocked(other, now)
}

func (s *quarantineShard) mergeLocked(other Suspect, now time.Time) bool {
	s.expireLocked(now)
	suspect := s.suspects[other.Fingerprint].suspect
	suspect.Fingerprint = other.Fingerprint
	changed := false
	for _, upstream := range other.Upstreams {
		if !slices.Contains(suspect.Upstreams, upstream) {
			suspect.Upstreams = append(slices.Clone(suspect.Upstreams), upstream)
			changed = true
		}
	}
	if other.ExpiresAt.After(suspect.ExpiresAt) {
		suspect.ExpiresAt = other.ExpiresAt
	}
	s.suspects[other.Fingerprint] = record{suspect: suspect}
	return changed
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
// operator. Reports of other entry instances about it are ignored for clearedPeriod.
func (q *Quarantine) Clear(f coltsidentity.Digest, now time.Time) {
	s := q.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.suspects[f]; !known {
		return
	}
	until := now.Add(clearedPeriod)
	s.suspects[f] = record{suspect: Suspect{Fingerprint: f, ExpiresAt: until}, clearedUntil: until}
}

// BlockedUntil returns the time until which a request is refused; zero if it may run.
func (q *Quarantine) BlockedUntil(f coltsidentity.Digest, now time.Time) time.Time {
	s := q.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	suspect := s.suspects[f].suspect
	if !now.Before(suspect.ExpiresAt) || len(suspect.Upstreams) < q.cfg.Crashes {
		return time.Time{}
	}
	return suspect.ExpiresAt
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
	var all []Suspect
	for i := range q.shards {
		all = append(all, q.shards[i].list(crashes, now)...)
	}
	slices.SortFunc(all, func(a, b Suspect) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return all
}

func (s *quarantineShard) list(crashes int, now time.Time) []Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(now)
	var suspects []Suspect
	for _, r := range s.suspects {
		if len(r.suspect.Upstreams) >= crashes {
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
