package coltsstore

// A plan lists the transfers for the shared parts of a prompt. A part that a store holds is
// fetched from it; a part that no store holds is saved to the store chosen for it.

import (
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsshard"
)

const (
	// smallPartTokens is the size up to which a part is preferably saved to a fast store:
	// transferring its bytes takes less time than the latency of a slow store.
	smallPartTokens = 2000
	// fastStoreLatency is the largest latency with which a store counts as fast.
	fastStoreLatency = 2 * time.Millisecond
	// minTransferTokens is the size from which a part is worth a transfer.
	minTransferTokens = 64
)

// PromptPart is a part of a prompt that may be shared with other prompts, and its size.
type PromptPart struct {
	Key    Key
	Tokens int
}

// Transfer is a transfer of one part from or to a store. The zero value means no transfer.
type Transfer struct {
	Store  coltsidentity.Service
	Tokens int
}

// Plan lists the transfers for a prompt. Both slices have one element for each part, in
// the order of the parts.
type Plan struct {
	Fetch []Transfer
	Save  []Transfer
	// FetchUntil is the time on the stores' clock at which the fetches must have ended; zero if it is
	// not known or nothing is fetched.
	FetchUntil time.Time
}

// FetchedTokens returns the number of tokens that a plan fetches.
func (p Plan) FetchedTokens() int { return totalTokens(p.Fetch) }

// SavedTokens returns the number of tokens that a plan saves.
func (p Plan) SavedTokens() int { return totalTokens(p.Save) }

func totalTokens(transfers []Transfer) int {
	n := 0
	for _, t := range transfers {
		n += t.Tokens
	}
	return n
}

// Plan returns the plan for the shared parts of a prompt: a part that a store holds is
// fetched from it, and a part that none holds is saved to one with room. The plan has no
// transfers if the directory was not confirmed recently.
func (d *Directory) Plan(parts []PromptPart, stores []coltsroute.Service, now time.Time) Plan {
	plan := Plan{Fetch: make([]Transfer, len(parts)), Save: make([]Transfer, len(parts))}
	if !d.isConfirmed(now) || len(stores) == 0 {
		return plan
	}
	for i, part := range parts {
		if part.Tokens < minTransferTokens {
			continue
		}
		if store, tokens, held := d.find(part.Key); held {
			plan.Fetch[i] = Transfer{Store: store, Tokens: tokens}
			until := d.offer(store).FetchUntil
			if plan.FetchUntil.IsZero() || !until.IsZero() && until.Before(plan.FetchUntil) {
				plan.FetchUntil = until
			}
			d.fetches.add(Change{Store: store, Key: part.Key})
			continue
		}
		if !d.complete.Load() {
			continue
		}
		if store, found := d.storeForSave(part, stores); found && d.beginSave(part.Key, now) {
			plan.Save[i] = Transfer{Store: store, Tokens: part.Tokens}
		}
	}
	return plan
}

// FetchableTokens returns how many tokens of the given parts can be fetched from stores.
func (d *Directory) FetchableTokens(parts []PromptPart, now time.Time) int {
	if !d.isConfirmed(now) {
		return 0
	}
	total := 0
	for _, part := range parts {
		if _, tokens, held := d.find(part.Key); held {
			total += tokens
		}
	}
	return total
}

// PreferredStore returns the store from which the largest of the given parts can be fetched
// or, if none holds it, to which it would be saved. It returns "" if there is no such store.
func (d *Directory) PreferredStore(parts []PromptPart, stores []coltsroute.Service) coltsidentity.Service {
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
	store, _ := d.storeForSave(largest, stores)
	return store
}

// storeForSave returns the store to which a part is to be saved, or false if none has room.
// It prefers fast stores for small parts and slow stores for large ones, and uses the other
// kind if none of the preferred kind has room. For a small part, the latency of a slow store
// costs more time than the transfer of its bytes, but less than prefilling the part again.
func (d *Directory) storeForSave(part PromptPart, stores []coltsroute.Service) (coltsidentity.Service, bool) {
	suits := suitsSizeOf(part)
	store, found := d.highestScored(part, stores, suits)
	if !found {
		store, found = d.highestScored(part, stores, func(s coltsroute.Service) bool { return !suits(s) })
	}
	return store, found
}

// highestScored returns the store that rendezvous hashing of the part's ID selects among the
// eligible stores with room, or false if there is none.
func (d *Directory) highestScored(
	part PromptPart, stores []coltsroute.Service, eligible func(coltsroute.Service) bool,
) (coltsidentity.Service, bool) {
	best, bestScore, found := coltsidentity.Service(""), uint64(0), false
	for _, s := range stores {
		if !eligible(s) || !d.offer(s.Name).TakesParts || !d.hasRoom(s, part.Tokens) {
			continue
		}
		if score := coltsshard.RendezvousScore([]byte(part.Key.Part), s.Name); !found || score > bestScore {
			best, bestScore, found = s.Name, score, true
		}
	}
	return best, found
}

// suitsSizeOf returns a function that reports whether a store is of the kind preferred for a
// part of that size: fast for a small part, slow for a large one.
func suitsSizeOf(part PromptPart) func(coltsroute.Service) bool {
	isSmall := part.Tokens <= smallPartTokens
	return func(s coltsroute.Service) bool {
		isFast := s.Store.Latency <= fastStoreLatency
		return isFast == isSmall
	}
}

// hasRoom reports whether a part of some tokens fits into a store. The space above the high
// watermark is left for parts that other instances save at the same time.
func (d *Directory) hasRoom(s coltsroute.Service, tokens int) bool {
	return float64(d.usage.of(s.Name)+tokens) < highWatermark*float64(s.Store.CacheTokens)
}
