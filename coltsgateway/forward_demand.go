package coltsgateway

// The requirements of a request on its upstream, which depend on the stores and weights that
// this instance knows of.

import (
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
	inputs := coltsforward.DemandInputs{MinWeights: f.minWeightsVersion()}
	// A service missing from the table has no upstreams either.
	inputs.Service, _ = f.table.Service(f.lifecycle.Service)
	inputs.StrictestGoal = f.table.StrictestGoal(f.lifecycle.Service)
	if lookups := f.lifecycle.CacheLookups(f.wantedScope()); len(lookups) > 0 {
		inputs.CachedTokens = f.g.stores.FetchableTokens(lookups, f.g.now())
		inputs.CacheDataCentre = f.nearDataCentre(lookups)
	}
	return f.lifecycle.Demand(inputs, f.g.now())
}

// wantedScope returns the cache scope of the prompt's parts at a runner that has the newest
// weights.
func (f *forwarding) wantedScope() string {
	number := max(initialWeightsVersion, f.g.weights.Wanted(f.lifecycle.Inbound.Model).Number)
	return f.cacheScopeOf(number)
}

// nearDataCentre returns the data centre of the store that holds, or should hold, the largest
// of the prompt's parts; empty if there is none.
func (f *forwarding) nearDataCentre(lookups []coltsstore.PromptPart) coltsidentity.DataCentre {
	store := f.g.stores.PreferredStore(lookups, f.table.Stores())
	service, known := f.table.Service(store)
	if !known || service.Store == nil {
		return ""
	}
	return service.Store.DataCentre
}

// minWeightsVersion returns the lowest weights version that may serve the request, 0 for any.
func (f *forwarding) minWeightsVersion() coltsweights.Number {
	now := f.g.now()
	return f.g.weights.Required(f.lifecycle.Inbound.Model, coltsweights.Limit{
		GracePeriod: f.g.settings.WeightsGracePeriod, StartWithin: f.lifecycle.StartWithin(now),
	}, now)
}
