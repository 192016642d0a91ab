package coltsforward

// Converts a forwarded request into the balancer's load-balancing criteria. Load is counted
// in KV-cache tokens for services of model runners and in requests for all others.

import (
	"time"

	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsstore"
	"coltsfootstall/coltsweights"
)

const (
	// homeBonus is how much more loaded than the least loaded runner the home runner of
	// a prompt may be, as a share of a runner's KV cache. docs/MEASUREMENTS.md compares
	// values.
	homeBonus = 0.6
	// nearBonus is the same for a runner in the data centre of the store that holds the
	// prompt's parts: a transfer from another data centre occupies both links for twice
	// as long.
	nearBonus = 0.4
	// longPromptShare is the share of a runner's KV cache above which a request counts as
	// long, its prompt and maximum output together.
	longPromptShare = 0.04
	// prefillPenalty is the additional cost of a token that still has to be prefilled, as
	// a multiple of the cost of a token of load: prefill delays the streams that run on
	// the same runner.
	prefillPenalty = 12
	// pacePenalty is how much more loaded the other runners may be than one whose streams
	// run at half the average speed, as a share of a runner's KV cache.
	pacePenalty = 0.4
	// longPromptLimit is the load, as a share of a runner's KV cache, up to which long
	// requests are sent to the runner. Above 1 they would queue at the runner and evict
	// cache entries that other requests have fetched.
	longPromptLimit = 1.0
	// lateLongPromptLimit is the same for long requests that can no longer meet the
	// route's goal. It leaves room for requests of other gateways that still can.
	lateLongPromptLimit = 0.4
)

// Known holds the facts beside the request itself that go into its demand.
type Known struct {
	// Service is the request's service; zero if the route table has no entry for it.
	Service coltsroute.Service
	// Held is the number of tokens of the prompt's shared parts that can be fetched from
	// a cache store.
	Held int
	// Near is the data centre of the cache store for these parts; empty if there is none.
	Near coltsidentity.DataCentre
	// Least is the lowest weights version that may serve the request; 0 allows any.
	Least coltsweights.Number
}

// Demand returns the criteria by which the balancer chooses an upstream for the request.
func (r *Request) Demand(k Known, now time.Time) coltsbalance.Demand {
	d := coltsbalance.Demand{
		Service: r.Service, Weight: 1, Capacity: 1, Exclude: r.tried, Model: r.Asked.Model, Least: k.Least,
	}
	if k.Service.Engine == nil {
		return d
	}
	d.Capacity = float64(k.Service.Engine.CacheTokens)
	d.Weight = float64(r.Asked.PromptTokens + r.Asked.OutputTokens)
	if d.Weight > longPromptShare*d.Capacity {
		d.Limit = longPromptLimit
		if now.After(r.OnTimeUntil()) {
			d.Limit = lateLongPromptLimit
		}
	}
	d.PaceBias = pacePenalty
	if r.Route.Sticky {
		d.Affinity, d.HomeBonus = []byte(r.Affinity()), homeBonus
		d.Near, d.NearBonus = k.Near, nearBonus
		d.Reading, d.ReadingBias = float64(r.Asked.PromptTokens-k.Held), prefillPenalty
	}
	return d
}

// Wanted returns the prompt's shared parts as cache store entries to look up; scope is the
// cache scope of their keys.
func (r *Request) Wanted(scope string) []coltsstore.Wanted {
	parts := r.SharedParts()
	wanted := make([]coltsstore.Wanted, len(parts))
	for i, part := range parts {
		wanted[i] = coltsstore.Wanted{Key: coltsstore.Key{Scope: scope, Part: part.ID}, Tokens: part.Tokens}
	}
	return wanted
}
