package coltsstore

// The directory is a gateway's copy of the catalogue. A copy that was not
// confirmed recently may list parts that are about to be freed, so nothing is fetched while
// it is out of date.

import (
	"sync"
	"sync/atomic"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

const (
	// confirmationTTL is how long a copy may be used after it was confirmed. This is safe
	// because parts are freed no sooner than RetireDelay after they were retired.
	confirmationTTL = 3 * time.Second
	// saveRetryDelay is how long an instance waits for a store to report a part before it
	// has the part saved again.
	saveRetryDelay = 2 * time.Second
)

// Directory records where parts can be fetched. It is safe for concurrent use.
type Directory struct {
	shards [coltsshard.Count]directoryShard
	// confirmedUntil is when the last confirmation expires; nil before the first one.
	confirmedUntil atomic.Pointer[time.Time]
	// offers are what the leader told last of the stores that answer; nil while it is not known.
	offers atomic.Pointer[map[coltsidentity.Service]Offer]
	// complete is set once the whole catalogue has been received.
	complete atomic.Bool
	usage    storeUsage
	fetches  fetchLog
	// incoming holds what was received of a catalogue that replaces the content; nil while none
	// does. Only Receive uses it.
	incoming []Change
}

type directoryShard struct {
	mu    sync.Mutex
	parts map[Key][]location
	// savingUntil is the time until which a part counts as being saved.
	savingUntil map[Key]time.Time
}

// location is a store that holds a part.
type location struct {
	store coltsidentity.Service
	// fetchable is the number of tokens that may be fetched, zero for a retired part.
	fetchable int
	// occupied is the number of tokens of the store's capacity that the part occupies.
	occupied int
}

// storeUsage counts the occupied tokens of each store.
type storeUsage struct {
	mu     sync.Mutex
	tokens map[coltsidentity.Service]int
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{usage: storeUsage{tokens: map[coltsidentity.Service]int{}}}
	d.clear()
	return d
}

func (d *Directory) shard(key Key) *directoryShard {
	return &d.shards[coltsshard.Of(key.Part)]
}

// Receive applies a delta of the catalogue that was asked for at askedAt, so that a reply that is read
// late confirms nothing that has changed meanwhile. It is not safe for concurrent
// use with itself. If the whole catalogue is received again, in several deltas, the directory keeps
// its content until the last of them, as of its last confirmation. An empty directory uses what it
// has so far, but has nothing saved before it is complete: the part may be listed in the next delta.
func (d *Directory) Receive(delta Delta, askedAt time.Time) {
	if delta.IsStart {
		d.incoming = nil
		if d.Len() > 0 {
			d.incoming = make([]Change, 0, len(delta.Changes))
		} else {
			d.complete.Store(false)
		}
	}
	switch {
	case d.incoming == nil:
		d.applyAll(delta.Changes)
	case delta.More:
		d.incoming = append(d.incoming, delta.Changes...)
	default:
		d.clear()
		d.applyAll(d.incoming)
		d.applyAll(delta.Changes)
		d.incoming = nil
	}
	if !delta.More {
		d.complete.Store(true)
	}
	if d.incoming == nil {
		d.confirm(askedAt)
	}
}

func (d *Directory) applyAll(changes []Change) {
	for _, c := range changes {
		d.Apply(c)
	}
}

// clear removes all parts, including the marks of those being saved.
func (d *Directory) clear() {
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		s.parts, s.savingUntil = map[Key][]location{}, map[Key]time.Time{}
		s.mu.Unlock()
	}
	d.usage.mu.Lock()
	defer d.usage.mu.Unlock()
	clear(d.usage.tokens)
}

// Apply applies a change of the catalogue.
func (d *Directory) Apply(c Change) {
	s := d.shard(c.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	oldOccupied := s.removeLocked(c.Key, c.Store)
	if c.OccupiedTokens > 0 {
		s.parts[c.Key] = append(s.parts[c.Key], location{store: c.Store, fetchable: c.FetchableTokens, occupied: c.OccupiedTokens})
	}
	if c.FetchableTokens > 0 {
		delete(s.savingUntil, c.Key)
	}
	d.usage.add(c.Store, c.OccupiedTokens-oldOccupied)
}

func (u *storeUsage) add(store coltsidentity.Service, tokens int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tokens[store] += tokens
}

func (u *storeUsage) of(store coltsidentity.Service) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.tokens[store]
}

// removeLocked records that a store no longer holds a part, and returns the number of
// tokens that the part occupied there.
func (s *directoryShard) removeLocked(key Key, store coltsidentity.Service) int {
	locations := s.parts[key]
	for i, l := range locations {
		if l.store != store {
			continue
		}
		if len(locations) == 1 {
			delete(s.parts, key)
		} else {
			s.parts[key] = append(locations[:i:i], locations[i+1:]...)
		}
		return l.occupied
	}
	return 0
}

// confirm records that the copy was up to date at a time.
func (d *Directory) confirm(at time.Time) {
	until := at.Add(confirmationTTL)
	d.confirmedUntil.Store(&until)
}

// SetOffers sets the stores that answer. Parts are saved only to those that take them.
func (d *Directory) SetOffers(offers []Offer) {
	byStore := make(map[coltsidentity.Service]Offer, len(offers))
	for _, o := range offers {
		byStore[o.Store] = o
	}
	d.offers.Store(&byStore)
}

// offer returns what is known of a store; the zero Offer if it does not answer.
func (d *Directory) offer(store coltsidentity.Service) Offer {
	offers := d.offers.Load()
	if offers == nil {
		return Offer{}
	}
	return (*offers)[store]
}

// isConfirmed reports whether the copy is recent enough to be used.
func (d *Directory) isConfirmed(now time.Time) bool {
	until := d.confirmedUntil.Load()
	return until != nil && now.Before(*until)
}

// Len returns the number of distinct parts that the stores hold, including retired ones.
func (d *Directory) Len() int {
	n := 0
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		n += len(s.parts)
		s.mu.Unlock()
	}
	return n
}

// find returns a store from which a part may be fetched and the number of tokens that may
// be fetched, or false if there is none.
func (d *Directory) find(key Key) (coltsidentity.Service, int, bool) {
	s := d.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.parts[key] {
		if l.fetchable > 0 {
			return l.store, l.fetchable, true
		}
	}
	return "", 0, false
}

// beginSave reports whether this instance should have a part saved now. If so, it marks
// the part as being saved.
func (d *Directory) beginSave(key Key, now time.Time) bool {
	s := d.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.savingUntil[key]) {
		return false
	}
	s.savingUntil[key] = now.Add(saveRetryDelay)
	return true
}
