package coltsforward

// What a request asks of the choice among upstreams. Work is measured in tokens of memory
// at model runners and in requests elsewhere.

import (
	"time"

	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsstore"
	"coltsfootstall/coltsweights"
)

const (
	// homeBonus is how much fuller than the emptiest runner the home of a prompt may
	// be, as a share of a runner's memory. docs/MEASUREMENTS.md compares values.
	homeBonus = 0.6
	// nearBonus is the same for a runner in the data centre of the store with the
	// prompt's parts: a transfer from elsewhere takes both links twice as long.
	nearBonus = 0.4
	// longShare is the share of a runner's memory from which a prompt counts as long.
	longShare = 0.04
	// readingBias is how many times more the tokens count that are not read yet: they
	// hold up the streams at their runner.
	readingBias = 12
	// paceBias is how much fuller the others may be than a runner whose streams come at
	// half their pace, as a share of a runner's memory.
	paceBias = 0.4
	// fullShare is the share of a runner's memory up to which long prompts are sent to
	// it: beyond all of it they would wait there, and push out what others have fetched.
	fullShare = 1.0
	// lateShare is the same for long prompts that can't be on time any more: another
	// gateway may have one that can.
	lateShare = 0.4
)

// DemandInputs is what an instance knows when it chooses an upstream for a request.
type DemandInputs struct {
	// Service is that of the request; one that the table lacks is zero.
	Service coltsroute.Service
	// CachedTokens is how many tokens of the prompt's shared parts can be fetched.
	CachedTokens int
	// Near is the data centre that they are fetched from, empty for none.
	Near coltsidentity.DataCentre
	// Least is the lowest version of the weights that may serve the request, 0 for any.
	Least coltsweights.Number
}

// Demand returns what the request asks of an upstream.
func (l *Life) Demand(k DemandInputs, now time.Time) coltsbalance.Demand {
	d := coltsbalance.Demand{
		Service: l.Service, Weight: 1, Capacity: 1, Exclude: l.tried, Model: l.Asked.Model, Least: k.Least,
	}
	if k.Service.Engine == nil {
		return d
	}
	d.Capacity = float64(k.Service.Engine.CacheTokens)
	d.Weight = float64(l.Asked.PromptTokens + l.Asked.OutputTokens)
	if d.Weight > longShare*d.Capacity {
		d.Limit = fullShare
		if now.After(l.OnTimeUntil()) {
			d.Limit = lateShare
		}
	}
	d.PaceBias = paceBias
	if l.Route.Sticky {
		d.Affinity, d.HomeBonus = []byte(l.Affinity()), homeBonus
		d.Near, d.NearBonus = k.Near, nearBonus
		d.Reading, d.ReadingBias = float64(l.Asked.PromptTokens-k.CachedTokens), readingBias
	}
	return d
}

// Wanted returns the prompt's shared parts within a scope.
func (l *Life) Wanted(scope string) []coltsstore.Wanted {
	parts := l.SharedParts()
	wanted := make([]coltsstore.Wanted, len(parts))
	for i, part := range parts {
		wanted[i] = coltsstore.Wanted{Key: coltsstore.Key{Scope: scope, Part: part.ID}, Tokens: part.Tokens}
	}
	return wanted
}
