package coltsattempt

// A request that crashes each upstream that runs it is recognised by the
// fingerprint of its organisation and content. It is suspected after its first
// crash and quarantined after the second one on another upstream. A request
// that merely ran beside the culprit is cleared when it later ends well.

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

const (
	// crashesToQuarantine is the number of distinct upstreams that a request
	// may take with it before it is refused, unless configured.
	crashesToQuarantine = 2
	// quarantineRetention is how long a crash counts.
	quarantineRetention = time.Hour
	// clearedRetention is how long word from other entries is passed over after a
	// request was cleared; they are told of a release within that time.
	clearedRetention = time.Minute
	// quarantinePerShard bounds the suspects that a shard remembers.
	quarantinePerShard = 4096
)

// Suspect is a request that was running on an upstream when it crashed.
type Suspect struct {
	Fingerprint coltsidentity.Digest
	// Upstreams are those that crashed, each once.
	Upstreams []coltsidentity.Upstream
	// ForgetAt is when the crashes stop counting.
	ForgetAt time.Time
}

// record is what a shard keeps of a request.
type record struct {
	suspect Suspect
	// clearedUntil is until when word from other entries is passed over, since
	// the request was cleared here after they had heard of it.
	clearedUntil time.Time
}

// QuarantineConfig says when a request is refused.
type QuarantineConfig struct {
	// Crashes is the number of distinct upstreams that a request may take with it; 0
	// for two.
	Crashes int
}

// Quarantine counts crashes by fingerprint.
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
		cfg.Crashes = crashesToQuarantine
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

// Crashed counts the crash of an upstream that was running a request, and returns
// what is known of the request now.
func (q *Quarantine) Crashed(f coltsidentity.Digest, upstream coltsidentity.Upstream, now time.Time) Suspect {
	suspect := Suspect{
		Fingerprint: f,
		Upstreams:   []coltsidentity.Upstream{upstream},
		ForgetAt:    now.Add(quarantineRetention),
	}
	s := q.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mergeLocked(suspect, now)
	return s.suspects[f].suspect
}

// Merge takes in what another entry knows of a request and says whether any of it
// was news.
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
	s.forgetLocked(now)
	suspect := s.suspects[other.Fingerprint].suspect
	suspect.Fingerprint = other.Fingerprint
	news := false
	for _, upstream := range other.Upstreams {
		if !slices.Contains(suspect.Upstreams, upstream) {
			suspect.Upstreams = append(slices.Clone(suspect.Upstreams), upstream)
			news = true
		}
	}
	if other.ForgetAt.After(suspect.ForgetAt) {
		suspect.ForgetAt = other.ForgetAt
	}
	s.suspects[other.Fingerprint] = record{suspect: suspect}
	return news
}

// Suspected says whether a request ran on an upstream that crashed. It is then
// kept apart from other suspects, so that an innocent one is cleared by its next
// attempt.
func (q *Quarantine) Suspected(f coltsidentity.Digest, now time.Time) bool {
	s := q.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	suspect := s.suspects[f].suspect
	return len(suspect.Upstreams) > 0 && now.Before(suspect.ForgetAt)
}

// Cleared forgets a suspect that ended well or was released by an operator, and
// passes over what other entries say of it for a while.
func (q *Quarantine) Cleared(f coltsidentity.Digest, now time.Time) {
	s := q.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.suspects[f]; !known {
		return
	}
	until := now.Add(clearedRetention)
	s.suspects[f] = record{suspect: Suspect{Fingerprint: f, ForgetAt: until}, clearedUntil: until}
}

// Blocked returns until when a request is refused; zero if it may run.
func (q *Quarantine) Blocked(f coltsidentity.Digest, now time.Time) time.Time {
	s := q.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	suspect := s.suspects[f].suspect
	if !now.Before(suspect.ForgetAt) || len(suspect.Upstreams) < q.cfg.Crashes {
		return time.Time{}
	}
	return suspect.ForgetAt
}

// Any says whether any request is remembered.
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

// Suspects lists what is remembered, in the order of the fingerprints.
func (q *Quarantine) Suspects(now time.Time) []Suspect { return q.SuspectsWithCrashes(1, now) }

// SuspectsWithCrashes lists what is remembered of at least a number of crashes, in the order of the
// fingerprints. Most requests that were running on an upstream that crashed are remembered
// of one: those of two or more are few, and every instance is told of them in each answer.
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
	s.forgetLocked(now)
	var suspects []Suspect
	for _, r := range s.suspects {
		if len(r.suspect.Upstreams) >= crashes {
			suspects = append(suspects, r.suspect)
		}
	}
	return suspects
}

// forgetLocked drops what no longer counts and, in a full shard, what would be
// forgotten first.
func (s *quarantineShard) forgetLocked(now time.Time) {
	var oldest coltsidentity.Digest
	var oldestAt time.Time
	for f, r := range s.suspects {
		if !now.Before(r.suspect.ForgetAt) {
			delete(s.suspects, f)
			continue
		}
		if oldestAt.IsZero() || r.suspect.ForgetAt.Before(oldestAt) {
			oldest, oldestAt = f, r.suspect.ForgetAt
		}
	}
	if len(s.suspects) >= quarantinePerShard {
		delete(s.suspects, oldest)
	}
}
