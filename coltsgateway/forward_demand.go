package coltsgateway

// What a request asks of the choice among upstreams, worked out from the request, the
// route table and what is known of stores and weights.

import (
	"time"

	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsforward"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsstore"
	"coltsfootstall/coltsweights"
)

// homeBonus is how much fuller than the emptiest runner the home of a prompt may be: less
// than what reading the prompt's shared parts again would take of a runner's memory.
const homeBonus = 0.35

const (
	// longShare is the share of a runner's memory from which a prompt counts as long.
	longShare = 0.04
	// readingBias is how many times more the tokens count that are not read yet: they
	// hold up the streams at their runner.
	readingBias = 12
	// firstWeights is the version that models have before one is named.
	firstWeights = 1
	// fullShare is the share of a runner's memory up to which long prompts are sent to
	// it: at more, what it keeps and fetches is pushed out before it is used, and short
	// prompts find no room.
	fullShare = 0.9
)

// nearBonus is how much fuller than the emptiest runner one may be that is in the data
// centre of the store with the prompt's parts: a transfer from elsewhere takes both links
// twice as long.
const nearBonus = 0.25

// demand is what the request asks of an upstream. Work is measured in tokens of memory
// at model runners and in requests elsewhere.
func (f *forwarding) demand() coltsbalance.Demand {
	d := coltsbalance.Demand{
		Service: f.life.Service, Weight: 1, Capacity: 1, Exclude: f.life.Tried(),
		Model: f.life.Asked.Model, Least: f.leastWeights(),
	}
	service, known := f.table.Service(f.life.Service)
	if !known || service.Engine == nil {
		return d
	}
	d.Capacity = float64(service.Engine.CacheTokens)
	d.Weight = float64(f.life.Asked.PromptTokens + f.life.Asked.OutputTokens)
	if d.Weight > longShare*d.Capacity {
		d.Limit = fullShare
	}
	if f.life.Route.Sticky {
		d.Affinity, d.HomeBonus = []byte(f.life.Affinity()), homeBonus
		wanted := f.wanted(f.wantedScope())
		d.Near, d.NearBonus = f.near(wanted), nearBonus
		d.Reading, d.ReadingBias = float64(f.reads(wanted)), readingBias
	}
	return d
}

// wantedScope returns what the prompt's parts may be shared within at a runner that has
// the newest weights.
func (f *forwarding) wantedScope() string {
	number := max(firstWeights, f.g.weights.Wanted(f.life.Asked.Model).Number)
	return coltsforward.CacheScope(number, f.life.Organisation)
}

// reads returns how many tokens of the prompt a runner has to read that keeps none of it.
func (f *forwarding) reads(wanted []coltsstore.Wanted) int {
	return f.life.Asked.PromptTokens - f.g.stores.Held(wanted, f.g.now())
}

// near returns the data centre of the store that the largest of the prompt's parts is in or
// belongs into, empty for none.
func (f *forwarding) near(wanted []coltsstore.Wanted) coltsidentity.DataCentre {
	store := f.g.stores.Near(wanted, f.table.Stores())
	service, known := f.table.Service(store)
	if !known || service.Store == nil {
		return ""
	}
	return service.Store.DataCentre
}

// wanted returns the prompt's shared parts within a scope.
func (f *forwarding) wanted(scope string) []coltsstore.Wanted {
	parts := f.life.SharedParts()
	wanted := make([]coltsstore.Wanted, len(parts))
	for i, part := range parts {
		wanted[i] = coltsstore.Wanted{Key: coltsstore.Key{Scope: scope, Part: part.ID}, Tokens: part.Tokens}
	}
	return wanted
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
