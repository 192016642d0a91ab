// Package coltsstore is the aggregate of the KV cache stores: which parts of prompts
// each store holds, where parts are saved and fetched, and which are evicted when a
// store is full.
//
// A managed store evicts nothing on its own and does not know who reads from it. So one
// control instance, the leader, decides what is evicted, and every instance stops
// fetching a part long before the part is freed.
package coltsstore

// The leader keeps the catalogue in memory only. It is rebuilt from the stores
// themselves whenever the leader changes or a store restarts, and is complete once every
// store has been listed or has failed to answer. Followers ask for the changes after a
// position in the change log. The catalogue is not divided into shards: a handful of stores
// make a few hundred changes a second.

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
)

const (
	// highWatermark is the share of a store's capacity, from 0 to 1, at which the store
	// counts as full. Eviction then retires parts until the share is below lowWatermark.
	highWatermark = 0.92
	lowWatermark  = 0.85
	// minIdleTime is how long a part must have been unused before it may be evicted: a part
	// that is requested again within this time is worth its space.
	minIdleTime = 10 * time.Second
	// RetireDelay is the delay between retiring a part and freeing it. Followers learn of
	// the retirement within three seconds or stop fetching, a request may wait ten seconds
	// at its runner, and a transfer takes at most two.
	RetireDelay = 15 * time.Second
)

// Key identifies a part of a prompt within the scope in which it may be shared.
type Key struct {
	// Scope separates parts that must not be shared, such as those of different weight
	// versions or of isolated organisations.
	Scope string
	// Part is the ID of the part.
	Part string
}

// Change is the new state of one part in one store.
type Change struct {
	Store coltsidentity.Service
	Key   Key
	// FetchableTokens is the number of tokens that may be fetched; zero means that the part
	// must not be fetched.
	FetchableTokens int
	// OccupiedTokens is the number of tokens of the store's capacity that the part occupies.
	// A retired part, which must not be fetched, still occupies space until it is freed.
	OccupiedTokens int
}

// storedPart is a part in a store.
type storedPart struct {
	tokens int
	// usedAt is when it was saved or last fetched.
	usedAt time.Time
	// freeAt is when a retired part may be freed; zero while the part may be fetched.
	freeAt time.Time
}

// storeStatus is what is known about a store.
type storeStatus int

const (
	// statusPending means that the store's content is not known yet.
	statusPending storeStatus = iota
	statusListed
	// statusFailed means that the store did not answer.
	statusFailed
)

// storeState is the content of one store.
type storeState struct {
	status storeStatus
	// capacity and used are in tokens; used includes retired parts.
	capacity int
	used     int
	parts    map[Key]storedPart
	// partials are the parts that were incomplete when the store was last listed.
	partials map[Key]partialProgress
	// answeredAt is the time on the store's clock in its newest answer.
	answeredAt time.Time
	// withdrawnAt is when a store that had been listed restarted or stopped answering; zero while it
	// is listed. neverOffered is set until the first listing of a store that no leader can have
	// offered before.
	withdrawnAt  time.Time
	neverOffered bool
}

// Catalogue records what the stores hold. It is safe for concurrent use.
type Catalogue struct {
	mu     sync.Mutex
	stores map[coltsidentity.Service]*storeState
	// following is set while the set of stores is known.
	following bool
	// boots holds the newest known boot of each store, also of those that are not followed.
	boots map[coltsidentity.Service]boot
	log   changeLog
}

// NewCatalogue returns a catalogue without stores.
func NewCatalogue() *Catalogue {
	return &Catalogue{
		stores: map[coltsidentity.Service]*storeState{}, boots: map[coltsidentity.Service]boot{}, log: newChangeLog(),
	}
}

// Follow sets the stores that the catalogue covers, with their capacities in tokens. Others are
// removed with their parts. New ones are pending until they have been listed; one that is added while
// others, or none, are followed was not offered before.
func (c *Catalogue) Follow(capacities map[coltsidentity.Service]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasFollowing := c.following
	c.following = true
	for store, s := range c.stores {
		if _, covered := capacities[store]; !covered {
			c.clearLocked(store, s)
			delete(c.stores, store)
		}
	}
	for store, capacity := range capacities {
		_, followed := c.stores[store]
		s := c.storeLocked(store)
		s.capacity = capacity
		if !followed {
			s.neverOffered = wasFollowing
		}
	}
}

// Abandon removes all stores, as when this instance no longer leads.
func (c *Catalogue) Abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for store, s := range c.stores {
		c.clearLocked(store, s)
	}
	clear(c.stores)
	c.following = false
}

// storeLocked returns the state of a store and adds the store if it is not known.
func (c *Catalogue) storeLocked(store coltsidentity.Service) *storeState {
	s, known := c.stores[store]
	if !known {
		s = &storeState{parts: map[Key]storedPart{}}
		c.stores[store] = s
	}
	return s
}

// Reset removes all parts of a store, whose content is not known until it is listed.
func (c *Catalogue) Reset(store coltsidentity.Service, now time.Time) {
	c.setStatus(store, statusPending, now)
}

// MarkFailed removes all parts of a store that does not answer. Until it is listed, it counts as
// having no room either.
func (c *Catalogue) MarkFailed(store coltsidentity.Service, now time.Time) {
	c.setStatus(store, statusFailed, now)
}

func (c *Catalogue) setStatus(store coltsidentity.Service, status storeStatus, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, known := c.stores[store]
	if !known {
		return
	}
	if s.status == statusListed {
		s.withdrawnAt = now
	}
	c.clearLocked(store, s)
	s.status = status
}

// SetListed replaces the content of a store by that of a listing. Parts that stay the same, retired
// ones too, cause no change.
func (c *Catalogue) SetListed(store coltsidentity.Service, l Listing, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.storeLocked(store)
	c.recordBootLocked(store, s, l.BootEpoch, now)
	s.status, s.answeredAt = statusListed, l.AnsweredAt
	parts := l.Parts
	for key := range s.parts {
		if _, held := parts[key]; !held {
			c.removeLocked(store, s, key)
		}
	}
	for key, tokens := range parts {
		c.addLocked(store, s, key, tokens, now)
	}
}

// clearLocked removes all parts of a store.
func (c *Catalogue) clearLocked(store coltsidentity.Service, s *storeState) {
	for key := range s.parts {
		c.log.append(Change{Store: store, Key: key})
	}
	s.parts, s.used, s.partials = map[Key]storedPart{}, 0, nil
}

// Complete reports whether every store has been listed or has failed to answer, so that a part
// that the catalogue lacks is in no store that can be reached.
func (c *Catalogue) Complete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.stores {
		if s.status == statusPending {
			return false
		}
	}
	return c.following
}

// Add records that a store holds a complete part. A part that was retired stays retired.
func (c *Catalogue) Add(store coltsidentity.Service, key Key, tokens int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addLocked(store, c.storeLocked(store), key, tokens, now)
}

func (c *Catalogue) addLocked(store coltsidentity.Service, s *storeState, key Key, tokens int, now time.Time) {
	old, exists := s.parts[key]
	if exists && old.tokens == tokens {
		return
	}
	s.used += tokens - old.tokens
	s.parts[key] = storedPart{tokens: tokens, usedAt: now, freeAt: old.freeAt}
	c.log.append(changeFor(store, key, s.parts[key]))
}

// changeFor returns the change that describes the current state of a part.
func changeFor(store coltsidentity.Service, key Key, part storedPart) Change {
	change := Change{Store: store, Key: key, OccupiedTokens: part.tokens}
	if part.freeAt.IsZero() {
		change.FetchableTokens = part.tokens
	}
	return change
}

// MarkFetched records that a part was fetched.
func (c *Catalogue) MarkFetched(store coltsidentity.Service, key Key, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.storeLocked(store)
	if part, known := s.parts[key]; known {
		part.usedAt = now
		s.parts[key] = part
	}
}

// Remove records that a store no longer holds a part.
func (c *Catalogue) Remove(store coltsidentity.Service, key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeLocked(store, c.storeLocked(store), key)
}

func (c *Catalogue) removeLocked(store coltsidentity.Service, s *storeState, key Key) {
	part, exists := s.parts[key]
	if !exists {
		return
	}
	s.used -= part.tokens
	delete(s.parts, key)
	c.log.append(Change{Store: store, Key: key})
}

// Retire chooses the parts of a store that are to be evicted and returns their number. It
// takes all parts whose scope is not in use any more. If every store is full, it also takes
// the least recently used parts until the store is below lowWatermark, except parts that
// were used within minIdleTime. Retired parts must not be fetched from now on; they may be
// freed after RetireDelay.
func (c *Catalogue) Retire(store coltsidentity.Service, inUse func(scope string) bool, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.storeLocked(store)
	retired := 0
	// liveTokens is the number of tokens in parts that are not retired.
	liveTokens := s.used
	var candidates []Key
	for key, part := range s.parts {
		switch {
		case !part.freeAt.IsZero():
			liveTokens -= part.tokens
		case !inUse(key.Scope):
			c.retireLocked(store, s, key, now)
			liveTokens -= part.tokens
			retired++
		case now.Sub(part.usedAt) >= minIdleTime:
			candidates = append(candidates, key)
		}
	}
	if s.status != statusListed || c.anyStoreHasRoomLocked() {
		return retired
	}
	slices.SortFunc(candidates, func(a, b Key) int {
		if order := s.parts[a].usedAt.Compare(s.parts[b].usedAt); order != 0 {
			return order
		}
		return cmp.Compare(a.Part, b.Part)
	})
	for _, key := range candidates {
		if float64(liveTokens) < lowWatermark*float64(s.capacity) {
			break
		}
		liveTokens -= s.parts[key].tokens
		c.retireLocked(store, s, key, now)
		retired++
	}
	return retired
}

// anyStoreHasRoomLocked reports whether a store that can be used is below its high watermark.
// While one is, new parts go there and nothing has to be evicted.
func (c *Catalogue) anyStoreHasRoomLocked() bool {
	for _, s := range c.stores {
		if s.status == statusListed && float64(s.used) < highWatermark*float64(s.capacity) {
			return true
		}
	}
	return false
}

func (c *Catalogue) retireLocked(store coltsidentity.Service, s *storeState, key Key, now time.Time) {
	part := s.parts[key]
	part.freeAt = now.Add(RetireDelay)
	s.parts[key] = part
	c.log.append(changeFor(store, key, part))
}

// Freeable returns the retired parts of a store that may be freed now.
func (c *Catalogue) Freeable(store coltsidentity.Service, now time.Time) []Key {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []Key
	for key, part := range c.storeLocked(store).parts {
		if !part.freeAt.IsZero() && !now.Before(part.freeAt) {
			due = append(due, key)
		}
	}
	return due
}

// UsedTokens returns the number of tokens that a store holds, including its retired parts.
func (c *Catalogue) UsedTokens(store coltsidentity.Service) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeLocked(store).used
}

// Since returns the changes after a position, at most limit of them.
func (c *Catalogue) Since(p Position, limit int) Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.since(p, limit)
}
