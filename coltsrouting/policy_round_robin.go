package coltsrouting

// Round robin is the baseline: it considers neither the load nor the KV cache.

import (
	"sync/atomic"
	"time"
)

var policyRoundRobin = policyEntry{
	name:      "round-robin",
	usage:     "each upstream in turn",
	newChoose: newRoundRobin,
}

func newRoundRobin() func(Request, []Choice, time.Time) Choice {
	var counter atomic.Uint64
	return func(_ Request, options []Choice, _ time.Time) Choice {
		n := counter.Add(1)
		return options[n%uint64(len(options))]
	}
}
