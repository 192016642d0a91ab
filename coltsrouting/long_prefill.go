package coltsrouting

// A long prompt keeps its runner busy for seconds, and whatever is behind it
// waits. So long work may take a share of the runners only, the same ones in every
// entry, and short work stays off them while there is long work at all.

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"coltsfootstall/coltsshard"
)

const (
	// longWorkTokens is from how many tokens to compute on work counts as long.
	longWorkTokens = 32_000
	// longPerMille is the share of runners that long work may take.
	longPerMille = 334
	// perMilleWhole is the whole, in thousandths.
	perMilleWhole = 1000
	// longWorkMemory is how long runners stay set aside after the last long work.
	longWorkMemory = time.Minute
	// spillAfter is the expected wait from which on short work may use runners
	// that are set aside.
	spillAfter = 2 * time.Second
)

// longWork remembers whether there is long work.
type longWork struct {
	mu sync.Mutex
	// until is when runners are no longer set aside.
	until time.Time
}

// note takes in that there was long work.
func (l *longWork) note(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = now.Add(longWorkMemory)
}

// present says whether there was long work lately.
func (l *longWork) present(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.until)
}

// narrow returns the options that work of its length may take.
func (l *longWork) narrow(w Work, options []Choice, now time.Time) []Choice {
	if isLong(w, options) {
		l.note(now)
		aside, _ := split(options)
		return aside
	}
	if !l.present(now) {
		return options
	}
	_, rest := split(options)
	if len(rest) == 0 || leastExpected(rest) > spillAfter {
		return options
	}
	return rest
}

// isLong says whether the work is long wherever it goes.
func isLong(w Work, options []Choice) bool {
	for _, o := range options {
		if o.computes(w) < longWorkTokens {
			return false
		}
	}
	return true
}

// split returns the options that are set aside for long work, and the others.
func split(options []Choice) (aside, rest []Choice) {
	ranked := slices.Clone(options)
	slices.SortFunc(ranked, func(a, b Choice) int {
		return cmp.Compare(
			coltsshard.Hash(a.Candidate.Announcement.ID),
			coltsshard.Hash(b.Candidate.Announcement.ID),
		)
	})
	n := (len(ranked)*longPerMille + perMilleWhole - 1) / perMilleWhole
	return ranked[:n], ranked[n:]
}

func leastExpected(options []Choice) time.Duration {
	least := options[0].Expected
	for _, o := range options {
		least = min(least, o.Expected)
	}
	return least
}
