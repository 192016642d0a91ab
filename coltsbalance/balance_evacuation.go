package coltsbalance

// While a data centre is evacuated, its upstreams are chosen for no request, whether it is new, queued,
// retried or resumed, and a request whose upstream was chosen before is checked again before it is sent.
// The set is replaced as a whole a few times a day and read with each choice, so it is not locked.

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"coltsfootstall/coltsidentity"
)

// evacuations is the set of evacuated data centres.
type evacuations map[coltsidentity.DataCentre]bool

// EvacuatedError reports that the upstreams of a service that could serve a request otherwise are all in
// evacuated data centres.
type EvacuatedError struct {
	Service coltsidentity.Service
	// DataCentres are the evacuated data centres in which they are, sorted, and Upstreams is their
	// number.
	DataCentres []coltsidentity.DataCentre
	Upstreams   int
}

// Error returns the service, the number of its upstreams and the evacuated data centres.
func (e *EvacuatedError) Error() string {
	names := make([]string, 0, len(e.DataCentres))
	for _, dc := range e.DataCentres {
		names = append(names, fmt.Sprintf("%q", string(dc)))
	}
	return fmt.Sprintf("service %q has no usable upstream outside evacuated data centres (%d in %s)",
		e.Service, e.Upstreams, strings.Join(names, ", "))
}

// SetEvacuations sets the data centres that are evacuated.
func (b *Balancer) SetEvacuations(evacuated []coltsidentity.DataCentre) {
	if len(evacuated) == 0 {
		b.evacuated.Store(nil)
		return
	}
	set := make(evacuations, len(evacuated))
	for _, dc := range evacuated {
		set[dc] = true
	}
	b.evacuated.Store(&set)
}

// isEvacuated reports whether a data centre is evacuated.
func (b *Balancer) isEvacuated(dc coltsidentity.DataCentre) bool {
	set := b.evacuated.Load()
	return set != nil && (*set)[dc]
}

// evacuatedError returns an *EvacuatedError if the demand could be served in an evacuated data centre,
// otherwise nil. The caller has found no upstream elsewhere.
func (b *Balancer) evacuatedError(d Demand, now time.Time) error {
	if b.evacuated.Load() == nil {
		return nil
	}
	e := &EvacuatedError{Service: d.Service}
	b.each(func(u *upstream) {
		dc := u.record.DataCentre
		if u.record.Service != d.Service || !b.isEvacuated(dc) || u.unsuitable(d, now) != ExclusionNone {
			return
		}
		e.Upstreams++
		if !slices.Contains(e.DataCentres, dc) {
			e.DataCentres = append(e.DataCentres, dc)
		}
	})
	if e.Upstreams == 0 {
		return nil
	}
	slices.Sort(e.DataCentres)
	return e
}
