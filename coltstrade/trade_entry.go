package coltstrade

// An entry instance as the decisions see it: its own balancer, queue and copy of the
// catalogue, told of the others' loads and of the stores ten times a second.

import (
	"errors"
	"fmt"
	"time"

	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsforward"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsstore"
)

const (
	// tellPeriod is how often entries tell and are told.
	tellPeriod = 100 * time.Millisecond
	// eventLag is how late a store's events reach the catalogue.
	eventLag = 80 * time.Millisecond
	// hop is the way between two instances.
	hop = 500 * time.Microsecond
	// firstLatency is what a first token takes besides the reading.
	firstLatency = 53 * time.Millisecond
	// weightsScope is what all parts are shared within.
	weightsScope = "v1"
)

// entry is one entry instance.
type entry struct {
	d        *day
	id       coltsidentity.Instance
	balancer *coltsbalance.Balancer
	queue    *coltsbalance.Queue
	stores   *coltsstore.Directory
	revision uint64
	waiting  []*waiter
}

// waiter is a request that waits for room.
type waiter struct {
	life   *coltsforward.Request
	ticket *coltsbalance.Ticket
	p      *prompt
}

// prompt is a request from the caller's side.
type prompt struct {
	class   int
	arrived time.Time
	firstAt time.Time
}

// tell exchanges loads and the catalogue's changes.
func (e *entry) tell() {
	now := e.d.s.now
	e.d.loads.Report(e.id, e.balancer.Loads(), now)
	e.balancer.SetOthers(e.d.loads.Others(e.id, now), now)
	changes, upTo, whole := e.d.catalogue.Since(e.revision)
	if whole {
		e.stores.Clear()
	}
	for _, c := range changes {
		e.stores.Apply(c)
	}
	e.revision = upTo
	e.stores.Confirm(now)
	for _, use := range e.stores.TakeFetches() {
		e.d.catalogue.Use(use.Store, use.Key, now)
	}
	e.wake()
}

// demand is what a request asks of a runner.
func (e *entry) demand(life *coltsforward.Request) coltsbalance.Demand {
	wanted := life.Wanted(weightsScope)
	known := coltsforward.Known{Service: e.d.engine}
	if e.d.variant.Fetch {
		known.Held = e.stores.Held(wanted, e.d.s.now)
		if service, has := e.d.index.Service(e.stores.Near(wanted, e.d.index.Stores())); has {
			known.Near = service.Store.DataCentre
		}
	}
	demand := life.Demand(known, e.d.s.now)
	if e.d.variant.Adjust != nil {
		e.d.variant.Adjust(&demand)
	}
	return demand
}

// arrive takes in a request.
func (e *entry) arrive(life *coltsforward.Request, p *prompt) {
	now := e.d.s.now
	demand := e.demand(life)
	if demand.Limit == 0 || !e.queue.Waits(life.Service, life.Priority(), now) {
		choice, err := e.balancer.Choose(demand, now)
		if err == nil {
			e.send(life, p, choice)
			return
		}
	}
	w := &waiter{life: life, p: p, ticket: e.queue.Join(life.Service, life.Priority(), life.OnTimeUntil())}
	e.waiting = append(e.waiting, w)
	e.d.s.at(life.PatientUntil(), func() { e.giveUp(w) })
}

// leave takes a waiter out and says whether it was still there.
func (e *entry) leave(w *waiter) bool {
	for i, other := range e.waiting {
		if other == w {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			e.queue.Leave(w.ticket)
			return true
		}
	}
	return false
}

func (e *entry) giveUp(w *waiter) {
	if e.leave(w) {
		e.d.result.refused(w.p.class)
	}
}

// wake sends those that wait, as long as there is room for the first.
func (e *entry) wake() {
	for sent := true; sent; {
		sent = false
		for _, w := range e.waiting {
			if !e.queue.IsFirst(w.ticket, e.d.s.now) {
				continue
			}
			choice, err := e.balancer.Choose(e.demand(w.life), e.d.s.now)
			var full *coltsbalance.FullError
			if errors.As(err, &full) {
				return
			}
			e.leave(w)
			e.send(w.life, w.p, choice)
			sent = true
			break
		}
	}
}

// send has a runner run a request.
func (e *entry) send(life *coltsforward.Request, p *prompt, choice coltsbalance.Choice) {
	wanted := life.Wanted(weightsScope)
	plan := coltsstore.Plan{Fetch: make([]coltsstore.Move, len(wanted)), Save: make([]coltsstore.Move, len(wanted))}
	if e.d.variant.Fetch {
		plan = e.stores.Plan(wanted, e.d.index.Stores(), e.d.s.now)
	}
	r := e.d.runners[choice.Upstream.ID]
	n := &run{
		memory: life.Asked.PromptTokens + life.Asked.OutputTokens, priority: life.Priority(), arrived: e.d.s.now,
		parts: wanted, toMake: life.Asked.OutputTokens,
	}
	n.first = func() {
		e.balancer.Begun(&choice)
		p.firstAt = e.d.s.now.Add(firstLatency + hop)
	}
	n.event = func(gap time.Duration) { e.balancer.Paced(choice, gap, e.d.s.now) }
	n.done = func(pause time.Duration) {
		e.balancer.Done(choice, coltsbalance.OutcomeAnswered, e.d.s.now)
		e.d.result.served(p, pause)
		e.wake()
	}
	e.d.s.after(hop, func() { e.d.begin(r, n, plan, life.Asked.PromptTokens) })
}

// newIndex makes the route table of a scenario.
func newIndex(s Scenario, engine coltsroute.Service, stores []*keptStore) *coltsroute.Index {
	table := coltsroute.Table{Version: 1, Services: []coltsroute.Service{engine}}
	for _, c := range s.Classes {
		table.Routes = append(table.Routes, coltsroute.Route{
			Name: c.Name, HostName: "h", Prefix: fmt.Sprintf("/%s/", c.Name), Kind: coltsroute.KindStreaming,
			Timeout: c.Timeout, Goal: c.Goal, GapGoal: c.GapGoal, Priority: c.Priority, MaxAttempts: 1, Sticky: true,
			Targets: []coltsroute.Target{{Service: engine.Name, Weight: 1}},
		})
	}
	for _, st := range stores {
		table.Services = append(table.Services, st.service)
	}
	return coltsroute.NewIndex(table)
}
