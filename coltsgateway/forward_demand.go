package coltsgateway

// What this instance knows, of stores and weights, when it chooses an upstream for a
// request.

import (
	"time"

	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsforward"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsstore"
	"coltsfootstall/coltsweights"
)

// firstWeights is the version that models have before one is named.
const firstWeights = 1

// demand is what the request asks of an upstream, by what is known now.
func (f *forwarding) demand() coltsbalance.Demand {
	known := coltsforward.Known{Least: f.leastWeights()}
	known.Service, _ = f.table.Service(f.life.Service) // one that the table lacks has no upstreams either
	if wanted := f.life.Wanted(f.wantedScope()); len(wanted) > 0 {
		known.Held = f.g.stores.Held(wanted, f.g.now())
		known.Near = f.near(wanted)
	}
	return f.life.Demand(known, f.g.now())
}

// wantedScope returns what the prompt's parts may be shared within at a runner that has
// the newest weights.
func (f *forwarding) wantedScope() string {
	number := max(firstWeights, f.g.weights.Wanted(f.life.Asked.Model).Number)
	return coltsforward.CacheScope(number, f.life.Organisation)
}

// near returns the data centre of the store that the largest of the prompt's parts is in or
// belongs into, empty for none.
func (f *forwarding) near(wanted []coltsstore.PromptPart) coltsidentity.DataCentre {
	store := f.g.stores.Near(wanted, f.table.Stores())
	service, known := f.table.Service(store)
	if !known || service.Store == nil {
		return ""
	}
	return service.Store.DataCentre
}

// weightsMargin is how long before a named version is due requests stop going to runners
// without it: they may wait there before they begin.
const weightsMargin = time.Second

// leastWeights returns the lowest version that may serve the request, 0 for any.
func (f *forwarding) leastWeights() coltsweights.Number {
	due := f.g.settings.WeightsDue
	if due == 0 {
		return 0
	}
	return f.g.weights.NamedBy(f.life.Asked.Model, f.g.now().Add(weightsMargin-due))
}
