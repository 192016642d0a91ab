package coltstrade

// A crashed runner loses its requests and its cache. Connections to it are refused, so gateways
// send their requests elsewhere at once and avoid the runner for a while; control reports it as
// silent when its heartbeats are overdue. Requests that were lost while they ran count as refused
// in the results, whatever the route: no variant can save them.

import (
	"slices"
	"time"

	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltsstore"
)

// silentAfter is the time from a crash until control reports the runner as silent.
const silentAfter = 2 * time.Second

// hold counts a request that has arrived at the runner. It fails the request and returns false if the
// runner is down.
func (r *runner) hold(req *runnerRequest) bool {
	if r.down {
		req.onFailed(false)
		return false
	}
	r.held = append(r.held, req)
	r.heldTokens += req.contextTokens
	return true
}

// release stops counting a request that has ended.
func (r *runner) release(req *runnerRequest) {
	if i := slices.Index(r.held, req); i >= 0 {
		r.held = slices.Delete(r.held, i, i+1)
		r.heldTokens -= req.contextTokens
	}
}

// crash ends all requests of the runner and empties its cache.
func (r *runner) crash() {
	lost := r.held
	r.down, r.stepping, r.running, r.waiting, r.held, r.heldTokens = true, false, nil, nil, nil, 0
	r.cached, r.cachedTokens = map[coltsstore.Key]*cachedPart{}, 0
	r.crashes++
	for _, req := range lost {
		req.failed = true
		req.onFailed(true)
	}
}

// scheduleCrash schedules the crash of the scenario, if it has one.
func (sim *simulation) scheduleCrash() {
	crash := sim.scenario.Crash
	if crash.After == 0 {
		return
	}
	at := startTime.Add(crash.After)
	for i := 0; i < sim.scenario.Runners; i += 4 {
		r := sim.runners[runnerID(i)]
		sim.scheduler.at(at, r.crash)
		if crash.Down > silentAfter {
			sim.scheduler.at(at.Add(silentAfter), func() { sim.publish(r, startTime, true) })
		}
		sim.scheduler.at(at.Add(crash.Down), func() {
			r.down, r.coldUntil, r.coldFactor = false, sim.scheduler.now.Add(crash.Cold), crash.ColdFactor
			sim.publish(r, sim.scheduler.now, false)
		})
	}
}

// publish gives the state of a runner to all gateways.
func (sim *simulation) publish(r *runner, startedAt time.Time, silent bool) {
	for _, g := range sim.gateways {
		g.balancer.Update(coltsregistry.Entry{Silent: silent, Upstream: coltsregistry.Upstream{
			ID: r.id, Service: sim.engine.Name, DataCentre: r.dataCentre, Slots: sim.scenario.Engine.Slots,
			StartedAt: startedAt,
		}})
	}
}
