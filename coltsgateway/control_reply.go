package coltsgateway

// Applies a reply from control: the route table, the wanted weights, the upstreams, the
// stores, the loads, and which control instance is asked next.

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsstore"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
)

// apply applies a reply.
func (w *controlWatcher) apply(addr netip.AddrPort, reply *coltspb.WatchReply, askedAt time.Time) {
	now := w.g.now()
	w.lastReplyAt.Store(&now)
	if !w.connected {
		w.connected = true
		w.g.log.Info("Connected to control.", coltslog.Fields{"asked": addr, "source": reply.GetSource()})
	}
	// Before the routes and upstreams, so that a gateway that has just started sends nothing to an
	// evacuated data centre.
	w.applyEvacuations(reply, now)
	w.applyRoutes(reply)
	if w.source != reply.GetSource() {
		w.source, w.sourceSince = reply.GetSource(), now
		clear(w.listed)
		w.suspectsRevision = 0
		w.g.poison.Forget()
	}
	w.applyWeights(reply, now, askedAt)
	w.registryRevision = reply.GetRegistryRevision()
	w.applyRegistryEntries(reply, now)
	if n := reply.GetEntryInstances(); n > 0 {
		w.g.instances.Store(int64(n))
	}
	w.applyControlAddrs(addr, reply.GetControls(), reply.GetTerm())
	if reply.GetLeads() {
		if reply.GetStoresComplete() {
			w.applyStores(reply, askedAt)
		}
		w.applyPermits(reply, now, askedAt)
		w.g.balancer.SetPeerLoads(coltswire.DecodeLoads(reply.GetLoads(), now), now)
		w.g.balancer.RecordLoadAge(now.Sub(askedAt))
		imbalance := w.g.balancer.TakeImbalance()
		w.g.metrics.Add(coltsmetric.ChoicesCompared, imbalance.Compared)
		w.g.metrics.Add(coltsmetric.ChoicesOverloaded, imbalance.Overloaded)
		w.g.capacityFreed.Broadcast()
		w.applyPoison(reply, now)
		w.mergeSuspects(reply, now, askedAt)
	} else {
		// This instance keeps no reports, also if it leads again later.
		w.g.poison.Forget()
	}
}

// applyPermits applies the permits for requests to cold upstreams.
func (w *controlWatcher) applyPermits(reply *coltspb.WatchReply, now, askedAt time.Time) {
	permits := coltswire.DecodeColdPermits(reply.GetColdPermits(), askedAt)
	w.g.balancer.SetPermits(permits)
	for _, p := range permits {
		w.g.metrics.Add(coltsmetric.ColdPermits, int64(p.Requests))
	}
	w.g.metrics.Put(coltsmetric.ColdUpstreams, int64(w.g.balancer.ColdUpstreams(now)))
	w.g.metrics.Put(coltsmetric.ColdWaits, w.g.balancer.ColdWaits())
}

// applyStores applies the changes to the store directory, which control knew after askedAt.
func (w *controlWatcher) applyStores(reply *coltspb.WatchReply, askedAt time.Time) {
	delta := coltsstore.Delta{
		Changes:  coltswire.DecodeStoreChanges(reply.GetStores()),
		Position: coltsstore.Position{Revision: reply.GetStoreRevision(), Base: reply.GetStoreBase()},
		IsStart:  reply.GetStoresWhole(), More: reply.GetStoresMore(),
	}
	w.g.stores.Receive(delta, askedAt)
	w.storePosition = delta.Position
	w.g.stores.SetOffers(coltswire.DecodeStoreOffers(reply.GetStoreOffers()))
	if delta.IsStart || delta.More || w.receivingStores {
		w.g.log.Info("Receiving the whole store directory.", coltslog.Fields{
			"parts": w.g.stores.Len(), "more": delta.More, "usable": len(reply.GetUsableStores()), "source": w.source,
		})
	}
	w.receivingStores = delta.More
}

func (w *controlWatcher) applyRoutes(reply *coltspb.WatchReply) {
	encoded := reply.GetRoutes()
	if encoded == nil {
		if !reply.GetUnconfirmed() {
			w.g.routes.Confirm()
		}
		return
	}
	table, err := w.g.dialect.DecodeTable(encoded.GetSource())
	table.CacheGeneration = coltsroute.CacheGeneration(encoded.GetCacheGeneration())
	table.Unconfirmed = reply.GetUnconfirmed()
	if err == nil {
		err = table.Validate()
	}
	if err != nil {
		w.g.log.Error("A route table is invalid; the previous one stays in force.", coltslog.Fields{
			"version": encoded.GetVersion(), "error": err,
		})
		return
	}
	before := w.g.routes.Version()
	if table.Version > before {
		w.g.balancer.SetColdDurations(table.ColdDurations())
	}
	if w.g.routes.Put(table) {
		w.g.routesChanged.Broadcast()
		w.g.metrics.Put(coltsmetric.RoutesVersion, int64(table.Version))
		w.g.log.Info("A route table is in force.", coltslog.Fields{
			"version": table.Version, "before": before, "routes": len(table.Routes), "organisations": len(table.Organisations),
			"cache-generation": table.CacheGeneration,
		})
	}
}

// applyWeights applies the named weights versions. Control answered after askedAt, so a version was named no earlier than
// its age before that, and no later than its age before now. The latter corrects the time of a version that is known: while
// this machine was frozen its clock may have stood still.
func (w *controlWatcher) applyWeights(reply *coltspb.WatchReply, now, askedAt time.Time) {
	changed := reply.GetWeightsRevision() != w.weightsRevision
	w.weightsRevision = reply.GetWeightsRevision()
	for i, n := range coltswire.DecodeNamedVersions(reply.GetWeights()) {
		heardAt := now
		if changed || n.Number > w.g.weights.Wanted(n.Model).Number {
			heardAt = askedAt
		}
		n.NamedAt = heardAt.Add(-time.Duration(reply.GetWeights()[i].GetAgeNanos()))
		if w.g.weights.SetNamed(n) {
			w.g.log.Info("The wanted weights version of a model changed.", coltslog.Fields{
				"model": n.Model, "number": n.Number,
			})
		}
	}
}

// applyRegistryEntries applies changes to the registry. Upstreams that are missing from the
// registry are forgotten only once it has been followed for forgetGrace, which gives each of them
// time to report to it.
func (w *controlWatcher) applyRegistryEntries(reply *coltspb.WatchReply, now time.Time) {
	for _, e := range coltswire.DecodeRegistryEntries(reply.GetEntries(), now) {
		w.listed[e.Upstream.ID] = time.Time{}
		if e.Upstream.State == coltsregistry.StateGone {
			// The registry says nothing when it drops an upstream. A control instance that is behind does not
			// add this one again until then.
			w.listed[e.Upstream.ID] = now.Add(coltsregistry.RetentionPeriod)
		}
		w.g.balancer.Update(e)
		w.g.log.Info("An upstream changed.", coltslog.Fields{
			"upstream": e.Upstream.ID, "service": e.Upstream.Service, "address": e.Upstream.Addr,
			"state": e.Upstream.State.String(), "silent": e.Silent, "sequence": e.Upstream.Sequence,
			"weights": e.Upstream.Weights, "source": w.source,
		})
	}
	if len(reply.GetEntries()) > 0 && now.Sub(w.sourceSince) > forgetGrace {
		maps.DeleteFunc(w.listed, func(_ coltsidentity.Upstream, keptUntil time.Time) bool {
			return !keptUntil.IsZero() && now.After(keptUntil)
		})
		w.g.balancer.Forget(func(id coltsidentity.Upstream) bool {
			_, listed := w.listed[id]
			return listed
		})
	}
	w.g.metrics.Put(coltsmetric.Upstreams, int64(len(w.listed)))
}

// applyControlAddrs updates the addresses of the control group and selects its leader to be asked
// next, unless the leader is being avoided.
func (w *controlWatcher) applyControlAddrs(askedAddr netip.AddrPort, texts []string, term uint64) {
	var addrs []netip.AddrPort
	for _, text := range texts {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			w.g.log.Warn("Control sent an invalid address.", coltslog.Fields{"address": text, "error": err})
			continue
		}
		addrs = append(addrs, addr)
	}
	if len(addrs) == 0 {
		return
	}
	w.controls = addrs
	leader := w.client(addrs[0])
	w.leader.Store(&leader)
	if term > w.term {
		w.term = term
		delete(w.avoidUntil, addrs[0])
	}
	w.next = max(0, slices.Index(addrs, askedAddr))
	if !w.g.now().Before(w.avoidUntil[addrs[0]]) {
		w.next = 0
	}
}
