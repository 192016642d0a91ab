package coltsstore

// The directory is an entry instance's copy of the catalogue. A copy that was not
// confirmed lately may name parts that are about to be freed, so nothing is fetched by it.

import (
	"sync"
	"sync/atomic"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

const (
	// confirmTime is how long a copy may be used after it was confirmed: parts are
	// freed no sooner than RetireTime after they were retired.
	confirmTime = 3 * time.Second
	// savePause is how long a part is not saved again by the same instance, until its
	// store has reported it.
	savePause = 2 * time.Second
)

// Directory says where parts can be fetched. It may be used concurrently.
type Directory struct {
	shards [coltsshard.Count]directoryShard
	// confirmedUntil is until when the copy counts.
	confirmedUntil atomic.Pointer[time.Time]
	used           usedTokens
	fetches        fetchLog
}

type directoryShard struct {
	mu    sync.Mutex
	parts map[Key][]place
	// saving is until when a part counts as being saved.
	saving map[Key]time.Time
}

// place is where a part is, how much of it may be fetched, and how much room it takes.
type place struct {
	store  coltsidentity.Service
	tokens int
	room   int
}

// usedTokens counts the tokens of each store.
type usedTokens struct {
	mu   sync.Mutex
	used map[coltsidentity.Service]int
}

// NewDirectory returns a directory that knows no part.
func NewDirectory() *Directory {
	d := &Directory{used: usedTokens{used: map[coltsidentity.Service]int{}}}
	d.Clear()
	return d
}

func (d *Directory) shard(key Key) *directoryShard {
	return &d.shards[coltsshard.Of(key.Part)]
}

// Clear forgets everything, before a whole catalogue is taken in.
func (d *Directory) Clear() {
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		s.parts, s.saving = map[Key][]place{}, map[Key]time.Time{}
		s.mu.Unlock()
	}
	d.used.mu.Lock()
	defer d.used.mu.Unlock()
	clear(d.used.used)
}

// Apply takes in a change of the catalogue.
func (d *Directory) Apply(c Change) {
	s := d.shard(c.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.removeLocked(c.Key, c.Store)
	if c.OccupiedTokens > 0 {
		s.parts[c.Key] = append(s.parts[c.Key], place{store: c.Store, tokens: c.FetchableTokens, room: c.OccupiedTokens})
	}
	if c.FetchableTokens > 0 {
		delete(s.saving, c.Key)
	}
	d.used.add(c.Store, c.OccupiedTokens-before)
}

func (u *usedTokens) add(store coltsidentity.Service, tokens int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.used[store] += tokens
}

func (u *usedTokens) of(store coltsidentity.Service) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.used[store]
}

// removeLocked removes a part's place in a store and returns the room that it took.
func (s *directoryShard) removeLocked(key Key, store coltsidentity.Service) int {
	places := s.parts[key]
	for i, p := range places {
		if p.store != store {
			continue
		}
		if len(places) == 1 {
			delete(s.parts, key)
		} else {
			s.parts[key] = append(places[:i:i], places[i+1:]...)
		}
		return p.room
	}
	return 0
}

// Confirm takes in that the copy was complete at a time.
func (d *Directory) Confirm(now time.Time) {
	until := now.Add(confirmTime)
	d.confirmedUntil.Store(&until)
}

// confirmed says whether the copy counts.
func (d *Directory) confirmed(now time.Time) bool {
	until := d.confirmedUntil.Load()
	return until != nil && now.Before(*until)
}

// Len returns the number of parts that the stores hold.
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

func (d *Directory) find(key Key) (coltsidentity.Service, int, bool) {
	s := d.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.parts[key] {
		if p.tokens > 0 {
			return p.store, p.tokens, true
		}
	}
	return "", 0, false
}

// beginSave says whether this instance should have a part saved, and counts it as being
// saved.
func (d *Directory) beginSave(key Key, now time.Time) bool {
	s := d.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.saving[key]) {
		return false
	}
	s.saving[key] = now.Add(savePause)
	return true
}
