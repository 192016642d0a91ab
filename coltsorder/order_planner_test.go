package coltsorder

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsidentity"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func document(versions ...coltsidentity.Version) coltsdocument.Document {
	var d coltsdocument.Document
	d.Sections.Models = []coltsdocument.Model{{ID: "writer", Current: versions[0], Versions: versions}}
	return d
}

func runners(n int, versions ...coltsidentity.Version) []coltsfleet.Announcement {
	var list []coltsfleet.Announcement
	for i := range n {
		a := coltsfleet.Announcement{ID: coltsidentity.Upstream(fmt.Sprintf("runner-%d", i)), Kind: coltsdocument.KindRunner}
		for _, v := range versions {
			a.Serving = append(a.Serving, coltsfleet.ModelVersion{Model: "writer", Version: v})
		}
		list = append(list, a)
	}
	return list
}

func lease() Lease {
	return Lease{Fence: 7, NotBefore: start, Until: start.Add(time.Minute)}
}

// assertOrders asserts that orders contains n orders, all of one kind and version.
func assertOrders(t *testing.T, orders []Order, n int, kind Kind, version coltsidentity.Version) {
	t.Helper()
	assert.Equal(t, len(orders), n)
	for _, o := range orders {
		assert.Equal(t, o.Kind, kind)
		assert.Equal(t, o.ModelVersion.Version, version)
		assert.Equal(t, o.Fence, Fence(7))
	}
}

func TestBoard(t *testing.T) {
	t.Run("the number of orders under way is limited", func(t *testing.T) {
		p := NewBoard(Config{MaxLoading: 3})
		fleet := runners(18, "w1")
		orders := p.Plan(fleet, document("w1", "w2"), lease(), start)
		assertOrders(t, orders, 3, KindLoad, "w2")
		assertOrders(t, p.Plan(fleet, document("w1", "w2"), lease(), start), 0, KindLoad, "w2")
		p.Done(orders[0].Upstream, false, start)
		next := p.Plan(fleet, document("w1", "w2"), lease(), start)
		assertOrders(t, next, 1, KindLoad, "w2")
		assert.Assert(t, next[0].Upstream != orders[0].Upstream, "a runner whose order failed is not retried yet")
	})
	t.Run("a version that is no longer listed is unloaded after the loads", func(t *testing.T) {
		p := NewBoard(Config{MaxLoading: 1})
		assertOrders(t, p.Plan(runners(1, "w1"), document("w2"), lease(), start), 1, KindLoad, "w2")
		p = NewBoard(Config{MaxLoading: 1})
		assertOrders(t, p.Plan(runners(1, "w1", "w2"), document("w2"), lease(), start), 1, KindUnload, "w1")
	})
	t.Run("a model that is not in the document stays loaded", func(t *testing.T) {
		p := NewBoard(Config{MaxLoading: 1})
		assertOrders(t, p.Plan(runners(1, "w1"), coltsdocument.Document{}, lease(), start), 0, KindUnload, "w1")
	})
	t.Run("no order is planned without a valid lease", func(t *testing.T) {
		for _, l := range []Lease{
			{},
			{Fence: 7, NotBefore: start.Add(time.Second), Until: start.Add(time.Minute)},
			{Fence: 7, NotBefore: start, Until: start.Add(OrderTimeout)},
		} {
			p := NewBoard(Config{MaxLoading: 1})
			assertOrders(t, p.Plan(runners(1, "w1"), document("w1", "w2"), l, start), 0, KindLoad, "w2")
		}
	})
	t.Run("an order without a response times out and is retried", func(t *testing.T) {
		p := NewBoard(Config{MaxLoading: 1})
		fleet := runners(1, "w1")
		p.Plan(fleet, document("w1", "w2"), lease(), start)
		assertOrders(t, p.Plan(fleet, document("w1", "w2"), lease(), start.Add(OrderTimeout)), 0, KindLoad, "w2")
		again := start.Add(OrderTimeout + retryDelay)
		assertOrders(t, p.Plan(fleet, document("w1", "w2"), lease(), again), 1, KindLoad, "w2")
	})
}
