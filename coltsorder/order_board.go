// Package coltsorder is the aggregate of orders to runners: which weight versions
// they are told to load and unload, by whom, and how many at once.
package coltsorder

// The document says which versions a model has; runners are brought there one by
// one. A version is loaded beside the ones that a runner has, and taken away only
// when the document no longer lists it, so that a swap of versions is three
// reviewed changes (add the new one, make it current, drop the old one) with
// runners able to serve at every moment.

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
	// OrderTimeout bounds an order from its sending to its answer. Whoever holds
	// the next lease waits it out.
	OrderTimeout = 2 * time.Second
	// retryAfter is the pause after an order that failed.
	retryAfter = 3 * time.Second
)

// FencingToken is the number of a lease; it rises with each holder.
type FencingToken uint64

// Kind says what an order does.
type Kind string

// The kinds of order.
const (
	KindLoad   Kind = "load"
	KindUnload Kind = "unload"
)

// Order tells a runner to do something.
type Order struct {
	Upstream coltsidentity.Upstream
	Addr     netip.AddrPort
	Kind     Kind
	ModelVersion  coltsfleet.ModelVersion
	FencingToken    FencingToken
	// Deadline is when the order is given up; it lies within the lease.
	Deadline time.Time
}

// Lease is the right to give orders.
type Lease struct {
	FencingToken FencingToken
	// NotBefore is when the orders of earlier holders have ended for certain.
	NotBefore time.Time
	// Until is when the holder stops; the clock's margin is taken off already.
	Until time.Time
}

// Allows says whether orders may be given that end by a time.
func (l Lease) Allows(now, endBy time.Time) bool {
	return l.FencingToken > 0 && !now.Before(l.NotBefore) && endBy.Before(l.Until)
}

// Planner plans orders and keeps those under way. It is used by one goroutine.
type Planner struct {
	maxLoading int
	underWay   map[coltsidentity.Upstream]Order
	// restUntil is until when a runner whose order failed is left alone.
	restUntil map[coltsidentity.Upstream]time.Time
}

// Config says how a board plans.
type Config struct {
	// MaxLoading bounds the runners that load at once.
	MaxLoading int
}

// NewBoard returns a board on which nothing is under way.
func NewBoard(cfg Config) *Planner {
	return &Planner{
		maxLoading: cfg.MaxLoading,
		underWay:   map[coltsidentity.Upstream]Order{},
		restUntil:  map[coltsidentity.Upstream]time.Time{},
	}
}

// Plan returns the orders to give now and counts them as under way.
func (b *Planner) Plan(runners []coltsfleet.Announcement, d coltsdocument.Document, lease Lease, now time.Time) []Order {
	b.expire(now)
	deadline := now.Add(OrderTimeout)
	if !lease.Allows(now, deadline) {
		return nil
	}
	slices.SortFunc(runners, func(x, y coltsfleet.Announcement) int { return cmp.Compare(x.ID, y.ID) })
	var orders []Order
	for _, r := range runners {
		if len(b.underWay) >= b.maxLoading {
			break
		}
		order, wanted := b.next(r, d, now)
		if !wanted {
			continue
		}
		order.FencingToken = lease.FencingToken
		order.Deadline = deadline
		b.underWay[r.ID] = order
		orders = append(orders, order)
	}
	return orders
}

// expire forgets orders whose answer never came.
func (b *Planner) expire(now time.Time) {
	for id, order := range b.underWay {
		if !now.Before(order.Deadline) {
			b.RecordResult(id, false, now)
		}
	}
}

// next returns the next order for a runner, if there is one: loads come first.
func (b *Planner) next(r coltsfleet.Announcement, d coltsdocument.Document, now time.Time) (Order, bool) {
	if r.Kind != coltsdocument.KindRunner || r.Leaving || d.IsDraining(r.ID) {
		return Order{}, false
	}
	if _, busy := b.underWay[r.ID]; busy || now.Before(b.restUntil[r.ID]) {
		return Order{}, false
	}
	order := Order{Upstream: r.ID, Addr: r.Addr}
	for _, wanted := range wantedOf(r, d) {
		if !r.Serves(wanted) {
			order.Kind, order.ModelVersion = KindLoad, wanted
			return order, true
		}
	}
	for _, has := range r.Serving {
		if !isListed(has, d) {
			order.Kind, order.ModelVersion = KindUnload, has
			return order, true
		}
	}
	return Order{}, false
}

// wantedOf returns every listed version of the models that a runner serves.
func wantedOf(r coltsfleet.Announcement, d coltsdocument.Document) []coltsfleet.ModelVersion {
	var wanted []coltsfleet.ModelVersion
	seen := map[coltsidentity.Model]bool{}
	for _, has := range r.Serving {
		model, known := d.FindModel(has.Model)
		if !known || seen[has.Model] {
			continue
		}
		seen[has.Model] = true
		for _, version := range model.Versions {
			wanted = append(wanted, coltsfleet.ModelVersion{Model: model.ID, Version: version})
		}
	}
	return wanted
}

// isListed says whether the document lists a version. Versions of models that it
// does not know are left alone: an empty document must not empty the runners.
func isListed(s coltsfleet.ModelVersion, d coltsdocument.Document) bool {
	model, known := d.FindModel(s.Model)
	return !known || slices.Contains(model.Versions, s.Version)
}

// RecordResult takes in that an order has ended.
func (b *Planner) RecordResult(id coltsidentity.Upstream, carriedOut bool, now time.Time) {
	delete(b.underWay, id)
	if carriedOut {
		delete(b.restUntil, id)
		return
	}
	b.restUntil[id] = now.Add(retryAfter)
}

// UnderWay returns the number of orders that have not ended.
func (b *Planner) UnderWay() int {
	return len(b.underWay)
}
