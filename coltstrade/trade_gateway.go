package coltstrade

// A simulated gateway has its own balancer, queue and copy of the store catalogue, and uses
// the product's code for its decisions. Every syncPeriod it receives the loads of the other
// gateways and the changes of the catalogue.

import (
	"fmt"
	"time"

	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsforward"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsstore"
)

const (
	// syncPeriod is the interval at which a gateway exchanges loads and catalogue changes.
	syncPeriod = 100 * time.Millisecond
	// maxStoreChanges is the greatest number of catalogue changes received at once.
	maxStoreChanges = 1500
	// storeEventDelay is the time from the end of a save until the catalogue lists the part.
	storeEventDelay = 80 * time.Millisecond
	// networkDelay is the one-way delay between two instances.
	networkDelay = 500 * time.Microsecond
	// firstTokenOverhead is the part of the time to first token that is spent neither in the
	// queues nor on prefill.
	firstTokenOverhead = 53 * time.Millisecond
	// cacheScope is the cache scope of all parts, so that all requests can share them.
	cacheScope = "v1"
)

// gateway is one simulated gateway.
type gateway struct {
	sim      *simulation
	id       coltsidentity.Instance
	balancer *coltsbalance.Balancer
	queue    *coltsbalance.Queue
	// stores is the gateway's copy of the catalogue, up to date as of position.
	stores   *coltsstore.Directory
	position coltsstore.Position
	queued   []*queuedRequest
}

// queuedRequest is a request that waits until a runner has room for it.
type queuedRequest struct {
	request *coltsforward.Request
	ticket  *coltsbalance.Ticket
	timing  *requestTiming
}

// requestTiming holds the times of a request as its caller sees them.
type requestTiming struct {
	// class is the index of the request's class in the scenario.
	class        int
	arrived      time.Time
	firstTokenAt time.Time
}

// sync exchanges loads with the other gateways, applies the changes of the catalogue and
// dispatches queued requests.
func (g *gateway) sync() {
	now := g.sim.scheduler.now
	g.sim.loads.Report(g.id, g.balancer.Loads(), now)
	others := g.sim.loads.Others(g.id, now)
	if g.sim.scenario.LoadAge == 0 {
		g.balancer.SetPeerLoads(others, now)
		g.balancer.RecordLoadAge(0)
	} else {
		g.sim.scheduler.after(g.sim.scenario.LoadAge, func() {
			g.balancer.SetPeerLoads(others, g.sim.scheduler.now)
			g.balancer.RecordLoadAge(g.sim.scenario.LoadAge)
		})
	}
	for more := true; more; {
		delta := g.sim.catalogue.Since(g.position, maxStoreChanges)
		g.stores.Receive(delta, now)
		g.position, more = delta.Position, delta.More
	}
	g.stores.SetOffers(g.sim.catalogue.Offers(now))
	for _, fetch := range g.stores.TakeFetches() {
		g.sim.catalogue.MarkFetched(fetch.Store, fetch.Key, now)
	}
	g.dispatchQueued()
}

// demand returns the criteria by which the balancer chooses a runner for a request.
func (g *gateway) demand(request *coltsforward.Request) coltsbalance.Demand {
	parts := request.CacheLookups(cacheScope)
	inputs := coltsforward.DemandInputs{Service: g.sim.engine}
	if g.sim.variant.UseStores {
		inputs.CachedTokens = g.stores.FetchableTokens(parts, g.sim.scheduler.now)
		if service, found := g.sim.index.Service(g.stores.PreferredStore(parts, g.sim.index.Stores())); found {
			inputs.CacheDataCentre = service.Store.DataCentre
		}
	}
	demand := request.Demand(inputs, g.sim.scheduler.now)
	if g.sim.variant.CountsSlots {
		demand.Weight = max(demand.Weight, float64(g.sim.scenario.Engine.CacheTokens/g.sim.scenario.Engine.Slots))
	}
	if g.sim.variant.AdjustDemand != nil {
		g.sim.variant.AdjustDemand(&demand)
	}
	return demand
}

// handle dispatches a new request, or queues it if no runner has room or other requests
// are ahead of it in the queue. A queued request is refused at its queue deadline.
func (g *gateway) handle(request *coltsforward.Request, timing *requestTiming) {
	now := g.sim.scheduler.now
	demand := g.demand(request)
	if demand.Limit == 0 || !g.queue.MustWait(request.Service, request.Priority(), now) {
		choice, err := g.balancer.Choose(demand, now)
		if err == nil {
			g.dispatch(request, timing, choice)
			return
		}
	}
	q := &queuedRequest{
		request: request, timing: timing,
		ticket: g.queue.Join(request.Service, request.Priority(), request.DispatchDeadline()),
	}
	g.queued = append(g.queued, q)
	deadline := request.QueueDeadline()
	if g.sim.variant.WaitsForLimit {
		deadline = request.Deadline().Add(-request.Route.LatencyGoal)
	}
	g.sim.scheduler.at(deadline, func() { g.expire(q) })
}

// dequeue removes a request from the queue and reports whether it was still queued.
func (g *gateway) dequeue(q *queuedRequest) bool {
	for i, other := range g.queued {
		if other == q {
			g.queued = append(g.queued[:i:i], g.queued[i+1:]...)
			g.queue.Leave(q.ticket)
			return true
		}
	}
	return false
}

// expire refuses a request if it is still queued.
func (g *gateway) expire(q *queuedRequest) {
	if g.dequeue(q) {
		g.sim.result.countRefusal(q.timing.class)
	}
}

// dispatchQueued dispatches queued requests in order until the runners have no room for the
// first one.
func (g *gateway) dispatchQueued() {
	for dispatched := true; dispatched; {
		dispatched = false
		for _, q := range g.queued {
			if !g.queue.IsFirst(q.ticket, g.sim.scheduler.now) {
				continue
			}
			choice, err := g.balancer.Choose(g.demand(q.request), g.sim.scheduler.now)
			if err != nil {
				return
			}
			g.dequeue(q)
			g.dispatch(q.request, q.timing, choice)
			dispatched = true
			break
		}
	}
}

// dispatch sends a request to the chosen runner, together with the transfers for its parts.
func (g *gateway) dispatch(request *coltsforward.Request, timing *requestTiming, choice coltsbalance.Choice) {
	parts := request.CacheLookups(cacheScope)
	plan := coltsstore.Plan{
		Fetch: make([]coltsstore.Transfer, len(parts)), Save: make([]coltsstore.Transfer, len(parts)),
	}
	if g.sim.variant.UseStores {
		plan = g.stores.Plan(parts, g.sim.index.Stores(), g.sim.scheduler.now)
	}
	r := g.sim.runners[choice.Upstream.ID]
	req := &runnerRequest{
		contextTokens: request.Inbound.PromptTokens + request.Inbound.OutputTokens,
		priority:      request.Priority(), arrived: g.sim.scheduler.now,
		parts: parts, outputTokens: request.Inbound.OutputTokens,
	}
	req.onFirstToken = func() {
		g.balancer.AnswerStarted(&choice, g.sim.scheduler.now)
		timing.firstTokenAt = g.sim.scheduler.now.Add(firstTokenOverhead + networkDelay)
	}
	req.onEvent = func(gap time.Duration) { g.balancer.RecordGap(choice, gap, g.sim.scheduler.now) }
	req.onDone = func(maxGap time.Duration) {
		g.balancer.Done(choice, coltsbalance.OutcomeAnswered, g.sim.scheduler.now)
		g.sim.result.countAnswer(timing, maxGap)
		g.dispatchQueued()
	}
	req.onFailed = func(arrived bool) {
		g.balancer.Done(choice, coltsbalance.OutcomeFailed, g.sim.scheduler.now)
		if arrived {
			g.sim.result.countRefusal(timing.class)
			return
		}
		request.CountAttempt(choice.Upstream.ID)
		g.handle(request, timing)
	}
	g.sim.scheduler.after(networkDelay, func() { g.sim.startRequest(r, req, plan, request.Inbound.PromptTokens) })
}

// newIndex returns the index of a route table with one route for each class of a scenario.
func newIndex(s Scenario, engine coltsroute.Service, stores []*managedStore) *coltsroute.Index {
	table := coltsroute.Table{Version: 1, Services: []coltsroute.Service{engine}}
	for _, c := range s.Classes {
		table.Routes = append(table.Routes, coltsroute.Route{
			Name: c.Name, HostName: "h", Prefix: fmt.Sprintf("/%s/", c.Name), Kind: coltsroute.KindStreaming,
			Timeout: c.Timeout, LatencyGoal: c.LatencyGoal, GapGoal: c.GapGoal,
			Priority: c.Priority, MaxAttempts: 1, Sticky: true,
			Targets: []coltsroute.Target{{Service: engine.Name, Weight: 1}},
		})
	}
	for _, st := range stores {
		table.Services = append(table.Services, st.service)
	}
	return coltsroute.NewIndex(table)
}
