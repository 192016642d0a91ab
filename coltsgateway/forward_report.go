package coltsgateway

// Logs and metrics of a request: one line at its end, one for each failed attempt, one for a
// refusal.

import (
	"math"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
)

// loadRounding rounds loads to two decimal places.
const loadRounding = 100

func (f *forwarding) logAttempt(failure *attemptError, verdict coltsattempt.Verdict) {
	fields := f.logFields(f.lifecycle.Inbound.ID)
	fields["upstream"], fields["running"] = f.choice.Upstream.ID, f.choice.Running
	fields["phase"], fields["verdict"], fields["cause"] = failure.Phase.String(), verdict.String(), failure.Detail
	f.g.log.Info("An attempt failed.", fields)
}

func (f *forwarding) logRefusal(id string, refused *coltsattempt.RefusedError, r ErrorResponse) {
	fields := f.logFields(id)
	fields["status"], fields["outcome"], fields["reason"] = r.Status, refused.Outcome, refused.Reason
	fields["cause"], fields["retry-after-ms"] = refused.Detail, r.RetryAfter.Milliseconds()
	f.g.log.Warn("A request was refused.", fields)
}

// report logs how a request ended and records its latencies.
func (f *forwarding) report(callerLeft bool) {
	now := f.g.now()
	fields := f.logFields(f.lifecycle.Inbound.ID)
	fields["upstreams"], fields["status"], fields["whole"] = f.tried, f.status, f.completed
	fields["weights"] = f.choice.WeightsVersion(f.lifecycle.Inbound.Model)
	fields["home"], fields["running"], fields["fetched"] = f.choice.Home, f.choice.Running, f.plan.FetchedTokens()
	fields["load"] = math.Round(loadRounding*f.choice.Load) / loadRounding
	fields["saved"], fields["part"] = f.plan.SavedTokens(), f.lifecycle.Affinity()
	if !f.firstAt.IsZero() {
		fields["first-ms"] = f.firstAt.Sub(f.lifecycle.Arrived).Milliseconds()
		f.g.latency.record(f.lifecycle.Route.Name+" first", f.firstAt.Sub(f.lifecycle.Arrived))
	}
	if f.waited > 0 {
		fields["waited-ms"] = f.waited.Milliseconds()
	}
	if f.longestPause > 0 {
		fields["longest-pause-ms"] = f.longestPause.Milliseconds()
		f.g.latency.record(f.lifecycle.Route.Name+" pause", f.longestPause)
	}
	f.g.latency.record(f.lifecycle.Route.Name+" whole", now.Sub(f.lifecycle.Arrived))
	if callerLeft {
		f.g.metrics.Add(coltsmetric.CallerDisconnects, 1)
		fields["caller-left"] = true
	}
	f.g.log.Info("A request ended.", fields)
}

// logFields returns the fields common to all log lines about the request.
func (f *forwarding) logFields(id string) coltslog.Fields {
	now := f.g.now()
	fields := coltslog.Fields{
		"request": id, "control-age-ms": f.g.watcher.staleness(now).Milliseconds(),
	}
	if f.table != nil {
		fields["routes"] = f.table.Table.Version
	}
	if f.lifecycle != nil {
		fields["route"], fields["service"] = f.lifecycle.Route.Name, f.lifecycle.Service
		fields["elapsed-ms"] = now.Sub(f.lifecycle.Arrived).Milliseconds()
		fields["attempts"] = f.lifecycle.Attempts()
	}
	return fields
}
