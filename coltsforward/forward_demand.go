package coltsforward

// The demand of a forwarded request holds the criteria by which the balancer chooses an
// upstream. Load is counted in KV cache tokens for services of model runners and in requests
// for all others.

import (
	"time"

	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsstore"
	"coltsfootstall/coltsweights"
)

const (
	// homeBonus is how much higher the load of a prompt's home runner may be than that of
	// the least loaded runner, as a share of a runner's KV cache. docs/MEASUREMENTS.md
	// compares values.
	homeBonus = 0.6
	// dataCentreBonus is the same for a runner in the data centre of the cache store that
	// holds the prompt's parts: a transfer from another data centre occupies both links
	// for twice as long.
	dataCentreBonus = 0.4
	// longPromptShare is the share of a runner's KV cache above which a request counts as
	// long, its prompt and maximum output together.
	longPromptShare = 0.04
	// prefillPenalty is the additional cost of a token that still has to be prefilled, as
	// a multiple of the cost of a token of load: prefill delays the streams that run on
	// the same runner.
	prefillPenalty = 12
	// pacePenalty is the cost of a runner whose streams run at half the average speed: how
	// much more loaded the other runners may be, as a share of a runner's KV cache.
	pacePenalty = 0.4
	// longPromptLimit is the load, as a share of a runner's KV cache, up to which long
	// requests are sent to the runner. Above 1 they would queue at the runner and evict
	// cache entries that other requests have fetched.
	longPromptLimit = 1.0
	// patientPromptLimit is the same for long requests that can wait and still meet their goal. It
	// leaves room for requests with stricter goals, which have no limit and are late at a full runner.
	patientPromptLimit = 0.7
	// patienceFactor is how many of the strictest goals of its service a request must be able to wait
	// to count as one that can wait: one for the requests that are being served to end, and one for
	// those that arrive meanwhile.
	patienceFactor = 2
	// lateLongPromptLimit is the same for long requests that can no longer meet the
	// route's goal. It leaves room for requests of other entry instances that still can.
	lateLongPromptLimit = 0.4
)

// DemandInputs holds the inputs to a request's demand that are not part of the request.
type DemandInputs struct {
	// Service is the request's service; zero if the route table has no entry for it.
	Service coltsroute.Service
	// CachedTokens is the number of tokens of the prompt's shared parts that can be fetched
	// from a cache store.
	CachedTokens int
	// CacheDataCentre is the data centre of the cache store for these parts; empty if there
	// is none.
	CacheDataCentre coltsidentity.DataCentre
	// StrictestGoal is the shortest latency goal among the routes of the service.
	StrictestGoal time.Duration
	// MinWeights is the lowest weights version that may serve the request; 0 allows any.
	MinWeights coltsweights.Number
}

// Demand returns the criteria by which the balancer chooses an upstream for the request.
func (r *Request) Demand(inputs DemandInputs, now time.Time) coltsbalance.Demand {
	d := coltsbalance.Demand{
		Service: r.Service, Weight: 1, Capacity: 1, Exclude: r.tried, Model: r.Inbound.Model, MinWeights: inputs.MinWeights,
	}
	if inputs.Service.Engine == nil {
		return d
	}
	d.Capacity = float64(inputs.Service.Engine.CacheTokens)
	d.Weight = float64(r.Inbound.PromptTokens + r.Inbound.OutputTokens)
	if d.Weight > longPromptShare*d.Capacity {
		d.Limit = r.longPromptLimit(inputs.StrictestGoal, now)
	}
	d.PacePenalty = pacePenalty
	if r.Route.Sticky {
		d.Affinity, d.HomeBonus = []byte(r.Affinity()), homeBonus
		d.CacheDataCentre, d.DataCentreBonus = inputs.CacheDataCentre, dataCentreBonus
		d.Prefill, d.PrefillPenalty = float64(r.Inbound.PromptTokens-inputs.CachedTokens), prefillPenalty
	}
	return d
}

// longPromptLimit returns the load up to which a runner gets the request, which is long.
func (r *Request) longPromptLimit(strictestGoal time.Duration, now time.Time) float64 {
	switch {
	case now.After(r.DispatchDeadline()):
		return lateLongPromptLimit
	case r.canWait(strictestGoal):
		return patientPromptLimit
	}
	return longPromptLimit
}

// canWait reports whether the request meets its goal even if requests of its service with a stricter goal
// go first for a while.
func (r *Request) canWait(strictestGoal time.Duration) bool {
	return strictestGoal > 0 && r.DispatchDeadline().Sub(r.Arrived) >= patienceFactor*strictestGoal
}

// CacheLookups returns the prompt's shared parts in the form in which they are looked up in the
// cache stores. scope is the cache scope of their keys.
func (r *Request) CacheLookups(scope string) []coltsstore.PromptPart {
	parts := r.SharedParts()
	lookups := make([]coltsstore.PromptPart, len(parts))
	for i, part := range parts {
		lookups[i] = coltsstore.PromptPart{Key: coltsstore.Key{Scope: scope, Part: part.ID}, Tokens: part.Tokens}
	}
	return lookups
}
