package coltsgateway

// Transfers of the prompt's cached parts between stores and the chosen runner.

import (
	"net/netip"

	"coltsfootstall/coltsforward"
	"coltsfootstall/coltsstore"
	"coltsfootstall/coltsweights"
)

// planTransfers decides which parts of the prompt the runner fetches from stores and which it
// saves to them.
func (f *forwarding) planTransfers(meta *RequestMetadata) {
	lookups := f.lifecycle.CacheLookups(meta.CacheScope)
	if len(lookups) == 0 || !f.g.settings.KeepCache {
		return
	}
	f.plan = f.g.stores.Plan(lookups, f.table.Stores(), f.g.now())
	meta.FetchFrom = f.storeAddrs(f.plan.Fetch)
	meta.SaveTo = f.storeAddrs(f.plan.Save)
	meta.FetchUntil = f.plan.FetchUntil
}

// storeAddrs returns the store address of each part of the prompt, the zero address for a part
// that is not transferred; nil if there are no transfers.
func (f *forwarding) storeAddrs(transfers []coltsstore.Transfer) []netip.AddrPort {
	var addrs []netip.AddrPort
	for i, transfer := range transfers {
		service, known := f.table.Service(transfer.Store)
		if !known || service.Store == nil {
			continue
		}
		if addrs == nil {
			addrs = make([]netip.AddrPort, len(f.lifecycle.Inbound.Parts))
		}
		addrs[i] = service.Store.Addr
	}
	return addrs
}

// cacheScope returns the scope of cached parts for the chosen runner.
func (f *forwarding) cacheScope() string {
	return f.cacheScopeOf(f.choice.WeightsVersion(f.lifecycle.Inbound.Model))
}

// cacheScopeOf returns the scope of cached parts at a runner with a weights version. It follows from the
// newest route table, not from the one that the request was matched against, which may share what is
// isolated by now. After a start of the whole system the newest table that is known may do so, too: nothing is
// shared until control has confirmed it.
func (f *forwarding) cacheScopeOf(n coltsweights.Number) string {
	shared := f.g.routes.Current().CacheScope(f.lifecycle.Organisation.Name)
	return coltsforward.CacheScope{Weights: n, CacheScope: shared}.String()
}
