package coltsrouting

// This policy minimises the expected time to first token, the latency that callers
// notice. Options that differ by less than the error of the estimate count as equal.
// Among equal options the home upstream is chosen by rendezvous hashing, so that
// entries send the same conversation to the same runner without coordination.

import "time"

// homeTolerance is how much the expected time to first token of an option may exceed
// the shortest one for the option to count as equal.
const homeTolerance = 30 * time.Millisecond

var policyExpected = policyEntry{
	name:      "expected-first-token",
	usage:     "the upstream with the least expected time to first token: queue, restore, recompute",
	newChoose: newExpected,
}

// newExpected returns a choose function with its own record of long prefills.
func newExpected() func(Request, []Choice, time.Time) Choice {
	var long longPrefills
	return func(r Request, options []Choice, now time.Time) Choice {
		return chooseExpected(r, long.filter(r, options, now))
	}
}

// chooseExpected returns the home upstream among the options whose expected time to
// first token is within homeTolerance of the shortest.
func chooseExpected(r Request, options []Choice) Choice {
	shortest := minExpected(options)
	var equal []Choice
	for _, o := range options {
		if o.Expected <= shortest+homeTolerance {
			equal = append(equal, o)
		}
	}
	return highestRanked(r, equal)
}
