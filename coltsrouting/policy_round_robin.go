package coltsrouting

// Round robin is the baseline that knows nothing.

import (
	"sync/atomic"
	"time"
)

var policyRoundRobin = policyMember{
	name:  "round-robin",
	usage: "each upstream in turn",
	build: newRoundRobin,
}

func newRoundRobin() func(Work, []Choice, time.Time) Choice {
	var turn atomic.Uint64
	return func(_ Work, options []Choice, _ time.Time) Choice {
		n := turn.Add(1)
		return options[n%uint64(len(options))]
	}
}
