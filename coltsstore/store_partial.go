package coltsstore

// A part whose transfer to a managed store was aborted keeps occupying space there. A single
// listing can't tell it from a part that is still being written, so two listings are
// compared: a transfer that has made no progress for longer than any transfer may wait has
// been aborted.

import (
	"time"

	"coltsfootstall/coltsidentity"
)

// stallTimeout is the time without growth after which a partial part counts as aborted: a
// transfer that would have to wait for two seconds is not started, and a slowed one makes
// progress every second.
const stallTimeout = 10 * time.Second

// Partial is an incomplete part, of which a store holds only the beginning.
type Partial struct {
	Key Key
	// Tokens is the number of tokens that have arrived.
	Tokens int
}

// partialProgress is the size of an incomplete part when it last grew, with its deadline.
type partialProgress struct {
	tokens int
	// stallsAt is when the part counts as aborted unless it has grown by then.
	stallsAt time.Time
}

// AbortedParts records all partial parts of a store, as just listed, and returns those whose
// transfer was aborted. They were never offered to followers, so they may be freed at once.
func (c *Catalogue) AbortedParts(store coltsidentity.Service, partials []Partial, now time.Time) []Key {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.storeLocked(store)
	current := map[Key]partialProgress{}
	var aborted []Key
	for _, p := range partials {
		progress, seen := s.partials[p.Key]
		if !seen || progress.tokens != p.Tokens {
			progress = partialProgress{tokens: p.Tokens, stallsAt: now.Add(stallTimeout)}
		}
		current[p.Key] = progress
		if !now.Before(progress.stallsAt) {
			aborted = append(aborted, p.Key)
		}
	}
	s.partials = current
	return aborted
}
