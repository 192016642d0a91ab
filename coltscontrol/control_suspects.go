package coltscontrol

// The leader adds up what entries see of requests and parts of prompts that crash upstreams.

import (
	"context"
	"time"

	"coltsfootstall/coltslog"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
)

const (
	// maxSuspects is the greatest number of suspects in one reply.
	maxSuspects = 64
	// minSharedCrashes is the number of crashes from which a suspect is sent to entries.
	minSharedCrashes = 2
)

// sweepPoison decides again which parts of prompts are blocked.
func (c *Control) sweepPoison() {
	now := c.cfg.Now()
	for _, decision := range c.poison.Sweep(now) {
		fields := coltslog.Fields{
			"model": decision.Part.Model, "part": decision.Part.ID, "until": decision.Until,
			"upstreams": decision.Crashed, "first-crash-ago-ms": now.Sub(decision.FirstCrashAt).Milliseconds(),
			"others-answered-ago-ms": now.Sub(decision.OthersAnsweredAt).Milliseconds(),
		}
		if !decision.AnsweredAt.IsZero() {
			fields["answered-ago-ms"] = now.Sub(decision.AnsweredAt).Milliseconds()
		}
		c.log.Warn("A part of prompts crashes upstreams; prompts with it are refused.", fields)
	}
	c.suspects.Explain(c.poison.Verdict().Explained, now)
}

// mergeSuspects records the requests that an entry saw running on upstreams that crashed, and those of them that
// have succeeded since.
func (s *controlServer) mergeSuspects(r *coltspb.WatchRequest) {
	now := s.c.cfg.Now()
	for _, m := range r.GetSuspects() {
		suspect := coltswire.DecodeSuspect(m, now)
		if !s.c.suspects.Merge(suspect, now) {
			continue
		}
		message := "A request was running on an upstream that crashed."
		if len(suspect.Crashes) == 0 {
			message = "A request that was running on an upstream that crashed has succeeded."
		}
		s.c.log.Info(message, coltslog.Fields{
			"fingerprint": suspect.Fingerprint, "upstreams": suspect.Upstreams, "entry": r.GetMember().GetId(),
		})
		s.c.watchChanged.Broadcast()
	}
}

// sharedSuspects returns the suspects of at least minSharedCrashes crashes, and those that have been cleared of as
// many. Most requests with fewer were only running at the same time as the one that caused the crash.
func (s *controlServer) sharedSuspects(now time.Time) []*coltspb.Suspect {
	shared := s.c.suspects.Shared(minSharedCrashes, now)
	return coltswire.EncodeSuspects(shared[:min(len(shared), maxSuspects)], now)
}

// ClaimTrial grants an entry the trial of a quarantined request, if no other trial of it is in progress. Entries send
// what they know of the request, because a new leader may not have heard of it yet.
func (s *controlServer) ClaimTrial(ctx context.Context, r *coltspb.ClaimTrialRequest) (*coltspb.ClaimTrialReply, error) {
	leader, err := s.c.leaderClient(r.GetForwarded())
	if err != nil {
		return nil, err
	}
	if leader != nil {
		r.Forwarded = true
		return leader.ClaimTrial(ctx, r)
	}
	now := s.c.cfg.Now()
	known := coltswire.DecodeSuspect(r.GetSuspect(), now)
	s.c.suspects.Merge(known, now)
	suspect, granted := s.c.suspects.ClaimTrial(known.Fingerprint, now.Add(time.Duration(r.GetLeftNanos())), now)
	s.c.log.Info("The trial of a quarantined request was claimed.", coltslog.Fields{
		"fingerprint": known.Fingerprint, "granted": granted, "upstreams": suspect.Upstreams, "failed-trials": suspect.FailedTrials,
	})
	return &coltspb.ClaimTrialReply{Granted: granted, Suspect: coltswire.EncodeSuspect(suspect, now)}, nil
}
