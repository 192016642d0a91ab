package coltsrouting

// A long prefill occupies its runner for seconds and delays all requests queued
// behind it. Long prefills are therefore sent only to a reserved share of the runners,
// the same ones for every entry, and short requests avoid the reserved runners while
// there are long prefills.

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"coltsfootstall/coltsshard"
)

const (
	// longPrefillTokens is the minimum number of tokens that a long prefill computes.
	longPrefillTokens = 32_000
	// reservedPerMille is the share of runners reserved for long prefills, in
	// thousandths, rounded up to a whole runner.
	reservedPerMille = 334
	perMilleWhole    = 1000
	// reservationTime is how long the runners stay reserved after the last long
	// prefill.
	reservationTime = time.Minute
	// spillThreshold is the expected time to first token on the other runners above
	// which short requests may use the reserved ones.
	spillThreshold = 2 * time.Second
)

// longPrefills records whether there were long prefills recently. It is safe for
// concurrent use.
type longPrefills struct {
	mu sync.Mutex
	// reservedUntil is when the reservation of runners ends.
	reservedUntil time.Time
}

// reserve starts or extends the reservation of runners.
func (l *longPrefills) reserve(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reservedUntil = now.Add(reservationTime)
}

// reserving reports whether runners are reserved.
func (l *longPrefills) reserving(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.reservedUntil)
}

// filter returns the options that the request may use: the reserved runners for a
// long prefill, and the others, if they are not too busy, for a short one.
func (l *longPrefills) filter(r Request, options []Choice, now time.Time) []Choice {
	if isLong(r, options) {
		l.reserve(now)
		reserved, _ := splitReserved(options)
		return reserved
	}
	if !l.reserving(now) {
		return options
	}
	_, others := splitReserved(options)
	if len(others) == 0 || minExpected(others) > spillThreshold {
		return options
	}
	return others
}

// isLong reports whether the request would be a long prefill on every option.
func isLong(r Request, options []Choice) bool {
	for _, o := range options {
		if o.computedTokens(r) < longPrefillTokens {
			return false
		}
	}
	return true
}

// splitReserved splits the options into those reserved for long prefills and the
// others. It ranks them by the hash of their ID, so that every entry reserves the same
// runners.
func splitReserved(options []Choice) (reserved, others []Choice) {
	ranked := slices.Clone(options)
	slices.SortFunc(ranked, func(a, b Choice) int {
		return cmp.Compare(
			coltsshard.Hash(a.Candidate.Announcement.ID),
			coltsshard.Hash(b.Candidate.Announcement.ID),
		)
	})
	n := (len(ranked)*reservedPerMille + perMilleWhole - 1) / perMilleWhole
	return ranked[:n], ranked[n:]
}

// minExpected returns the shortest expected time to first token.
func minExpected(options []Choice) time.Duration {
	shortest := options[0].Expected
	for _, o := range options {
		shortest = min(shortest, o.Expected)
	}
	return shortest
}
