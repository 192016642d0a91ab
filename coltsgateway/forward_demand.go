package coltsgateway

// The requirements of a request on its upstream, which depend on the stores and weights that
// this instance knows of.

import (
	"time"

	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsforward"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsstore"
	"coltsfootstall/coltsweights"
)

// initialWeightsVersion is the weights version of a model for which none was named.
const initialWeightsVersion = 1

// demand returns the request's current requirements on an upstream.
func (f *forwarding) demand() coltsbalance.Demand {
	known := coltsforward.DemandInputs{MinWeights: f.minWeightsVersion()}
	// A service missing from the table has no upstreams either.
	known.Service, _ = f.table.Service(f.lifecycle.Service)
	if wanted := f.lifecycle.Wanted(f.wantedScope()); len(wanted) > 0 {
		known.CachedTokens = f.g.stores.FetchableTokens(wanted, f.g.now())
		known.CacheDataCentre = f.nearDataCentre(wanted)
	}
	return f.lifecycle.Demand(known, f.g.now())
}

// wantedScope returns the cache scope of the prompt's parts at a runner that has the newest
// weights.
func (f *forwarding) wantedScope() string {
	number := max(initialWeightsVersion, f.g.weights.Wanted(f.lifecycle.Inbound.Model).Number)
	return coltsforward.CacheScope(number, f.lifecycle.Organisation)
}

// nearDataCentre returns the data centre of the store that holds, or should hold, the largest
// of the prompt's parts; empty if there is none.
func (f *forwarding) nearDataCentre(wanted []coltsstore.PromptPart) coltsidentity.DataCentre {
	store := f.g.stores.PreferredStore(wanted, f.table.Stores())
	service, known := f.table.Service(store)
	if !known || service.Store == nil {
		return ""
	}
	return service.Store.DataCentre
}

// weightsMargin is how long before a named version is due requests stop going to runners
// without it, because a request may be queued at the runner before it begins.
const weightsMargin = time.Second

// minWeightsVersion returns the lowest weights version that may serve the request, 0 for any.
func (f *forwarding) minWeightsVersion() coltsweights.Number {
	due := f.g.settings.WeightsGracePeriod
	if due == 0 {
		return 0
	}
	return f.g.weights.NamedAsOf(f.lifecycle.Inbound.Model, f.g.now().Add(weightsMargin-due))
}
