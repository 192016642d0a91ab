package coltsstore

// The directory is an entry instance's copy of the catalogue, and its plans. A copy that
// was not confirmed lately may name parts that are about to be freed, so nothing is
// fetched by it.

import (
	"sync"
	"sync/atomic"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsshard"
)

const (
	// confirmTime is how long a copy may be used after it was confirmed: parts are
	// freed no sooner than RetireTime after they were retired.
	confirmTime = 3 * time.Second
	// savePause is how long a part is not saved again by the same instance, until its
	// store has reported it.
	savePause = 2 * time.Second
	// smallTokens is the size up to which a part belongs into a fast store: a
	// transfer of it takes less than the wait before a transfer of a slow one.
	smallTokens = 2000
	// fastLatency is the wait before a transfer up to which a store counts as fast.
	fastLatency = 2 * time.Millisecond
	// leastTokens is the size from which a part is worth a transfer.
	leastTokens = 64
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
	if c.Room > 0 {
		s.parts[c.Key] = append(s.parts[c.Key], place{store: c.Store, tokens: c.Tokens, room: c.Room})
	}
	if c.Tokens > 0 {
		delete(s.saving, c.Key)
	}
	d.used.add(c.Store, c.Room-before)
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

// Wanted is a shared part of a prompt.
type Wanted struct {
	Key    Key
	Tokens int
}

// Move is a transfer of one part; no store for none.
type Move struct {
	Store  coltsidentity.Service
	Tokens int
}

// Plan says for each part of a prompt what is fetched and what is saved.
type Plan struct {
	Fetch []Move
	Save  []Move
}

// Fetched returns the tokens that a plan fetches.
func (p Plan) Fetched() int { return tokensOf(p.Fetch) }

// Saved returns the tokens that a plan saves.
func (p Plan) Saved() int { return tokensOf(p.Save) }

func tokensOf(moves []Move) int {
	n := 0
	for _, m := range moves {
		n += m.Tokens
	}
	return n
}

// Plan returns the plan for a prompt's shared parts in order: what a store holds is
// fetched from it, and what none holds is saved.
func (d *Directory) Plan(parts []Wanted, stores []coltsroute.Service, now time.Time) Plan {
	plan := Plan{Fetch: make([]Move, len(parts)), Save: make([]Move, len(parts))}
	if !d.confirmed(now) || len(stores) == 0 {
		return plan
	}
	for i, part := range parts {
		if part.Tokens < leastTokens {
			continue
		}
		if store, tokens, held := d.find(part.Key); held {
			plan.Fetch[i] = Move{Store: store, Tokens: tokens}
			d.fetches.add(Change{Store: store, Key: part.Key})
			continue
		}
		if to, room := d.home(part, stores); room && d.beginSave(part.Key, now) {
			plan.Save[i] = Move{Store: to, Tokens: part.Tokens}
		}
	}
	return plan
}

// mostFetches bounds the fetches that wait to be told.
const mostFetches = 512

// fetchLog holds the fetches that the catalogue's owner was not told of.
type fetchLog struct {
	mu      sync.Mutex
	fetches []Change
}

func (l *fetchLog) add(c Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.fetches) < mostFetches {
		l.fetches = append(l.fetches, c)
	}
}

// TakeFetches returns what was fetched since the last call. What its owner is not told of
// only seems less used.
func (d *Directory) TakeFetches() []Change {
	d.fetches.mu.Lock()
	defer d.fetches.mu.Unlock()
	fetches := d.fetches.fetches
	d.fetches.fetches = nil
	return fetches
}

// Held returns how many tokens of a prompt's parts can be fetched.
func (d *Directory) Held(parts []Wanted, now time.Time) int {
	if !d.confirmed(now) {
		return 0
	}
	held := 0
	for _, part := range parts {
		if _, tokens, has := d.find(part.Key); has {
			held += tokens
		}
	}
	return held
}

// Near returns the store that the largest of a prompt's parts is fetched from, or would be
// saved in; empty for none.
func (d *Directory) Near(parts []Wanted, stores []coltsroute.Service) coltsidentity.Service {
	if len(parts) == 0 {
		return ""
	}
	largest := parts[0]
	for _, part := range parts {
		if part.Tokens > largest.Tokens {
			largest = part
		}
	}
	if store, _, held := d.find(largest.Key); held {
		return store
	}
	store, _ := d.home(largest, stores)
	return store
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

// home returns the store that a part belongs into, by its name alone among those with
// room: of the kind that fits its size, or else of the other kind. A slow store is spared
// the small parts while it can be: the wait before each transfer costs more than their
// bytes, but less than to read them again.
func (d *Directory) home(part Wanted, stores []coltsroute.Service) (coltsidentity.Service, bool) {
	fits := fitting(part)
	store, room := d.ranked(part, stores, fits)
	if !room {
		store, room = d.ranked(part, stores, func(s coltsroute.Service) bool { return !fits(s) })
	}
	return store, room
}

// ranked returns the store that a part's name leads to among those that are eligible and
// have room.
func (d *Directory) ranked(
	part Wanted, stores []coltsroute.Service, eligible func(coltsroute.Service) bool,
) (coltsidentity.Service, bool) {
	best, rank, found := coltsidentity.Service(""), uint64(0), false
	for _, s := range stores {
		if !eligible(s) || !d.hasRoom(s, part.Tokens) {
			continue
		}
		if r := coltsshard.Rank([]byte(part.Key.Part), s.Name); !found || r > rank {
			best, rank, found = s.Name, r, true
		}
	}
	return best, found
}

// fitting says which stores fit a part's size.
func fitting(part Wanted) func(coltsroute.Service) bool {
	isSmall := part.Tokens <= smallTokens
	return func(s coltsroute.Service) bool {
		isFast := s.Store.Latency <= fastLatency
		return isFast == isSmall
	}
}

// hasRoom says whether a part fits into a store, with what others save meanwhile.
func (d *Directory) hasRoom(s coltsroute.Service, tokens int) bool {
	return float64(d.used.of(s.Name)+tokens) < fullShare*float64(s.Store.CacheTokens)
}
