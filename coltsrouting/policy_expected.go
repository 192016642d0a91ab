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
	build: func() func(Work, []Choice) Choice { return chooseExpected },
}

func chooseExpected(w Work, options []Choice) Choice {
	best := options[0].Expected
	for _, o := range options {
		best = min(best, o.Expected)
	}
	var near []Choice
	for _, o := range options {
		if o.Expected <= best+homeSlack {
			near = append(near, o)
		}
	}
	return closestToHome(w, near)
}
