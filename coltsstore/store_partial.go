package coltsstore

// A part whose saving broke off keeps its room in a managed store. It can't be told from
// one that is still being written but by looking twice: a transfer that stands still for
// longer than any may wait is not going on.

import (
	"time"

	"coltsfootstall/coltsidentity"
)

// brokenTime is how long a part must not have grown to count as broken off: a transfer
// that would wait for two seconds is not begun, and a slowed one grows every second.
const brokenTime = 10 * time.Second

// Partial is a part of which a store holds only the beginning.
type Partial struct {
	Key Key
	// Tokens is what has arrived.
	Tokens int
}

// growth is how far a partial part was, and until when it may still grow.
type growth struct {
	tokens int
	until  time.Time
}

// AbortedParts takes in all partial parts of a store and returns those that broke off. They
// were never offered, so they may be freed at once.
func (c *Catalogue) AbortedParts(store coltsidentity.Service, partials []Partial, now time.Time) []Key {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.shelfLocked(store)
	growing := map[Key]growth{}
	var broken []Key
	for _, p := range partials {
		known, seen := s.growing[p.Key]
		if !seen || known.tokens != p.Tokens {
			known = growth{tokens: p.Tokens, until: now.Add(brokenTime)}
		}
		growing[p.Key] = known
		if !now.Before(known.until) {
			broken = append(broken, p.Key)
		}
	}
	s.growing = growing
	return broken
}
