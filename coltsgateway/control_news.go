package coltsgateway

// What an answer of control changes here: the route table, the weights that are wanted, the
// upstreams, the stores, the loads, and which instance is asked next.

import (
	"net/netip"
	"slices"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
)

// take takes in an answer.
func (w *controlWatcher) take(addr netip.AddrPort, reply *coltspb.WatchReply) {
	now := w.g.now()
	w.heardAt.Store(&now)
	if !w.inTouch {
		w.inTouch = true
		w.g.log.Info("Control answers.", coltslog.Fields{"asked": addr, "source": reply.GetSource()})
	}
	w.takeRoutes(reply)
	if w.source != reply.GetSource() {
		w.source, w.sourceSince = reply.GetSource(), now
		clear(w.heard)
		clear(w.told)
	}
	if reply.GetWeightsRevision() != w.weights || len(reply.GetWeights()) > 0 {
		w.weights = reply.GetWeightsRevision()
		w.takeWeights(reply)
	}
	w.revision = reply.GetRegistryRevision()
	w.takeEntries(reply, now)
	if n := reply.GetEntryInstances(); n > 0 {
		w.g.instances.Store(int64(n))
	}
	w.takeControls(addr, reply.GetControls(), reply.GetTerm())
	if reply.GetLeads() {
		w.takeStores(reply, now)
		w.g.balancer.SetOthers(coltswire.DecodeLoads(reply.GetLoads()), now)
		w.g.room.Broadcast()
		w.takeSuspects(reply, now)
	}
}

// takeSuspects takes in which requests others saw crash upstreams.
func (w *controlWatcher) takeSuspects(reply *coltspb.WatchReply, now time.Time) {
	for _, m := range reply.GetSuspects() {
		suspect := coltswire.DecodeSuspect(m)
		if w.g.suspects.Merge(suspect, now) {
			w.g.log.Warn("A request is suspected of crashing upstreams.", coltslog.Fields{
				"fingerprint": suspect.Fingerprint, "upstreams": suspect.Upstreams, "source": w.source,
			})
		}
	}
}

// takeStores takes in what may be fetched from stores.
func (w *controlWatcher) takeStores(reply *coltspb.WatchReply, now time.Time) {
	if reply.GetStoresWhole() {
		w.g.stores.Clear()
	}
	for _, change := range coltswire.DecodeStoreChanges(reply.GetStores()) {
		w.g.stores.Apply(change)
	}
	w.stores = reply.GetStoreRevision()
	w.g.stores.Confirm(now)
	if reply.GetStoresWhole() && len(reply.GetStores()) > 0 {
		w.g.log.Info("The stores are known.", coltslog.Fields{"parts": w.g.stores.Len(), "source": w.source})
	}
}

func (w *controlWatcher) takeRoutes(reply *coltspb.WatchReply) {
	text := reply.GetRoutes()
	if text == nil {
		return
	}
	table, err := w.g.dialect.DecodeTable(text.GetSource())
	if err == nil {
		err = table.Validate()
	}
	if err != nil {
		w.g.log.Error("A route table can't be read; the one before stays in force.", coltslog.Fields{
			"version": text.GetVersion(), "error": err,
		})
		return
	}
	before := w.g.routes.Version()
	if w.g.routes.Put(table) {
		w.g.known.Broadcast()
		w.g.metrics.Put(coltsmetric.RoutesVersion, int64(table.Version))
		w.g.log.Info("A route table is in force.", coltslog.Fields{
			"version": table.Version, "before": before, "routes": len(table.Routes), "organisations": len(table.Organisations),
		})
	}
}

func (w *controlWatcher) takeWeights(reply *coltspb.WatchReply) {
	for _, n := range coltswire.DecodeNamed(reply.GetWeights()) {
		// The naming is as old as this instance's knowledge of it, by its own clock.
		n.NamedAt = w.g.now()
		if w.g.weights.SetNamed(n) {
			w.g.log.Info("A weight version is wanted.", coltslog.Fields{"model": n.Model, "number": n.Number})
		}
	}
}

// takeEntries takes in what changed in the registry. Upstreams that a whole registry
// lacks are forgotten only once it has been followed for long enough to know all.
func (w *controlWatcher) takeEntries(reply *coltspb.WatchReply, now time.Time) {
	for _, e := range coltswire.DecodeRegistryEntries(reply.GetEntries()) {
		w.heard[e.Upstream.ID] = true
		w.g.balancer.Update(e)
		w.g.log.Info("An upstream changed.", coltslog.Fields{
			"upstream": e.Upstream.ID, "service": e.Upstream.Service, "address": e.Upstream.Addr,
			"state": e.Upstream.State.String(), "silent": e.Silent, "sequence": e.Upstream.Sequence,
			"weights": e.Upstream.Weights, "source": w.source,
		})
	}
	if len(reply.GetEntries()) > 0 && now.Sub(w.sourceSince) > forgetGrace {
		w.g.balancer.Forget(func(id coltsidentity.Upstream) bool { return w.heard[id] })
	}
	w.g.metrics.Put(coltsmetric.Upstreams, int64(len(w.heard)))
}

// takeControls takes in where the group is, and moves on to its leader.
func (w *controlWatcher) takeControls(asked netip.AddrPort, texts []string, term uint64) {
	var addrs []netip.AddrPort
	for _, text := range texts {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			w.g.log.Warn("Control named an address that can't be read.", coltslog.Fields{"address": text, "error": err})
			continue
		}
		addrs = append(addrs, addr)
	}
	if len(addrs) == 0 {
		return
	}
	w.known = addrs
	if term > w.term {
		w.term = term
		delete(w.avoidUntil, addrs[0])
	}
	w.at = max(0, slices.Index(addrs, asked))
	if !w.g.now().Before(w.avoidUntil[addrs[0]]) {
		w.at = 0
	}
}
