package coltsgateway

// What this gateway and the others know of requests and parts of prompts that crash upstreams passes through control's
// leader, which also grants the trials of quarantined requests.

import (
	"context"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
)

// trialClaimTimeout bounds the call that claims a trial, whose request waits for it.
const trialClaimTimeout = 300 * time.Millisecond

// applyPoison applies which parts of prompts are blocked, and the crashes that they explain.
func (w *controlWatcher) applyPoison(reply *coltspb.WatchReply, now time.Time) {
	verdict := coltswire.DecodePoisonVerdict(reply, now)
	for _, b := range w.g.poison.Apply(verdict) {
		w.g.log.Warn("A part of prompts crashes upstreams; prompts with it are refused.", coltslog.Fields{
			"model": b.Part.Model, "part": b.Part.ID, "until": b.Until, "source": w.source,
		})
	}
	w.g.suspects.Explain(verdict.Explained, now)
	w.g.metrics.Put(coltsmetric.PartsBlocked, int64(len(verdict.Blocks)))
}

// mergeSuspects merges the requests that other instances saw crash upstreams, or succeed since. The reply was sent
// after askedAt.
func (w *controlWatcher) mergeSuspects(reply *coltspb.WatchReply, now, askedAt time.Time) {
	for _, m := range reply.GetSuspects() {
		suspect := coltswire.DecodeSuspect(m, now)
		// A success takes back the crashes before it only.
		suspect.SucceededAt = coltswire.DecodeSuspect(m, askedAt).SucceededAt
		if !w.g.suspects.Merge(suspect, now) {
			continue
		}
		message := "A request is suspected of crashing upstreams."
		if len(suspect.Crashes) == 0 {
			message = "A request that was suspected of crashing upstreams has succeeded."
		}
		w.g.log.Warn(message, coltslog.Fields{
			"fingerprint": suspect.Fingerprint, "upstreams": suspect.Upstreams, "source": w.source,
		})
	}
}

// claimTrial claims the trial of a quarantined request from the leader and reports whether it was granted. The trial
// ends at a deadline at the latest.
func (w *controlWatcher) claimTrial(ctx context.Context, f coltsidentity.Digest, deadline time.Time) bool {
	leader := w.leader.Load()
	if leader == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, trialClaimTimeout)
	defer cancel()
	now := w.g.now()
	reply, err := (*leader).ClaimTrial(ctx, &coltspb.ClaimTrialRequest{
		Suspect: coltswire.EncodeSuspect(w.g.suspects.Find(f), now), LeftNanos: int64(deadline.Sub(now)),
	})
	if err != nil {
		w.g.log.Info("The trial of a quarantined request could not be claimed.", coltslog.Fields{"fingerprint": f, "error": err})
		return false
	}
	suspect := coltswire.DecodeSuspect(reply.GetSuspect(), w.g.now())
	w.g.suspects.Merge(suspect, w.g.now())
	if reply.GetGranted() {
		w.g.suspects.BeginTrial(f, now)
	}
	return reply.GetGranted()
}
