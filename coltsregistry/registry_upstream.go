// Package coltsregistry is the aggregate of the upstreams that report themselves
// to control: which there are, where, and whether new work may be sent to them.
//
// The registry is soft state. Every upstream renews its own entry by heartbeats,
// and each change of what is believed has a revision, so that a reader asks only
// for what is new to it.
package coltsregistry

// An upstream's reports may arrive late, twice and out of order, and after another
// upstream has taken its address. Born and Sequence put them in order: Born tells
// the processes apart that ran under one identity, Sequence the reports of one
// process.

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsweights"
)

// State says whether new work may be sent to an upstream.
type State int

// The states, in the only order in which one process goes through them.
const (
	// StateReady takes new work.
	StateReady State = iota
	// StateDraining finishes what it has.
	StateDraining
	// StateGone has left.
	StateGone
)

// String names the state.
func (s State) String() string {
	switch s {
	case StateReady:
		return "ready"
	case StateDraining:
		return "draining"
	case StateGone:
		return "gone"
	}
	return fmt.Sprintf("state %d", int(s))
}

// Upstream is what an upstream reports of itself.
type Upstream struct {
	ID         coltsidentity.Upstream
	Service    coltsidentity.Service
	Addr       netip.AddrPort
	DataCentre coltsidentity.DataCentre
	// Slots is the number of requests that it processes at once.
	Slots int
	State State
	// Weights are the models that it has loaded.
	Weights []coltsweights.Weights
	// StartedAt is when its process started, by its own clock.
	StartedAt time.Time
	// Sequence numbers the reports of one process.
	Sequence uint64
}

// newestWeights returns the weights of a report without going back behind what is known
// of the same process: a report may have been written before a load ended.
func (u Upstream) newestWeights(known Upstream) []coltsweights.Weights {
	if !u.StartedAt.Equal(known.StartedAt) {
		return u.Weights
	}
	weights := slices.Clone(u.Weights)
	for i, w := range weights {
		for _, k := range known.Weights {
			if k.Model == w.Model {
				weights[i].Number = max(w.Number, k.Number)
			}
		}
	}
	return weights
}

// Entry is an upstream as the registry believes it to be.
type Entry struct {
	Upstream Upstream
	// Silent says that reports are overdue; the upstream may still work.
	Silent bool
	// Loading says that it loads weights and starts nothing new meanwhile.
	Loading bool
	// Revision numbers the change that made the entry what it is.
	Revision uint64
}

// news says whether a report changes what is believed.
func (e Entry) news(u Upstream) bool {
	known := e.Upstream
	return e.Silent || known.State != u.State || known.Addr != u.Addr || known.Service != u.Service ||
		known.Slots != u.Slots || !known.StartedAt.Equal(u.StartedAt) || !slices.Equal(known.Weights, u.Weights)
}

// StaleError reports a report that a newer one has overtaken.
type StaleError struct {
	ID     coltsidentity.Upstream
	Reason string
}

// Error names the upstream and the reason.
func (e *StaleError) Error() string {
	return fmt.Sprintf("report of %s is out of date: %s", e.ID, e.Reason)
}
