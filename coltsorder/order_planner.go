// Package coltsorder is the aggregate of orders to runners. It decides which weight
// versions runners are told to load and unload, by which lease holder, and how many
// orders may be under way at once.
package coltsorder

// The document lists the versions of each model, and runners are reconciled with it
// one step at a time. A new version is loaded next to the versions that a runner
// already has, and a version is unloaded only once the document no longer lists it.
// Replacing a version therefore takes three reviewed changes (add the new version,
// make it current, remove the old one), and runners can serve throughout.

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsidentity"
)

const (
	// OrderTimeout limits the time from sending an order to its response. The holder of
	// the next lease waits for this time before it sends orders.
	OrderTimeout = 2 * time.Second
	// retryDelay is how long a runner gets no order after a failed one.
	retryDelay = 3 * time.Second
)

// FencingToken is the number of a lease, which increases with each holder.
type FencingToken uint64

// Kind is the kind of an order.
type Kind string

// The kinds of orders.
const (
	KindLoad   Kind = "load"
	KindUnload Kind = "unload"
)

// Order tells a runner to load or unload a model version.
type Order struct {
	Upstream coltsidentity.Upstream
	Addr     netip.AddrPort
	Kind     Kind
	// ModelVersion is the model version to load or unload.
	ModelVersion coltsfleet.ModelVersion
	FencingToken FencingToken
	// Deadline is when the order times out, always before the end of the lease.
	Deadline time.Time
}

// Lease is the exclusive right to send orders. The zero value allows no orders.
type Lease struct {
	FencingToken FencingToken
	// NotBefore is the time by which all orders of earlier holders have ended.
	NotBefore time.Time
	// Until is when the holder must stop. The margin for clock error is already
	// subtracted.
	Until time.Time
}

// Allows reports whether the lease allows sending orders now that end by endBy.
func (l Lease) Allows(now, endBy time.Time) bool {
	return l.FencingToken > 0 && !now.Before(l.NotBefore) && endBy.Before(l.Until)
}

// Planner decides which orders to send and tracks those under way. It is not safe for
// concurrent use.
type Planner struct {
	maxLoading int
	// underWay holds the order under way of each runner, at most one.
	underWay map[coltsidentity.Upstream]Order
	// retryAt is, for each runner whose last order failed, the time from which it may
	// get another one.
	retryAt map[coltsidentity.Upstream]time.Time
}

// Config holds the limits for planning orders.
type Config struct {
	// MaxLoading is the maximum number of orders under way at once, both loads and
	// unloads.
	MaxLoading int
}

// NewPlanner returns a planner without orders under way.
func NewPlanner(cfg Config) *Planner {
	return &Planner{
		maxLoading: cfg.MaxLoading,
		underWay:   map[coltsidentity.Upstream]Order{},
		retryAt:    map[coltsidentity.Upstream]time.Time{},
	}
}

// Plan returns the orders to send now and tracks them as under way. It returns nil if
// the lease doesn't allow orders now; otherwise it sorts runners by ID in place.
func (p *Planner) Plan(runners []coltsfleet.Announcement, d coltsdocument.Document, lease Lease, now time.Time) []Order {
	p.expireOverdue(now)
	deadline := now.Add(OrderTimeout)
	if !lease.Allows(now, deadline) {
		return nil
	}
	slices.SortFunc(runners, func(x, y coltsfleet.Announcement) int { return cmp.Compare(x.ID, y.ID) })
	var orders []Order
	for _, r := range runners {
		if len(p.underWay) >= p.maxLoading {
			break
		}
		order, ok := p.nextOrder(r, d, now)
		if !ok {
			continue
		}
		order.FencingToken = lease.FencingToken
		order.Deadline = deadline
		p.underWay[r.ID] = order
		orders = append(orders, order)
	}
	return orders
}

// expireOverdue records orders that got no response by their deadline as failed.
func (p *Planner) expireOverdue(now time.Time) {
	for id, order := range p.underWay {
		if !now.Before(order.Deadline) {
			p.RecordResult(id, false, now)
		}
	}
}

// nextOrder returns the next order for a runner and reports whether there is one.
// Missing versions are loaded before others are unloaded.
func (p *Planner) nextOrder(r coltsfleet.Announcement, d coltsdocument.Document, now time.Time) (Order, bool) {
	if r.Kind != coltsdocument.KindRunner || r.Leaving || d.IsDraining(r.ID) {
		return Order{}, false
	}
	if _, busy := p.underWay[r.ID]; busy || now.Before(p.retryAt[r.ID]) {
		return Order{}, false
	}
	order := Order{Upstream: r.ID, Addr: r.Addr}
	for _, wanted := range listedVersions(r, d) {
		if !r.Serves(wanted) {
			order.Kind, order.ModelVersion = KindLoad, wanted
			return order, true
		}
	}
	for _, loaded := range r.Serving {
		if !mayStayLoaded(loaded, d) {
			order.Kind, order.ModelVersion = KindUnload, loaded
			return order, true
		}
	}
	return Order{}, false
}

// listedVersions returns all versions that the document lists for the models that a
// runner has loaded.
func listedVersions(r coltsfleet.Announcement, d coltsdocument.Document) []coltsfleet.ModelVersion {
	var listed []coltsfleet.ModelVersion
	seen := map[coltsidentity.Model]bool{}
	for _, loaded := range r.Serving {
		model, known := d.FindModel(loaded.Model)
		if !known || seen[loaded.Model] {
			continue
		}
		seen[loaded.Model] = true
		for _, version := range model.Versions {
			listed = append(listed, coltsfleet.ModelVersion{Model: model.ID, Version: version})
		}
	}
	return listed
}

// mayStayLoaded reports whether the document lists a version or doesn't know its
// model. Versions of unknown models stay loaded, so that an empty document doesn't
// unload everything from the runners.
func mayStayLoaded(s coltsfleet.ModelVersion, d coltsdocument.Document) bool {
	model, known := d.FindModel(s.Model)
	return !known || slices.Contains(model.Versions, s.Version)
}

// RecordResult records that the order to a runner has ended.
func (p *Planner) RecordResult(id coltsidentity.Upstream, succeeded bool, now time.Time) {
	delete(p.underWay, id)
	if succeeded {
		delete(p.retryAt, id)
		return
	}
	p.retryAt[id] = now.Add(retryDelay)
}

// UnderWay returns the number of orders that haven't ended.
func (p *Planner) UnderWay() int {
	return len(p.underWay)
}
