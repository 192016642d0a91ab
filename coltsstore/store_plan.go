package coltsstore

// A plan says where each shared part of a prompt comes from and goes to. What a store holds
// is fetched, what none holds is saved where it belongs.

import (
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsshard"
)

const (
	// smallTokens is the size up to which a part belongs into a fast store: a
	// transfer of it takes less than the wait before a transfer of a slow one.
	smallTokens = 2000
	// fastLatency is the wait before a transfer up to which a store counts as fast.
	fastLatency = 2 * time.Millisecond
	// leastTokens is the size from which a part is worth a transfer.
	leastTokens = 64
)

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

// FetchableTokens returns how many tokens of a prompt's parts can be fetched.
func (d *Directory) FetchableTokens(parts []Wanted, now time.Time) int {
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
