package coltsgateway

// What is logged and measured of a request: one line at its end, one for each attempt
// that failed, one for a refusal.

import (
	"context"
	"math"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
)

// loadDigits rounds loads to hundredths.
const loadDigits = 100

func (f *forwarding) logAttempt(failure *attemptError, verdict coltsattempt.Verdict) {
	fields := f.logFields(f.life.Asked.ID)
	fields["upstream"], fields["running"] = f.choice.Upstream.ID, f.choice.Running
	fields["phase"], fields["verdict"], fields["cause"] = failure.Phase.String(), verdict.String(), failure.Detail
	f.g.log.Info("An attempt failed.", fields)
}

func (f *forwarding) logRefusal(id string, refused *coltsattempt.RefusedError, r Refusal) {
	fields := f.logFields(id)
	fields["status"], fields["outcome"], fields["reason"] = r.Status, refused.Outcome, refused.Reason
	fields["cause"], fields["retry-after-ms"] = refused.Detail, r.RetryAfter.Milliseconds()
	f.g.log.Warn("A request was refused.", fields)
}

// report logs and measures how a request ended.
func (f *forwarding) report(ctx context.Context) {
	now := f.g.now()
	fields := f.logFields(f.life.Asked.ID)
	fields["upstreams"], fields["status"], fields["whole"] = f.from, f.status, f.endedWell
	fields["weights"] = f.choice.WeightsVersion(f.life.Asked.Model)
	fields["home"], fields["running"], fields["fetched"] = f.choice.Home, f.choice.Running, f.plan.Fetched()
	fields["load"] = math.Round(loadDigits*f.choice.Load) / loadDigits
	fields["saved"], fields["part"] = f.plan.Saved(), f.life.Affinity()
	if !f.firstAt.IsZero() {
		fields["first-ms"] = f.firstAt.Sub(f.life.Arrived).Milliseconds()
		f.g.latency.record(f.life.Route.Name+" first", f.firstAt.Sub(f.life.Arrived))
	}
	if f.waited > 0 {
		fields["waited-ms"] = f.waited.Milliseconds()
	}
	if f.pause > 0 {
		fields["longest-pause-ms"] = f.pause.Milliseconds()
		f.g.latency.record(f.life.Route.Name+" pause", f.pause)
	}
	f.g.latency.record(f.life.Route.Name+" whole", now.Sub(f.life.Arrived))
	if ctx.Err() != nil {
		f.g.metrics.Add(coltsmetric.CallerLeft, 1)
		fields["caller-left"] = true
	}
	f.g.log.Info("A request ended.", fields)
}

// logFields are what every line on the request has.
func (f *forwarding) logFields(id string) coltslog.Fields {
	now := f.g.now()
	fields := coltslog.Fields{
		"request": id, "control-age-ms": f.g.watcher.age(now).Milliseconds(),
	}
	if f.table != nil {
		fields["routes"] = f.table.Table.Version
	}
	if f.life != nil {
		fields["route"], fields["service"] = f.life.Route.Name, f.life.Service
		fields["elapsed-ms"] = now.Sub(f.life.Arrived).Milliseconds()
		fields["attempts"] = f.life.Attempts()
	}
	return fields
}
