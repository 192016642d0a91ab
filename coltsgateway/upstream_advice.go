package coltsgateway

// What an upstream says about further requests in its responses, also in those that are discarded.

import (
	"time"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
)

// recordLeaving records that the upstream has said that it is leaving. A response that names another
// upstream comes from that one.
func (x *exchange) recordLeaving() {
	id, startedAt := x.choice.Upstream.ID, x.choice.Upstream.StartedAt
	if !x.meta.Leaving || x.meta.Upstream != "" && x.meta.Upstream != id {
		return
	}
	if x.g.balancer.RecordLeaving(id, startedAt) {
		x.g.metrics.Add(coltsmetric.UpstreamsLeft, 1)
		x.g.log.Info("An upstream says that it is leaving.", coltslog.Fields{
			"upstream": id, "started": startedAt, "status": x.resp.StatusCode(),
		})
	}
}

// recordPause records the pause that the upstream has asked for with the response to this request. A
// late copy of another response says nothing about the present.
func (x *exchange) recordPause() {
	if x.meta.RetryAfter == 0 {
		return
	}
	now := x.g.now()
	until := now.Add(x.meta.RetryAfter)
	if x.g.balancer.RecordPause(x.choice.Upstream.ID, x.choice.Upstream.StartedAt, until, now) {
		x.g.metrics.Add(coltsmetric.Pauses, 1)
		x.g.log.Info("An upstream asked for a pause.", coltslog.Fields{
			"upstream": x.choice.Upstream.ID, "until": until.Format(time.RFC3339Nano),
			"retry-after-ms": x.meta.RetryAfter.Milliseconds(), "not-run": x.meta.NotRun,
		})
	}
}

// recordEnded records that nothing listens any more at the address of a choice.
func (g *Gateway) recordEnded(choice coltsbalance.Choice) {
	g.balancer.RecordEnded(choice.Upstream.Process(), g.now())
}

// checkWithdrawn returns a failure if, since it was chosen, the upstream has asked for a pause or said that
// it is leaving, its data centre was evacuated, or the permit for it has expired while it is cold.
func (g *Gateway) checkWithdrawn(choice coltsbalance.Choice) *attemptError {
	if !g.balancer.IsWithdrawn(choice, g.now()) {
		return nil
	}
	return newAttemptError(coltsattempt.PhaseUnsent, coltsbalance.OutcomeNeutral,
		"upstream %s is leaving, evacuated, has asked for a pause, or is cold without a valid permit meanwhile", choice.Upstream.ID)
}
