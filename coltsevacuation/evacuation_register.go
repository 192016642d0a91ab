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

// OrderNumber numbers the orders that a register has taken, from 1.
type OrderNumber uint64

// Order begins or ends the evacuation of a data centre.
type Order struct {
	DataCentre coltsidentity.DataCentre
	Ends       bool
	// After is the newest order that had been taken when the sender was last known to wait for this one.
	// A copy that arrives after a newer order for the data centre is refused. It is nil in orders of
	// earlier releases, which are carried out however late they arrive.
	After *OrderNumber
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

// SupersededError reports that an order was not carried out because another one for its data centre may
// have been confirmed since its sender waited for it.
type SupersededError struct {
	DataCentre coltsidentity.DataCentre
	// Newest is the newest order that the register has taken.
	Newest OrderNumber
}

// Error names the data centre and the number of the newest order.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("data centre %q: a newer order was taken, at the latest number %d", e.DataCentre, e.Newest)
}

// Evacuation is the state of a data centre whose evacuation has begun, and perhaps ended.
type Evacuation struct {
	DataCentre coltsidentity.DataCentre
	Ended      bool
	// ChangedAt is when the newest order that changed something took effect.
	ChangedAt time.Time
	// Order is the newest order for the data centre.
	Order OrderNumber
}

// State is the content of a register.
type State struct {
	// Revision is the number of orders that changed something.
	Revision uint64
	// Evacuations are sorted by data centre.
	Evacuations []Evacuation
	// Newest is the newest order, which may have changed nothing. NewestUnlisted is the newest one for a
	// data centre that Evacuations doesn't list.
	Newest         OrderNumber
	NewestUnlisted OrderNumber
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
// end for one that is not evacuated change nothing but the number of orders. It returns an *InvalidError,
// and changes nothing, for an invalid name and for a start while maxDataCentres are evacuated, and a
// *SupersededError if a newer order for the data centre was taken than the sender can know.
func (r *Register) Apply(o Order, at time.Time) error {
	if err := o.Validate(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.state; o.After != nil && (*o.After < s.newestOrderFor(o.DataCentre) || *o.After > s.Newest) {
		return &SupersededError{DataCentre: o.DataCentre, Newest: s.Newest}
	}
	known, found := r.state.find(o.DataCentre)
	changed := known
	changed.DataCentre, changed.Order = o.DataCentre, r.state.Newest+1
	isEvacuated := found && !known.Ended
	switch {
	case isEvacuated != o.Ends && !found:
		r.state.Newest, r.state.NewestUnlisted = changed.Order, changed.Order
	case isEvacuated != o.Ends:
		r.state = r.state.with(changed)
	case !o.Ends && len(r.state.Evacuated()) >= maxDataCentres:
		return &InvalidError{DataCentre: o.DataCentre, Reason: fmt.Sprintf("%d data centres are evacuated already", maxDataCentres)}
	default:
		changed.Ended, changed.ChangedAt = o.Ends, at
		r.state = r.state.with(changed)
		r.state.Revision++
	}
	return nil
}

// newestOrderFor returns the newest order that may have been taken for a data centre.
func (s State) newestOrderFor(dc coltsidentity.DataCentre) OrderNumber {
	if known, found := s.find(dc); found {
		return known.Order
	}
	return s.NewestUnlisted
}

// with returns the state with the newest order and what it has changed. The evacuations are copied,
// because Current has given them to others.
func (s State) with(e Evacuation) State {
	kept := slices.DeleteFunc(slices.Clone(s.Evacuations), func(k Evacuation) bool { return k.DataCentre == e.DataCentre })
	kept, dropped := withoutOldest(kept)
	s.Newest, s.NewestUnlisted = e.Order, max(s.NewestUnlisted, dropped.Order)
	s.Evacuations = append(kept, e)
	slices.SortFunc(s.Evacuations, func(a, b Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return s
}

// withoutOldest returns the evacuations without the one that ended longest ago if there is no place for
// another, and the one that was dropped. Its end may be a short time ago, which costs only that gateways
// without contact at that time take it to have ended later: an order is not refused for that.
func withoutOldest(evacuations []Evacuation) (kept []Evacuation, dropped Evacuation) {
	if len(evacuations) < maxDataCentres {
		return evacuations, Evacuation{}
	}
	oldest := -1
	for i, e := range evacuations {
		if e.Ended && (oldest < 0 || e.ChangedAt.Before(evacuations[oldest].ChangedAt)) {
			oldest = i
		}
	}
	if oldest < 0 {
		return evacuations, Evacuation{}
	}
	dropped = evacuations[oldest]
	return slices.Delete(evacuations, oldest, oldest+1), dropped
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
