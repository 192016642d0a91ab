// Package coltsregistry keeps track of the upstreams that report to control: which ones
// exist, their addresses, and whether they accept new work.
//
// The registry is soft state. Each upstream refreshes its own entry with heartbeats.
// Every change to an entry gets a new revision, so that readers can fetch only what
// changed since their last read.
package coltsregistry

// An upstream's reports may arrive late, twice, out of order, or after another upstream
// has taken over its address. StartedAt and Sequence order them: StartedAt distinguishes
// the processes that have run under one ID, and Sequence orders the reports of one process.

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"
	"unicode/utf8"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsweights"
)

// State is the state of an upstream, which determines whether it accepts new work.
type State int

// The states, in the order in which a process goes through them. A process never goes
// back to an earlier one.
const (
	// StateReady means that the upstream accepts new work.
	StateReady State = iota
	// StateDraining means that the upstream finishes its current requests and accepts no
	// new ones.
	StateDraining
	// StateGone means that the upstream has left.
	StateGone
)

// String returns the state's name.
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

// Upstream is an upstream's report about itself.
type Upstream struct {
	ID         coltsidentity.Upstream
	Service    coltsidentity.Service
	Addr       netip.AddrPort
	DataCentre coltsidentity.DataCentre
	// Slots is the number of requests that it can process concurrently.
	Slots int
	State State
	// Weights lists the model weights that it has loaded.
	Weights []coltsweights.Weights
	// StartedAt is the start time of its process, according to its own clock.
	StartedAt time.Time
	// Sequence increases with each report of the same process.
	Sequence uint64
	// ColdUntil is until when it tolerates few requests; zero if it has not said. It is kept only for
	// services that limit requests to cold processes.
	ColdUntil time.Time
}

const (
	// maxIDBytes is the length of the longest ID.
	maxIDBytes = 256
	// maxNumber bounds the numbers that only grow. Beyond it, no sound report could follow.
	maxNumber = 1 << 53
	// maxClockLead is how far a process's start may seem to lie in the future, because clocks differ.
	maxClockLead = time.Hour
)

// InvalidError is returned for a report that no sound upstream would make.
type InvalidError struct {
	ID     coltsidentity.Upstream
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("report of %q is invalid: %s", string(e.ID), e.Reason)
}

// Validate returns an InvalidError if no sound upstream would make this report. Another program's report could
// otherwise keep the upstream's own ones from being accepted, or take over its address.
func (u Upstream) Validate(now time.Time) error {
	if err := u.Process().Validate(now); err != nil {
		return err
	}
	reason := ""
	switch {
	case u.Addr.Port() == 0 || u.Addr.Addr().IsUnspecified() || u.Addr.Addr().IsMulticast() || u.Addr.Addr().Zone() != "":
		reason = "no upstream can be reached at " + u.Addr.String()
	case u.Slots < 0 || u.Slots > math.MaxInt32:
		reason = "its number of slots is negative or too large"
	case u.Sequence > maxNumber:
		reason = "its sequence is too large"
	case slices.ContainsFunc(u.Weights, func(w coltsweights.Weights) bool { return w.Number > maxNumber }):
		reason = "a weights version is too large"
	default:
		return nil
	}
	return &InvalidError{ID: u.ID, Reason: reason}
}

// mergeWeights returns the weights of the report. If known comes from the same process,
// it keeps the higher number of each model: the report may have been written before a
// load finished, so its number can be lower than the known one.
func (u Upstream) mergeWeights(known Upstream) []coltsweights.Weights {
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

// mergeState returns the state of the report. A process whose start is known never goes back to an earlier
// state: the report may have been written before it told its callers that it is leaving.
func (u Upstream) mergeState(known Upstream) State {
	if u.StartedAt.IsZero() || !u.StartedAt.Equal(known.StartedAt) {
		return u.State
	}
	return max(u.State, known.State)
}

// Process identifies one process of an upstream.
type Process struct {
	ID        coltsidentity.Upstream
	StartedAt time.Time
}

// Validate returns an InvalidError if no sound upstream would name this process.
func (p Process) Validate(now time.Time) error {
	switch {
	case p.ID == "" || len(p.ID) > maxIDBytes || !utf8.ValidString(string(p.ID)):
		return &InvalidError{ID: p.ID, Reason: "its ID is empty, too long or no text"}
	case p.StartedAt.After(now.Add(maxClockLead)):
		return &InvalidError{ID: p.ID, Reason: "its process has not started yet"}
	}
	return nil
}

// Process returns the process that the report is about.
func (u Upstream) Process() Process { return Process{ID: u.ID, StartedAt: u.StartedAt} }

// Entry is what the registry knows about an upstream.
type Entry struct {
	Upstream Upstream
	// Silent is true if the upstream's heartbeats are overdue. The upstream may still be
	// working.
	Silent bool
	// Loading is true while the upstream loads weights. It starts no new requests during
	// that time.
	Loading bool
	// Revision is the registry revision of the entry's latest change.
	Revision uint64
}

// changedBy reports whether a report that arrives at now changes the entry.
func (e Entry) changedBy(u Upstream, now time.Time) bool {
	known := e.Upstream
	return e.Silent || known.State != u.State || known.Addr != u.Addr || known.Service != u.Service ||
		known.Slots != u.Slots || !known.StartedAt.Equal(u.StartedAt) || !slices.Equal(known.Weights, u.Weights) ||
		coldChanged(known.ColdUntil, u.ColdUntil, now)
}

// StaleError is returned for a report that is older than what the registry knows.
type StaleError struct {
	ID     coltsidentity.Upstream
	Reason string
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("report of %s is out of date: %s", e.ID, e.Reason)
}
