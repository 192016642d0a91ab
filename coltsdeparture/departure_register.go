// Package coltsdeparture is the aggregate of departures: the processes of upstreams that have said that
// they are draining or have left.
package coltsdeparture

// What upstreams report is kept in memory and saved every quarter of a second, because each reports again
// within a second. A departure is reported once, and its acknowledgement says that no new request is sent:
// so departures are part of the replicated state. The same departures in the same sequence leave the same
// register in every replica, so it reads no clock and drops entries only when it takes a departure. It is
// not divided into shards: it is written when upstreams leave, and requests do not read it.

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
)

const (
	// retention is how long a departure is kept. After that no instance lists the process any more, or its
	// state is long saved.
	retention = 10 * time.Minute
	// maxDepartures bounds the register; the oldest departures are dropped.
	maxDepartures = 4096
	// maxUnlisted is how many departures there may be for one of a process that the registry does not list to be
	// taken. Whoever names invented processes then drops no departure of a real one.
	maxUnlisted = maxDepartures / 2
)

// Departure is a process that is draining or has left.
type Departure struct {
	Process coltsregistry.Process
	State   coltsregistry.State
	// At is when the process reached the state, by the time of the log.
	At time.Time
}

// State is the content of a register.
type State struct {
	// Revision is the number of departures that changed something.
	Revision uint64
	// Departures are sorted by time.
	Departures []Departure
}

// Register holds the departures. It is safe for concurrent use.
type Register struct {
	mu    sync.Mutex
	state State
	// states holds the state of each process in state, because each report of an upstream looks it up.
	states map[processKey]coltsregistry.State
}

// processKey identifies a process. Equal times may differ as values.
type processKey struct {
	id        coltsidentity.Upstream
	startedAt int64
}

func keyOf(p coltsregistry.Process) processKey { return processKey{p.ID, p.StartedAt.UnixNano()} }

// NewRegister returns an empty register.
func NewRegister() *Register { return &Register{} }

// Apply records a departure that takes effect at a time. It changes nothing if the process is known to have
// reached the state, or if the departure does not say which process it is about.
func (r *Register) Apply(d Departure, at time.Time) {
	if d.Process.ID == "" || d.Process.StartedAt.IsZero() || d.State == coltsregistry.StateReady {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.states[keyOf(d.Process)] >= d.State {
		return
	}
	d.At = at
	// The state is replaced and not changed, because Current has given it to others.
	kept := slices.DeleteFunc(slices.Clone(r.state.Departures), func(k Departure) bool {
		return keyOf(k.Process) == keyOf(d.Process) || at.Sub(k.At) > retention
	})
	kept = append(kept, d)
	slices.SortStableFunc(kept, func(a, b Departure) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process.ID, b.Process.ID))
	})
	r.set(State{Revision: r.state.Revision + 1, Departures: kept[max(0, len(kept)-maxDepartures):]})
}

// set replaces the state. The caller must hold the lock.
func (r *Register) set(s State) {
	r.state, r.states = s, make(map[processKey]coltsregistry.State, len(s.Departures))
	for _, d := range s.Departures {
		r.states[keyOf(d.Process)] = d.State
	}
}

// StateOf returns the state that a process is known to have reached, StateReady if there is none.
func (r *Register) StateOf(p coltsregistry.Process) coltsregistry.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.states[keyOf(p)]
}

// HasRoom reports whether the departure of a process that the registry does not list may be committed now.
func (r *Register) HasRoom(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	departures := r.state.Departures
	return len(departures) < maxUnlisted || now.Sub(departures[len(departures)-maxUnlisted].At) > retention
}

// Current returns the register's state, which the caller must not change.
func (r *Register) Current() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Import replaces the register's state.
func (r *Register) Import(s State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set(s)
}
