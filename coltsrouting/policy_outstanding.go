package coltsrouting

// Least outstanding requests is the usual policy of load balancers. It considers the
// load but not the KV cache.

import "time"

var policyOutstanding = policyEntry{
	name:      "least-outstanding",
	usage:     "the upstream with the fewest requests under way from this entry",
	newChoose: func() func(Request, []Choice, time.Time) Choice { return chooseOutstanding },
}

func chooseOutstanding(r Request, options []Choice, _ time.Time) Choice {
	fewest := options[0].Candidate.InFlight
	for _, o := range options {
		fewest = min(fewest, o.Candidate.InFlight)
	}
	var equal []Choice
	for _, o := range options {
		if o.Candidate.InFlight == fewest {
			equal = append(equal, o)
		}
	}
	return highestRanked(r, equal)
}
