// Package coltsdrain decides which requests an instance that is being stopped still takes.
package coltsdrain

// Callers keep their connections, so requests arrive until the process exits. One that is still being
// served then is cut off, and if it may not be repeated, its caller can't find out whether it ran.
// Late in a stop a request is therefore taken only if it ends in time whatever happens; any other is
// refused as not run, and another instance can serve it at once.

import (
	"time"

	"coltsfootstall/coltsattempt"
)

// Plan holds the deadlines of a stop. A nil Plan means that the instance is not being stopped.
type Plan struct {
	// LateFrom is the time from which a request is taken only if it ends by EndBy.
	LateFrom time.Time
	// EndBy is when the instance stops serving.
	EndBy time.Time
}

// Refusal returns the refusal of a request that arrived at a time and may last until its deadline, or
// nil if it is taken. The zero deadline stands for none.
func (p *Plan) Refusal(arrived, deadline time.Time) *coltsattempt.RefusedError {
	if p == nil || arrived.Before(p.LateFrom) || !deadline.IsZero() && !deadline.After(p.EndBy) {
		return nil
	}
	return coltsattempt.NotRun(coltsattempt.ReasonNotReady,
		"this instance stops in %s, before the request must have ended", p.EndBy.Sub(arrived).Round(time.Millisecond))
}
