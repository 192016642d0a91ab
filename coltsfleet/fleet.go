package coltsfleet

// Fleet is the root of the aggregate. Upstreams are sharded by ID. Select returns
// copies, so that no lock is held while an upstream is chosen among the candidates.

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

// maxEjectedPerMille limits the share of the upstreams of one kind, in thousandths,
// that may be ejected at the same time. Without it, a fault in the entry itself,
// which makes requests to every upstream fail, could eject the whole fleet.
const maxEjectedPerMille = 300

// wholePerMille is 100%, in thousandths.
const wholePerMille = 1000

// Fleet holds the upstreams that an entry knows. It is safe for concurrent use.
type Fleet struct {
	shards [coltsshard.Count]fleetShard
	// changes assigns the change numbers of announcements to be passed on to other
	// entries. Its lock is acquired while a shard's lock is held; no other lock is
	// acquired under it.
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

// Announce applies an announcement and reports whether it was newer than the last
// one of the same upstream. It returns an UntrustedError if the document's trust
// rules don't allow the announcement. A new incarnation of an upstream starts without
// the measurements, counts and ejection of the previous one.
func (f *Fleet) Announce(a Announcement, d coltsdocument.Document, now time.Time) (bool, error) {
	if err := CheckTrust(a, d); err != nil {
		return false, err
	}
	s := f.shard(a.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	u, known := s.upstreams[a.ID]
	if known && !a.NewerThan(u.announcement) {
		return false, nil
	}
	if !known || !u.announcement.Incarnation.Equal(a.Incarnation) {
		u = &upstream{}
		s.upstreams[a.ID] = u
	}
	if u.shouldPropagate(a, now) {
		u.changeNumber = f.changes.next()
		u.propagateAt = now.Add(propagationInterval)
	}
	if a.Load.QueuedTokens > 0 || now.Sub(u.queueReportedAt) > announceTimeout {
		u.reportedQueue, u.queueReportedAt = a.Load.QueuedTokens, now
	}
	u.announcement = a
	u.expiresAt = now.Add(announceTimeout)
	return true, nil
}

// RemoveUntrusted removes the upstreams that the document's rules no longer trust and
// returns the number of removed upstreams.
func (f *Fleet) RemoveUntrusted(d coltsdocument.Document) int {
	removed := 0
	for i := range f.shards {
		removed += f.shards[i].removeUntrusted(d)
	}
	return removed
}

func (s *fleetShard) removeUntrusted(d coltsdocument.Document) int {
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

// Select returns the live upstreams whose announcement matches, sorted by ID.
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
		if !now.Before(u.expiresAt) {
			s.removeIfIdleLocked(id, u)
			continue
		}
		if match(u.announcement) {
			all = append(all, u.candidate(d, now))
		}
	}
	return all
}

// removeIfIdleLocked removes an upstream whose announcement has expired, unless this
// entry still has in-flight requests on it.
func (s *fleetShard) removeIfIdleLocked(id coltsidentity.Upstream, u *upstream) {
	if u.inFlight == 0 {
		delete(s.upstreams, id)
	}
}

// Runners returns the live runners that have the given model version loaded.
func (f *Fleet) Runners(version ModelVersion, d coltsdocument.Document, now time.Time) []Candidate {
	return f.Select(func(a Announcement) bool {
		return a.Kind == coltsdocument.KindRunner && a.Serves(version)
	}, d, now)
}

// Stores returns the live cache stores, which hold KV caches for the runners.
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

// RecordDispatch records that this entry sent a request to an upstream. tokens is the
// number of prompt tokens that the upstream is expected to compute, or 0 for a
// request without prefill.
func (f *Fleet) RecordDispatch(id coltsidentity.Upstream, tokens int64, now time.Time) {
	f.update(id, func(u *upstream) {
		u.inFlight++
		u.advice.Sent(now)
		if tokens > 0 {
			u.queuedTokens += tokens
			u.prefillsSentAt = append(u.prefillsSentAt, now)
		}
	})
}

// RecordQueue records the number of prompt tokens that were queued ahead of a request, as
// reported by the upstream when it accepted the request.
func (f *Fleet) RecordQueue(id coltsidentity.Upstream, tokens int64, now time.Time) {
	f.update(id, func(u *upstream) { u.reportedQueue, u.queueReportedAt = tokens, now })
}

// RecordFirstToken records the end of the prefill of a request that was sent at sentAt.
// tokens is the number that was passed to RecordDispatch; computed is the number of
// prompt tokens that the upstream actually computed.
func (f *Fleet) RecordFirstToken(id coltsidentity.Upstream, tokens, computed int64, sentAt, now time.Time) {
	f.update(id, func(u *upstream) {
		u.removePrefill(tokens, sentAt)
		u.recordPrefillTime(computed, now.Sub(sentAt))
	})
}

// RemovePrefill removes the prefill of a request that ended without a first token, and
// its tokens, from the upstream's queue. tokens is the number that was passed to
// RecordDispatch.
func (f *Fleet) RemovePrefill(id coltsidentity.Upstream, tokens int64, sentAt time.Time) {
	f.update(id, func(u *upstream) { u.removePrefill(tokens, sentAt) })
}

// RecordPause records that an upstream wants no request until a time. It is no failure.
func (f *Fleet) RecordPause(id coltsidentity.Upstream, until, now time.Time) {
	f.update(id, func(u *upstream) { u.advice.Pause(u.announcement.Incarnation, until, now) })
}

// RecordSuccess records that a request ended successfully, and resets the upstream's
// counts of consecutive failures and ejections.
func (f *Fleet) RecordSuccess(id coltsidentity.Upstream) {
	f.update(id, func(u *upstream) {
		u.requestEnded()
		u.recordSuccess()
	})
}

// RecordAbandoned records the end of a request whose outcome doesn't reflect the health
// of the upstream, for example because the caller disconnected.
func (f *Fleet) RecordAbandoned(id coltsidentity.Upstream) {
	f.update(id, func(u *upstream) { u.requestEnded() })
}

// RecordFailure records that a request failed. gone is set if the upstream crashed or
// could not be reached. RecordFailure ejects the upstream if gone is set or after
// ejectAfterFailures failures in a row, unless too many upstreams of its kind are
// ejected already.
func (f *Fleet) RecordFailure(id coltsidentity.Upstream, gone bool, now time.Time) {
	shouldEject := false
	var kind coltsdocument.Kind
	f.update(id, func(u *upstream) {
		u.requestEnded()
		shouldEject = u.recordFailure() || gone
		kind = u.announcement.Kind
	})
	if !shouldEject || !f.mayEject(kind, now) {
		return
	}
	f.update(id, func(u *upstream) { u.eject(now) })
}

// mayEject reports whether one more upstream of a kind may be ejected. If none is
// ejected, this is allowed as long as there is more than one upstream of the kind;
// otherwise the share of ejected upstreams must stay within maxEjectedPerMille.
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
	return (ejected+1)*wholePerMille <= maxEjectedPerMille*len(ofKind)
}

// update calls fn with an upstream while holding its shard's lock. It does nothing if
// the upstream is unknown.
func (f *Fleet) update(id coltsidentity.Upstream, fn func(*upstream)) {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	u, known := s.upstreams[id]
	if known {
		fn(u)
	}
}

// ChangedSince returns the announcements with a change number above after, sorted by
// change number, and the highest change number. Only announcements to be passed on to
// other entries get a new change number.
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

// change is an announcement to be passed on to other entries, with its change number.
type change struct {
	number       uint64
	announcement Announcement
}

func (s *fleetShard) appendChanges(changes []change, after uint64) []change {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		if u.changeNumber > after {
			changes = append(changes, change{number: u.changeNumber, announcement: u.announcement})
		}
	}
	return changes
}
