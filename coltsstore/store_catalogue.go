// Package coltsstore is the aggregate of the stores of kept cache: what each holds,
// what is to be saved and fetched where, and what gives way when a store is full.
//
// A managed store drops nothing by itself and does not know who reads from it. So one
// control instance, the leader, decides what is dropped, and every instance stops
// fetching a part long before it is.
package coltsstore

// The catalogue is the leader's. It is rebuilt from the stores themselves whenever the
// leader changes or a store starts anew, and is on no disk. Whoever follows it asks for
// the changes after a revision; the newest changes are kept for that. It is one shard:
// a few hundred changes a second come from a handful of stores.

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
)

const (
	// keptChanges bounds the changes that are kept for followers.
	keptChanges = 8192
	// fullShare is the share of a store from which on parts are retired, and
	// roomShare the share down to which.
	fullShare = 0.92
	roomShare = 0.85
	// idleTime is how long a part must not have been fetched before it gives way: one
	// that is asked for again within that time is worth its room.
	idleTime = 10 * time.Second
	// RetireTime is how long a retired part is kept before it is freed: followers
	// hear of it within three seconds or stop fetching, a request may wait ten
	// seconds at its runner, and a transfer takes at the most two.
	RetireTime = 15 * time.Second
)

// Key names a part within what it may be shared.
type Key struct {
	Scope string
	Part  string
}

// Change is one change of what may be fetched from a store.
type Change struct {
	Store coltsidentity.Service
	Key   Key
	// FetchableTokens is what may be fetched, 0 for nothing.
	FetchableTokens int
	// OccupiedTokens is what the part takes of the store: a part that may not be fetched any more
	// takes its room until it is freed.
	OccupiedTokens int
}

// item is a part in a store.
type item struct {
	tokens int
	// usedAt is when it was saved or last fetched.
	usedAt time.Time
	// freeAt is when a retired part is freed; zero while it may be fetched.
	freeAt time.Time
}

// shelf is one store.
type shelf struct {
	capacity int
	used     int
	items    map[Key]item
	// growing are the parts that were partial when the store was last listed.
	growing map[Key]growth
}

// Catalogue holds what the stores hold. It may be used concurrently.
type Catalogue struct {
	mu       sync.Mutex
	revision uint64
	shelves  map[coltsidentity.Service]*shelf
	// changes are the newest ones; the last has the current revision.
	changes []Change
}

// NewCatalogue returns a catalogue of empty stores.
func NewCatalogue() *Catalogue {
	// Revision 0 is that of a follower which has been told nothing.
	return &Catalogue{shelves: map[coltsidentity.Service]*shelf{}, revision: 1}
}

// Open makes room for a store, if it is not known, and sets its capacity in tokens.
func (c *Catalogue) Open(store coltsidentity.Service, capacity int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shelfLocked(store).capacity = capacity
}

func (c *Catalogue) shelfLocked(store coltsidentity.Service) *shelf {
	s, known := c.shelves[store]
	if !known {
		s = &shelf{items: map[Key]item{}}
		c.shelves[store] = s
	}
	return s
}

// Reset takes in that nothing is known of a store any more, as when it starts anew.
func (c *Catalogue) Reset(store coltsidentity.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.shelfLocked(store)
	for key := range s.items {
		c.noteLocked(Change{Store: store, Key: key})
	}
	s.items, s.used, s.growing = map[Key]item{}, 0, nil
}

// Add takes in that a store holds a part whole.
func (c *Catalogue) Add(store coltsidentity.Service, key Key, tokens int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.shelfLocked(store)
	known, has := s.items[key]
	if has && known.tokens == tokens {
		return
	}
	s.used += tokens - known.tokens
	s.items[key] = item{tokens: tokens, usedAt: now, freeAt: known.freeAt}
	c.noteLocked(changeOf(store, key, s.items[key]))
}

// changeOf tells how a part stands.
func changeOf(store coltsidentity.Service, key Key, it item) Change {
	change := Change{Store: store, Key: key, OccupiedTokens: it.tokens}
	if it.freeAt.IsZero() {
		change.FetchableTokens = it.tokens
	}
	return change
}

// MarkFetched takes in that a part was fetched.
func (c *Catalogue) MarkFetched(store coltsidentity.Service, key Key, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.shelfLocked(store)
	if it, known := s.items[key]; known {
		it.usedAt = now
		s.items[key] = it
	}
}

// Remove takes in that a store holds a part no longer.
func (c *Catalogue) Remove(store coltsidentity.Service, key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.shelfLocked(store)
	known, has := s.items[key]
	if !has {
		return
	}
	s.used -= known.tokens
	delete(s.items, key)
	c.noteLocked(Change{Store: store, Key: key})
}

func (c *Catalogue) noteLocked(change Change) {
	c.revision++
	c.changes = append(c.changes, change)
	if len(c.changes) >= 2*keptChanges {
		c.changes = slices.Clone(c.changes[len(c.changes)-keptChanges:])
	}
}

// Retire chooses the parts that give way: all whose scope is not wanted any more, and
// where all stores are full those that were not used for the longest time. They may not
// be fetched from now on and are freed after RetireTime.
func (c *Catalogue) Retire(store coltsidentity.Service, wanted func(scope string) bool, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.shelfLocked(store)
	retired := 0
	held := s.used
	var keys []Key
	for key, it := range s.items {
		switch {
		case !it.freeAt.IsZero():
			held -= it.tokens
		case !wanted(key.Scope):
			c.retireLocked(store, s, key, now)
			held -= it.tokens
			retired++
		case now.Sub(it.usedAt) >= idleTime:
			keys = append(keys, key)
		}
	}
	if s.capacity == 0 || c.anyRoomLocked() {
		return retired
	}
	slices.SortFunc(keys, func(a, b Key) int {
		if order := s.items[a].usedAt.Compare(s.items[b].usedAt); order != 0 {
			return order
		}
		return cmp.Compare(a.Part, b.Part)
	})
	for _, key := range keys {
		if float64(held) < roomShare*float64(s.capacity) {
			break
		}
		held -= s.items[key].tokens
		c.retireLocked(store, s, key, now)
		retired++
	}
	return retired
}

// anyRoomLocked says whether a store takes parts: while one does, nothing has to give way.
func (c *Catalogue) anyRoomLocked() bool {
	for _, s := range c.shelves {
		if float64(s.used) < fullShare*float64(s.capacity) {
			return true
		}
	}
	return false
}

func (c *Catalogue) retireLocked(store coltsidentity.Service, s *shelf, key Key, now time.Time) {
	it := s.items[key]
	it.freeAt = now.Add(RetireTime)
	s.items[key] = it
	c.noteLocked(changeOf(store, key, it))
}

// Due returns the retired parts of a store that may be freed now.
func (c *Catalogue) Due(store coltsidentity.Service, now time.Time) []Key {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []Key
	for key, it := range c.shelfLocked(store).items {
		if !it.freeAt.IsZero() && !now.Before(it.freeAt) {
			due = append(due, key)
		}
	}
	return due
}

// Used returns the tokens that a store holds.
func (c *Catalogue) Used(store coltsidentity.Service) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shelfLocked(store).used
}

// Since returns the changes after a revision and the revision up to which they go.
// Where the changes are not kept so far back, it returns all that there is as whole.
func (c *Catalogue) Since(revision uint64) (changes []Change, upTo uint64, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if missing := c.revision - revision; revision <= c.revision && missing <= uint64(len(c.changes)) && revision > 0 {
		return slices.Clone(c.changes[len(c.changes)-int(missing):]), c.revision, false
	}
	for store, s := range c.shelves {
		for key, it := range s.items {
			changes = append(changes, changeOf(store, key, it))
		}
	}
	return changes, c.revision, true
}
