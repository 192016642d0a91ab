// Package coltsevacuation is the aggregate of evacuations: the data centres to whose upstreams
// operators have ordered to send nothing more.
package coltsevacuation

// The register is part of the replicated state: the same orders in the same sequence leave the same
// register in every replica, so it reads no clock and drops entries only when it takes an order. It is
// not divided into shards: it is written a few times a day, and requests do not read it.

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
	"unicode"
	"unicode/utf8"

	"coltsfootstall/coltsidentity"
)

const (
	// maxDataCentres bounds the register: it is sent whole to every gateway.
	maxDataCentres = 64
	// maxNameBytes bounds the name of a data centre.
	maxNameBytes = 128
)

// Order begins or ends the evacuation of a data centre.
type Order struct {
	DataCentre coltsidentity.DataCentre
	Ends       bool
}

// Validate returns an *InvalidError if no data centre can have the order's name, otherwise nil.
func (o Order) Validate() error {
	name := string(o.DataCentre)
	switch {
	case name == "":
		return &InvalidError{Reason: "the name of the data centre is empty"}
	case len(name) > maxNameBytes:
		return &InvalidError{Reason: fmt.Sprintf("the name of the data centre has %d bytes, more than %d", len(name), maxNameBytes)}
	case !utf8.ValidString(name):
		return &InvalidError{Reason: "the name of the data centre is not valid UTF-8"}
	case strings.ContainsFunc(name, unicode.IsControl):
		return &InvalidError{Reason: "the name of the data centre has control characters"}
	}
	return nil
}

// InvalidError reports that an order can't be carried out, now or when it is sent again.
type InvalidError struct {
	// DataCentre is the data centre of the order; empty if its name is invalid.
	DataCentre coltsidentity.DataCentre
	Reason     string
}

// Error returns the reason.
func (e *InvalidError) Error() string {
	if e.DataCentre == "" {
		return e.Reason
	}
	return fmt.Sprintf("data centre %q: %s", e.DataCentre, e.Reason)
}

// Evacuation is the state of a data centre whose evacuation has begun, and perhaps ended.
type Evacuation struct {
	DataCentre coltsidentity.DataCentre
	Ended      bool
	// ChangedAt is when the newest order that changed something took effect.
	ChangedAt time.Time
}

// State is the content of a register.
type State struct {
	// Revision is the number of orders that changed something.
	Revision uint64
	// Evacuations are sorted by data centre.
	Evacuations []Evacuation
}

// Evacuated returns the data centres that are evacuated, sorted.
func (s State) Evacuated() []coltsidentity.DataCentre {
	var evacuated []coltsidentity.DataCentre
	for _, e := range s.Evacuations {
		if !e.Ended {
			evacuated = append(evacuated, e.DataCentre)
		}
	}
	return evacuated
}

// find returns the evacuation of a data centre and whether there is one.
func (s State) find(dc coltsidentity.DataCentre) (Evacuation, bool) {
	i := slices.IndexFunc(s.Evacuations, func(e Evacuation) bool { return e.DataCentre == dc })
	if i < 0 {
		return Evacuation{}, false
	}
	return s.Evacuations[i], true
}

// Register holds the evacuations. It is safe for concurrent use.
type Register struct {
	mu    sync.Mutex
	state State
}

// NewRegister returns an empty register.
func NewRegister() *Register { return &Register{} }

// Apply carries out an order that takes effect at a time. A start for an evacuated data centre and an
// end for one that is not evacuated change nothing. It returns an *InvalidError, and changes nothing,
// for an invalid name and for a start while maxDataCentres are evacuated.
func (r *Register) Apply(o Order, at time.Time) error {
	if err := o.Validate(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.state.find(o.DataCentre)
	isEvacuated := found && !known.Ended
	if isEvacuated != o.Ends {
		return nil
	}
	if !o.Ends && len(r.state.Evacuated()) >= maxDataCentres {
		return &InvalidError{DataCentre: o.DataCentre, Reason: fmt.Sprintf("%d data centres are evacuated already", maxDataCentres)}
	}
	// The state is replaced and not changed, because Current has given it to others.
	kept := slices.DeleteFunc(slices.Clone(r.state.Evacuations), func(e Evacuation) bool { return e.DataCentre == o.DataCentre })
	kept = append(withoutOldest(kept), Evacuation{DataCentre: o.DataCentre, Ended: o.Ends, ChangedAt: at})
	slices.SortFunc(kept, func(a, b Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	r.state = State{Revision: r.state.Revision + 1, Evacuations: kept}
	return nil
}

// withoutOldest returns the evacuations without the one that ended longest ago if there is no place for
// another. Its end may be a short time ago, which costs only that gateways without contact at that time
// take it to have ended later: an order is not refused for that.
func withoutOldest(evacuations []Evacuation) []Evacuation {
	if len(evacuations) < maxDataCentres {
		return evacuations
	}
	oldest := -1
	for i, e := range evacuations {
		if e.Ended && (oldest < 0 || e.ChangedAt.Before(evacuations[oldest].ChangedAt)) {
			oldest = i
		}
	}
	if oldest < 0 {
		return evacuations
	}
	return slices.Delete(evacuations, oldest, oldest+1)
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
	r.state = s
}
