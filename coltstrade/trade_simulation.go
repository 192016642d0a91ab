package coltstrade

// A simulation generates requests from a seed and runs them through the gateways, runners
// and stores of a scenario.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsforward"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsstore"
)

const (
	// evictionPeriod is the interval between two eviction runs on the stores.
	evictionPeriod = 250 * time.Millisecond
	// The arrival rate follows a sine wave, which imitates a market day. waveAmplitude is a
	// share of the mean rate.
	waveAmplitude = 0.55
	wavePeriod    = 13 * time.Second
	// sizeSigma is the standard deviation of the logarithm of the sizes of prompts and
	// answers, which have a log-normal distribution.
	sizeSigma = 0.5
)

// Variant is one of the policy configurations that are compared.
type Variant struct {
	Name  string
	Usage string
	// Policy is the load-balancing policy; empty means coltsbalance.PolicyLeastLoaded.
	Policy coltsbalance.Policy
	// LoadReport says how gateways report their loads; empty means coltsbalance.ReportHeld.
	LoadReport coltsbalance.LoadReport
	// UseStores is set if prompt parts are saved in stores and fetched from there.
	UseStores bool
	// AdjustDemand changes the demand of each request before a runner is chosen; nil for no
	// change.
	AdjustDemand func(*coltsbalance.Demand)
	// CountsSlots is set if each request weighs at least one slot's share of a runner's KV cache,
	// so that a runner without a free slot has no room.
	CountsSlots bool
	// WaitsForLimit is set if long requests are queued for as long as their own time limit allows
	// an answer within the goal, not for a multiple of their goal.
	WaitsForLimit bool
}

// Variants returns the variants to compare. The first one is the product's own configuration.
func Variants() []Variant {
	return []Variant{
		{Name: "current", Usage: "the product's decisions", UseStores: true},
		{Name: "first-landing", Usage: "the parameters of the first version with stores", UseStores: true,
			AdjustDemand: func(d *coltsbalance.Demand) {
				d.PrefillPenalty, d.HomeBonus, d.DataCentreBonus, d.PacePenalty = 3, 0.1, 0.1, 0
				if d.Limit > 0 {
					d.Limit = 0.9
				}
			}},
		{Name: "prefill-reported", Usage: "gateways report prompts that are not prefilled yet with more weight", UseStores: true,
			LoadReport: coltsbalance.ReportPrefill},
		{Name: "wait-for-limit", Usage: "long requests wait for room as long as their time limit allows", UseStores: true,
			WaitsForLimit: true},
		{Name: "slots-counted", Usage: "each request weighs at least a runner's memory for one slot", UseStores: true,
			CountsSlots: true},
		{Name: "recompute", Usage: "nothing is fetched or saved"},
		{Name: "round-robin-recompute", Usage: "round-robin choice of runners, nothing is fetched or saved",
			Policy: coltsbalance.PolicyRoundRobin},
	}
}

// simulation is the state of one simulated scenario.
type simulation struct {
	scheduler *scheduler
	scenario  Scenario
	variant   Variant
	rng       *rand.Rand
	index     *coltsroute.Index
	engine    coltsroute.Service
	runners   map[coltsidentity.Upstream]*runner
	stores    map[coltsidentity.Service]*managedStore
	catalogue *coltsstore.Catalogue
	loads     *coltsbalance.Loads
	gateways  []*gateway
	// prefilled is the set of parts that any runner has prefilled so far.
	prefilled map[coltsstore.Key]bool
	result    *Result
	// requestCount is the number of requests created so far. Request IDs contain it.
	requestCount int
}

// Simulate simulates a scenario with a variant. Equal seeds give equal arrivals.
func Simulate(s Scenario, v Variant, seed uint64) *Result {
	sim := &simulation{
		scheduler: newScheduler(), scenario: s, variant: v, rng: rand.New(rand.NewPCG(seed, 1)),
		engine: coltsroute.Service{Name: "llm", Engine: &coltsroute.Engine{
			Slots: s.Engine.Slots, CacheTokens: s.Engine.CacheTokens, BytesPerToken: s.Engine.BytesPerToken,
			LinkBitsPerSecond: s.Engine.LinkBitsPerSecond,
		}},
		runners: map[coltsidentity.Upstream]*runner{}, stores: map[coltsidentity.Service]*managedStore{},
		catalogue: coltsstore.NewCatalogue(), loads: coltsbalance.NewLoads(), prefilled: map[coltsstore.Key]bool{},
	}
	sim.result = newResult(s, v)
	sim.build(seed)
	end := startTime.Add(s.Duration)
	for _, g := range sim.gateways {
		// The random delay keeps the gateways from all synchronizing at the same time.
		sim.scheduler.after(time.Duration(sim.rng.Int64N(int64(syncPeriod))), func() {
			sim.scheduler.every(syncPeriod, end, g.sync)
		})
	}
	sim.scheduler.every(evictionPeriod, end, sim.evictFromStores)
	sim.scheduler.every(imbalancePeriod, end, sim.measureImbalance)
	sim.scheduleCrash()
	for class := range s.Classes {
		sim.scheduleArrival(class)
	}
	sim.scheduler.run()
	sim.result.finish(sim)
	return sim.result
}

// build creates the stores, the runners and the gateways.
func (sim *simulation) build(seed uint64) {
	var stores []*managedStore
	capacities := map[coltsidentity.Service]int{}
	for _, kind := range sim.scenario.Stores {
		for i := range kind.Count {
			st := newStore(fmt.Sprint(kind.Name, i), kind, sim.dataCentre(i))
			stores = append(stores, st)
			sim.stores[st.service.Name] = st
			capacities[st.service.Name] = kind.CacheTokens
		}
	}
	sim.catalogue.Follow(nil)
	sim.catalogue.Follow(capacities)
	for store := range capacities {
		sim.catalogue.SetListed(store, coltsstore.Listing{}, sim.scheduler.now)
	}
	sim.index = newIndex(sim.scenario, sim.engine, stores)
	for i := range sim.scenario.Gateways {
		random := rand.New(rand.NewPCG(seed, uint64(2+i)))
		sim.gateways = append(sim.gateways, &gateway{
			sim: sim, id: coltsidentity.Instance(fmt.Sprint("entry-", i)),
			queue: coltsbalance.NewQueue(), stores: coltsstore.NewDirectory(),
			balancer: coltsbalance.New(coltsbalance.Config{
				Policy: sim.variant.Policy, LoadReport: sim.variant.LoadReport, Random: random.IntN,
			}),
		})
	}
	for i := range sim.scenario.Runners {
		r := &runner{
			scheduler: sim.scheduler, engine: sim.scenario.Engine,
			id: runnerID(i), dataCentre: sim.dataCentre(i),
			slowFactor: 1, link: link{bitsPerSecond: sim.scenario.Engine.LinkBitsPerSecond},
			cached: map[coltsstore.Key]*cachedPart{},
		}
		if i < sim.scenario.SlowRunners {
			r.slowFactor = sim.scenario.SlowFactor
		}
		sim.runners[r.id] = r
		sim.publish(r, startTime, false)
	}
}

func runnerID(i int) coltsidentity.Upstream {
	return coltsidentity.Upstream(fmt.Sprintf("runner-%02d", i))
}

func (sim *simulation) dataCentre(i int) coltsidentity.DataCentre {
	return sim.scenario.DataCentres[i%len(sim.scenario.DataCentres)]
}

// arrivalRateFactor returns the current arrival rate as a multiple of the mean rate.
func (sim *simulation) arrivalRateFactor(class int) float64 {
	elapsed := sim.scheduler.now.Sub(startTime)
	factor := 1 + waveAmplitude*math.Sin(2*math.Pi*elapsed.Seconds()/wavePeriod.Seconds())
	if third := sim.scenario.Duration / 3; elapsed >= third && elapsed < 2*third {
		peak := sim.scenario.Classes[class].PeakFactor
		if peak == 0 {
			peak = sim.scenario.PeakFactor
		}
		factor *= peak
	}
	return factor
}

// scheduleArrival schedules the next arrival of a class. The gaps between arrivals are
// exponentially distributed.
func (sim *simulation) scheduleArrival(class int) {
	gap := sim.rng.ExpFloat64() / (sim.scenario.Classes[class].ArrivalsPerSecond * sim.arrivalRateFactor(class))
	sim.scheduler.after(time.Duration(gap*float64(time.Second)), func() {
		if sim.scheduler.now.After(startTime.Add(sim.scenario.Duration)) {
			return
		}
		sim.createRequest(class)
		sim.scheduleArrival(class)
	})
}

// randomSize returns a random, log-normally distributed size with a given mean.
func (sim *simulation) randomSize(mean int, rng *rand.Rand) int {
	return max(1, int(float64(mean)*math.Exp(sizeSigma*rng.NormFloat64()-sizeSigma*sizeSigma/2)))
}

// createRequest creates a random request of a class and passes it to a random gateway.
func (sim *simulation) createRequest(class int) {
	c := sim.scenario.Classes[class]
	session := sim.rng.IntN(c.Sessions)
	if sim.scenario.HotSessions > 0 && sim.rng.Float64() < sim.scenario.HotShare {
		session = sim.rng.IntN(sim.scenario.HotSessions)
	}
	// The generator is seeded with the session, because the shared part of a session
	// always has the same size.
	shared := sim.randomSize(c.SharedTokens, rand.New(rand.NewPCG(uint64(session), uint64(class))))
	unique := sim.randomSize(c.UniqueTokens, sim.rng)
	sim.requestCount++
	inbound := coltsforward.InboundRequest{
		ID: fmt.Sprint("request-", sim.requestCount), HostName: "h", Path: fmt.Sprintf("/%s/x", c.Name),
		Timeout:      c.Timeout,
		PromptTokens: shared + unique, OutputTokens: sim.randomSize(c.OutputTokens, sim.rng),
		Parts: []coltsforward.Part{
			{ID: fmt.Sprintf("%s-%d", c.Name, session), Tokens: shared},
			{ID: fmt.Sprint("own-", sim.requestCount), Tokens: unique},
		},
	}
	request, err := coltsforward.NewRequest(inbound, sim.index, sim.scheduler.now)
	if err != nil {
		// newIndex adds a route for every class, so this is a programming error.
		panic(err)
	}
	sim.result.countArrival(class)
	sim.randomGateway().handle(request, &requestTiming{class: class, arrived: sim.scheduler.now})
}

// randomGateway returns the gateway of a request.
func (sim *simulation) randomGateway() *gateway {
	n := len(sim.gateways)
	i := sim.rng.IntN(n)
	if sim.scenario.UnevenGateways {
		// Each third gateway keeps one, two or all three thirds of what it draws.
		for sim.rng.IntN(3) > i%3 {
			i = sim.rng.IntN(n)
		}
	}
	return sim.gateways[i]
}

// startRequest fetches parts of a prompt to a runner as planned and queues the request at
// the runner when the transfers have ended. The runner prefills the rest of the prompt,
// which has promptTokens in total.
func (sim *simulation) startRequest(r *runner, req *runnerRequest, plan coltsstore.Plan, promptTokens int) {
	if !r.hold(req) {
		return
	}
	now := sim.scheduler.now
	readyAt, cachedTokens := now, 0
	for i := range req.parts {
		if i < r.cachedPrefix(req.parts) {
			cachedTokens += req.parts[i].Tokens
			continue
		}
		end, fetched := sim.fetchPart(r, req.parts[i], plan.Fetch[i])
		if !fetched {
			sim.countPrefill(req.parts[i:])
			break
		}
		readyAt, cachedTokens = end, cachedTokens+req.parts[i].Tokens
	}
	req.toPrefill, req.prefilled = max(1, promptTokens-cachedTokens), cachedTokens
	onDone := req.onDone
	req.onDone = func(maxGap time.Duration) {
		r.release(req)
		sim.saveParts(r, req.parts, plan.Save)
		onDone(maxGap)
	}
	sim.scheduler.at(readyAt, func() {
		if !req.failed {
			r.enqueue(req)
		}
	})
}

// fetchPart transfers a part from a store to a runner and returns when the transfer ends.
// It returns false if the store does not hold the part or the links are too busy.
func (sim *simulation) fetchPart(
	r *runner, part coltsstore.PromptPart, fetch coltsstore.Transfer,
) (time.Time, bool) {
	st, known := sim.stores[fetch.Store]
	if !known || st.complete[part.Key] == 0 {
		return time.Time{}, false
	}
	bytes := float64(part.Tokens) * float64(r.engine.BytesPerToken)
	end, started := transfer(&r.link, &st.link, bytes, st.latency(),
		r.dataCentre != st.service.Store.DataCentre, sim.scheduler.now)
	if started {
		sim.result.TransferredTokens += part.Tokens
	}
	return end, started
}

// countPrefill counts the tokens of parts that a runner prefills, and those among them that
// some runner has prefilled before.
func (sim *simulation) countPrefill(parts []coltsstore.PromptPart) {
	for _, part := range parts {
		sim.result.PrefilledTokens += part.Tokens
		if sim.prefilled[part.Key] {
			sim.result.RecomputedTokens += part.Tokens
		}
		sim.prefilled[part.Key] = true
	}
}

// saveParts transfers parts from a runner to stores. A part is skipped if the store already
// has it, the store is full or the links are too busy.
func (sim *simulation) saveParts(r *runner, parts []coltsstore.PromptPart, saves []coltsstore.Transfer) {
	for i, save := range saves {
		st, known := sim.stores[save.Store]
		if !known || !st.reserve(parts[i].Key, parts[i].Tokens) {
			continue
		}
		part := parts[i]
		bytes := float64(part.Tokens) * float64(r.engine.BytesPerToken)
		end, started := transfer(&r.link, &st.link, bytes, st.latency(),
			r.dataCentre != st.service.Store.DataCentre, sim.scheduler.now)
		if !started {
			st.free([]coltsstore.Key{part.Key})
			continue
		}
		sim.result.TransferredTokens += part.Tokens
		sim.scheduler.at(end, func() { st.complete[part.Key] = part.Tokens })
		sim.scheduler.at(end.Add(storeEventDelay), func() {
			sim.catalogue.Add(save.Store, part.Key, part.Tokens, sim.scheduler.now)
		})
	}
}

// evictFromStores retires parts of full stores and frees the parts that were retired long
// enough ago.
func (sim *simulation) evictFromStores() {
	for name, st := range sim.stores {
		sim.catalogue.Retire(name, func(string) bool { return true }, sim.scheduler.now)
		freeable := sim.catalogue.Freeable(name, sim.scheduler.now)
		st.free(freeable)
		for _, key := range freeable {
			sim.catalogue.Remove(name, key)
		}
	}
}
