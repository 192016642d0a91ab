package coltsrouting

// The expected time to first token is what callers feel. Options that differ by
// less than the estimate's own error count as equal; among equals the computed
// home wins, so that entries which know nothing of each other send the same
// conversation to the same runner.

import "time"

// homeSlack is how much later than the best the computed home may be.
const homeSlack = 30 * time.Millisecond

var policyExpected = policyMember{
	name:  "expected-first-token",
	usage: "the upstream with the least expected time to first token: queue, restore, recompute",
	build: newExpected,
}

func newExpected() func(Work, []Choice, time.Time) Choice {
	var long longWork
	return func(w Work, options []Choice, now time.Time) Choice {
		return chooseExpected(w, long.narrow(w, options, now))
	}
}

func chooseExpected(w Work, options []Choice) Choice {
	best := leastExpected(options)
	var near []Choice
	for _, o := range options {
		if o.Expected <= best+homeSlack {
			near = append(near, o)
		}
	}
	return closestToHome(w, near)
}
