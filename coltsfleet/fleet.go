package coltsfleet

// The fleet is the root of the aggregate. Upstreams are in shards by identity;
// a decision copies the candidates that it asks for, so that no lock is held
// while one is chosen.

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

// maxEjectedPerMille bounds the share of a kind that is ejected at once, so
// that a fault on the entry's own side can't empty the fleet.
const maxEjectedPerMille = 300

// perMilleWhole is the whole, in thousandths.
const perMilleWhole = 1000

// Fleet holds the upstreams that an entry knows.
type Fleet struct {
	shards [coltsshard.Count]fleetShard
	// changes numbers the announcements taken in. It is locked inside a
	// shard's lock, and no lock is taken inside it.
	changes changeCounter
}

type fleetShard struct {
	mu        sync.Mutex
	upstreams map[coltsidentity.Upstream]*upstream
}

type changeCounter struct {
	mu   sync.Mutex
	last uint64
}

func (c *changeCounter) next() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	return c.last
}

// New returns an empty fleet.
func New() *Fleet {
	f := &Fleet{}
	for i := range f.shards {
		f.shards[i].upstreams = map[coltsidentity.Upstream]*upstream{}
	}
	return f
}

func (f *Fleet) shard(id coltsidentity.Upstream) *fleetShard {
	return &f.shards[coltsshard.Of(id)]
}

// Announce takes in an announcement and says whether it was news. It returns an
// UntrustedError if the document's rules don't trust it.
func (f *Fleet) Announce(a Announcement, d coltsdocument.Document, now time.Time) (bool, error) {
	if err := CheckTrust(a, d); err != nil {
		return false, err
	}
	s := f.shard(a.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	u, known := s.upstreams[a.ID]
	if known && !a.Newer(u.announcement) {
		return false, nil
	}
	if !known || !u.announcement.Incarnation.Equal(a.Incarnation) {
		u = &upstream{}
		s.upstreams[a.ID] = u
	}
	if u.worthSpreading(a, now) {
		u.changed = f.changes.next()
		u.spreadAgainAt = now.Add(spreadPeriod)
	}
	if a.Load.QueuedTokens > 0 || now.Sub(u.queueAt) > announceTimeout {
		u.queue, u.queueAt = a.Load.QueuedTokens, now
	}
	u.announcement = a
	u.aliveUntil = now.Add(announceTimeout)
	return true, nil
}

// Reconsider forgets the upstreams that the document's rules no longer trust and
// returns how many they were.
func (f *Fleet) Reconsider(d coltsdocument.Document) int {
	forgotten := 0
	for i := range f.shards {
		forgotten += f.shards[i].reconsider(d)
	}
	return forgotten
}

func (s *fleetShard) reconsider(d coltsdocument.Document) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.upstreams)
	for id, u := range s.upstreams {
		if CheckTrust(u.announcement, d) != nil {
			delete(s.upstreams, id)
		}
	}
	return before - len(s.upstreams)
}

// Select returns the live candidates that match, in the order of their names.
func (f *Fleet) Select(match func(Announcement) bool, d coltsdocument.Document, now time.Time) []Candidate {
	var all []Candidate
	for i := range f.shards {
		all = f.shards[i].appendMatches(all, match, d, now)
	}
	slices.SortFunc(all, func(a, b Candidate) int { return cmp.Compare(a.Announcement.ID, b.Announcement.ID) })
	return all
}

func (s *fleetShard) appendMatches(
	all []Candidate, match func(Announcement) bool, d coltsdocument.Document, now time.Time,
) []Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, u := range s.upstreams {
		if !now.Before(u.aliveUntil) {
			s.forgetLocked(id, u)
			continue
		}
		if match(u.announcement) {
			all = append(all, u.candidate(d, now))
		}
	}
	return all
}

// forgetLocked drops an upstream that is silent, unless requests still run on it.
func (s *fleetShard) forgetLocked(id coltsidentity.Upstream, u *upstream) {
	if u.underWay == 0 {
		delete(s.upstreams, id)
	}
}

// Runners returns the live runners that have a version loaded.
func (f *Fleet) Runners(serving ModelVersion, d coltsdocument.Document, now time.Time) []Candidate {
	return f.Select(func(a Announcement) bool {
		return a.Kind == coltsdocument.KindRunner && a.Serves(serving)
	}, d, now)
}

// Stores returns the live kept-cache stores.
func (f *Fleet) Stores(d coltsdocument.Document, now time.Time) []Candidate {
	return f.Select(func(a Announcement) bool { return a.Kind == coltsdocument.KindStore }, d, now)
}

// Services returns the live instances of a plain service.
func (f *Fleet) Services(service coltsidentity.Service, d coltsdocument.Document, now time.Time) []Candidate {
	return f.Select(func(a Announcement) bool {
		return a.Kind == coltsdocument.KindService && a.Service == service
	}, d, now)
}

// All returns every live upstream.
func (f *Fleet) All(d coltsdocument.Document, now time.Time) []Candidate {
	return f.Select(func(Announcement) bool { return true }, d, now)
}

// Dispatched counts a request that this entry sends to an upstream, with the
// tokens that are expected to be computed for it; 0 if none are.
func (f *Fleet) Dispatched(id coltsidentity.Upstream, tokens int64, now time.Time) {
	f.with(id, func(u *upstream) {
		u.underWay++
		if tokens > 0 {
			u.queuedTokens += tokens
			u.begun = append(u.begun, now)
		}
	})
}

// Queued takes in how many tokens an upstream said were waiting before a request
// when it took it in.
func (f *Fleet) Queued(id coltsidentity.Upstream, tokens int64, now time.Time) {
	f.with(id, func(u *upstream) { u.queue, u.queueAt = tokens, now })
}

// RecordFirstToken takes in that a prefill ended which was sent at a time. tokens is
// what Dispatched was told, computed what the upstream had to compute.
func (f *Fleet) RecordFirstToken(id coltsidentity.Upstream, tokens, computed int64, sentAt, now time.Time) {
	f.with(id, func(u *upstream) {
		u.dequeue(tokens, sentAt)
		u.observe(computed, now.Sub(sentAt))
	})
}

// Returned takes back the tokens of a dispatch that gave no first token.
func (f *Fleet) Returned(id coltsidentity.Upstream, tokens int64, sentAt time.Time) {
	f.with(id, func(u *upstream) { u.dequeue(tokens, sentAt) })
}

// Succeeded counts the good end of a request.
func (f *Fleet) Succeeded(id coltsidentity.Upstream) {
	f.with(id, func(u *upstream) {
		u.leave()
		u.succeed()
	})
}

// Abandoned counts the end of a request that says nothing of the upstream.
func (f *Fleet) Abandoned(id coltsidentity.Upstream) {
	f.with(id, func(u *upstream) { u.leave() })
}

// Failed counts the failure of a request and ejects the upstream if it is gone or
// has failed too often, unless too many of its kind are ejected already.
func (f *Fleet) Failed(id coltsidentity.Upstream, gone bool, now time.Time) {
	due := false
	var kind coltsdocument.Kind
	f.with(id, func(u *upstream) {
		u.leave()
		due = u.fail() || gone
		kind = u.announcement.Kind
	})
	if !due || !f.mayEject(kind, now) {
		return
	}
	f.with(id, func(u *upstream) { u.eject(now) })
}

// mayEject says whether one more upstream of a kind may be ejected.
func (f *Fleet) mayEject(kind coltsdocument.Kind, now time.Time) bool {
	ofKind := f.Select(func(a Announcement) bool { return a.Kind == kind }, coltsdocument.Document{}, now)
	ejected := 0
	for _, c := range ofKind {
		if c.Ejected {
			ejected++
		}
	}
	if ejected == 0 {
		return len(ofKind) > 1
	}
	return (ejected+1)*perMilleWhole <= maxEjectedPerMille*len(ofKind)
}

// with runs fn on an upstream under its shard's lock, if it is known.
func (f *Fleet) with(id coltsidentity.Upstream, fn func(*upstream)) {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	u, known := s.upstreams[id]
	if known {
		fn(u)
	}
}

// ChangedSince returns the announcements that are worth spreading and were taken
// in after a change number, in that order, and the newest number.
func (f *Fleet) ChangedSince(after uint64) ([]Announcement, uint64) {
	var changes []change
	for i := range f.shards {
		changes = f.shards[i].appendChanges(changes, after)
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.number, b.number) })
	newest := after
	announcements := make([]Announcement, 0, len(changes))
	for _, c := range changes {
		announcements = append(announcements, c.announcement)
		newest = c.number
	}
	return announcements, newest
}

type change struct {
	number       uint64
	announcement Announcement
}

func (s *fleetShard) appendChanges(changes []change, after uint64) []change {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		if u.changed > after {
			changes = append(changes, change{number: u.changed, announcement: u.announcement})
		}
	}
	return changes
}
