package coltsrouting

// Least outstanding is the usual policy of balancers: it sees load and no cache.

import "time"

var policyOutstanding = policyMember{
	name:  "least-outstanding",
	usage: "the upstream with the fewest requests under way from this entry",
	build: func() func(Work, []Choice, time.Time) Choice { return chooseOutstanding },
}

func chooseOutstanding(w Work, options []Choice, _ time.Time) Choice {
	fewest := options[0].Candidate.UnderWay
	for _, o := range options {
		fewest = min(fewest, o.Candidate.UnderWay)
	}
	var equal []Choice
	for _, o := range options {
		if o.Candidate.UnderWay == fewest {
			equal = append(equal, o)
		}
	}
	return closestToHome(w, equal)
}
