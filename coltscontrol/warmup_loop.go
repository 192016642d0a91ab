package coltscontrol

// Upstreams that are cold get only requests for which the leader has dealt a permit. The route table says which
// services limit them; coltswarmup decides who gets permits, and they are dealt with the replies to entries.

import (
	"context"
	"sync/atomic"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltswarmup"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
)

// warmup deals the permits.
type warmup struct {
	c      *Control
	dealer *coltswarmup.Dealer
	// limits holds how many requests in a second a cold process of each service may get. It is replaced
	// as a whole.
	limits atomic.Pointer[map[coltsidentity.Service]int]
	// known holds the upstreams that were cold at the last sweep. Only the registry's loop uses it.
	known map[coltsidentity.Upstream]bool
}

func newWarmup(c *Control) *warmup {
	w := &warmup{c: c, dealer: coltswarmup.NewDealer(), known: map[coltsidentity.Upstream]bool{}}
	w.limits.Store(&map[coltsidentity.Service]int{})
	return w
}

// followRoutes applies each route table that comes into force, until ctx ends. It has a loop of its own
// because decoding a large table takes long.
func (w *warmup) followRoutes(ctx context.Context) {
	version := coltsroute.Version(0)
	for ctx.Err() == nil {
		changed := w.c.watchChanged.Channel()
		if encoded := w.c.routes.Load(); encoded.Version != version {
			version = encoded.Version
			w.apply(*encoded)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (w *warmup) apply(encoded coltsroute.EncodedTable) {
	if summary, err := w.c.summarise(encoded); err == nil {
		w.limits.Store(&summary.coldLimits)
		w.c.registry.SetColdDurations(summary.coldDurations)
	}
}

// addPermits adds the permits for the asker to a reply that is about to be sent.
func (w *warmup) addPermits(r *coltspb.WatchRequest, reply *coltspb.WatchReply) *coltspb.WatchReply {
	limits, v := *w.limits.Load(), w.c.driver.view.Load()
	if len(limits) == 0 || !reply.GetLeads() || r.GetMember() == nil || !v.isLeader {
		return reply
	}
	now := w.c.cfg.Now()
	var cold []coltswarmup.Cold
	for _, u := range w.c.registry.Cold(now) {
		if limit := limits[u.Service]; limit > 0 {
			cold = append(cold, coltswarmup.Cold{Process: u.Process(), Limit: limit})
		}
	}
	// Groups that form from seeds use no leader leases. But the last round that a quorum acknowledged to a
	// predecessor was sent before that quorum elected this instance, and the predecessor deals for less than an
	// election timeout after it.
	lease := coltswarmup.Lease{Since: v.leaderSince.Add(electionTimeout), Until: v.confirmedUntil}
	dealt := w.dealer.Deal(coltsidentity.Instance(r.GetMember().GetId()), cold, lease, now)
	reply.ColdPermits = coltswire.EncodeColdPermits(dealt)
	w.c.metrics.Add(coltsmetric.ColdPermits, int64(len(dealt)))
	return reply
}

// sweep logs which upstreams have become cold or warm.
func (w *warmup) sweep() {
	now := w.c.cfg.Now()
	w.dealer.Sweep(now)
	cold := map[coltsidentity.Upstream]bool{}
	for _, u := range w.c.registry.Cold(now) {
		cold[u.ID] = true
		if !w.known[u.ID] {
			w.c.log.Info("An upstream is cold.", coltslog.Fields{
				"upstream": u.ID, "address": u.Addr, "started": u.StartedAt, "cold-ms": u.ColdUntil.Sub(now).Milliseconds(),
			})
		}
	}
	for id := range w.known {
		if e, known := w.c.registry.Find(id); known && !cold[id] && !e.Upstream.IsCold(now) {
			w.c.log.Info("An upstream is warm.", coltslog.Fields{"upstream": id, "address": e.Upstream.Addr})
		}
	}
	w.known = cold
	w.c.metrics.Put(coltsmetric.ColdUpstreams, int64(len(cold)))
}

// forget forgets which upstreams were cold, when this instance no longer leads.
func (w *warmup) forget() {
	clear(w.known)
	w.c.metrics.Put(coltsmetric.ColdUpstreams, 0)
}
