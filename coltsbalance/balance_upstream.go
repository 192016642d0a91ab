// Package coltsbalance balances load over a service's upstreams, as one entry instance
// sees them.
//
// It combines the state that control reports for an upstream with what this instance
// observes itself: its in-flight requests there and recent failures.
package coltsbalance

// A model runner caches the prompt parts that it has prefilled, so requests that share
// parts are sent to the same runner unless it is loaded too far above the others. This
// home runner is chosen by rendezvous hashing of the part's ID, so that all instances agree
// on it without exchanging messages.

import (
	"fmt"
	"time"

	"coltsfootstall/coltsadvice"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltsweights"
)

const (
	// minBackoff and maxBackoff bound the time for which an upstream is avoided after a
	// failure. The time doubles with each consecutive failure.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// aliveAfterAnswer is how long after an answer an upstream counts as alive even if its
	// heartbeats to control are overdue.
	aliveAfterAnswer = 2 * time.Second
	// peerLoadTTL is how long the last known loads of the other instances count.
	peerLoadTTL = 2 * time.Second
)

// Demand holds the criteria by which an upstream is chosen for a request.
type Demand struct {
	Service coltsidentity.Service
	// Affinity is the key that is hashed to find the request's home upstream. Requests that
	// share cached parts have the same key. It is empty if the request has no home.
	Affinity []byte
	// Weight is the load that the request adds, and Capacity the load that one upstream has
	// room for. Both are in the unit of the service: KV cache tokens or requests.
	Weight   float64
	Capacity float64
	// Limit is the highest load that an upstream may have with the request, as a share of
	// the capacity; 0 means no limit.
	Limit float64
	// CacheDataCentre is the data centre from which the request's cached parts are fetched;
	// empty if none are. DataCentreBonus is subtracted from the cost of the upstreams there,
	// as a share of the capacity.
	CacheDataCentre coltsidentity.DataCentre
	DataCentreBonus float64
	// Prefill is the part of Weight that must be prefilled before the answer begins, which
	// delays the other requests at the upstream. PrefillPenalty is the cost of a unit of
	// prefill, as a multiple of the cost of a unit of load.
	Prefill        float64
	PrefillPenalty float64
	// HomeBonus is subtracted from the cost of the home upstream, as a share of the
	// capacity.
	HomeBonus float64
	// PacePenalty is the cost of an upstream whose streams run at half the average speed, as a
	// share of the capacity.
	PacePenalty float64
	// Model is the model that the request needs, and MinWeights the lowest version of its
	// weights that may serve the request; 0 allows any.
	Model      coltsidentity.Model
	MinWeights coltsweights.Number
	// Exclude lists the upstreams that were already tried and must not be chosen again.
	Exclude []coltsidentity.Upstream
}

// Choice is the upstream chosen for a request. The request counts towards the upstream's
// load until Done is called.
type Choice struct {
	Upstream coltsregistry.Upstream
	Weight   float64
	// Prefill is the part of Weight that is not prefilled yet.
	Prefill float64
	// Running is the number of this instance's in-flight requests at the upstream, including
	// this one.
	Running int
	// Load is the known load of the upstream including this request, as a share of the
	// demand's capacity.
	Load float64
	// Trial reports whether the request is the first one to the upstream after a pause.
	Trial bool
	// PermitUntil is until when the request may be sent to an upstream that is cold; zero if it was
	// warm when it was chosen.
	PermitUntil time.Time
	// Home reports whether the upstream is the home of the demand's affinity key.
	Home bool
}

// WeightsVersion returns the weights version of a model that the upstream has; 0 if unknown.
func (c Choice) WeightsVersion(model coltsidentity.Model) coltsweights.Number {
	for _, w := range c.Upstream.Weights {
		if w.Model == model {
			return w.Number
		}
	}
	return 0
}

// Outcome is how a request at an upstream ended, as evidence of the upstream's health.
type Outcome int

// The outcomes.
const (
	// OutcomeNeutral says nothing about the upstream's health.
	OutcomeNeutral Outcome = iota
	// OutcomeAnswered means that the upstream answered, with any status.
	OutcomeAnswered
	// OutcomeFull means that the upstream refused the request because it had no room.
	OutcomeFull
	// OutcomeFailed means that there was no answer or a broken one.
	OutcomeFailed
)

// NoUpstreamError reports that a service has no upstream that can be chosen.
type NoUpstreamError struct {
	Service coltsidentity.Service
	// Known is the number of the service's upstreams in any state.
	Known int
}

// PausedError reports that each usable upstream of a service has asked for a pause.
type PausedError struct {
	Service coltsidentity.Service
	// Until is when the first of these pauses ends.
	Until time.Time
}

// Error returns the service and the end of the pause.
func (e *PausedError) Error() string {
	return fmt.Sprintf("the upstreams of service %q have asked for a pause, the first until %s",
		e.Service, e.Until.Format(time.RFC3339Nano))
}

// Error returns the service and the number of its known upstreams.
func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("service %q has no usable upstream (%d known)", e.Service, e.Known)
}

// FullError reports that none of the compared upstreams has room for a request.
type FullError struct {
	Service coltsidentity.Service
	// Load is the load that the compared upstream with the lowest cost would have with the
	// request, as a share of its capacity; 0 if none was compared.
	Load float64
	// Waiting is the number of requests queued for the service.
	Waiting int
	// Cold reports whether the upstreams that could be chosen are cold and there is no permit for them.
	Cold bool
}

// Error returns the service, the load and the length of the queue.
func (e *FullError) Error() string {
	if e.Cold {
		return fmt.Sprintf("service %q has no room: its usable upstreams are cold and get few requests", e.Service)
	}
	return fmt.Sprintf("service %q has no room: least loaded upstream would be at %.2f of capacity, %d requests queued",
		e.Service, e.Load, e.Waiting)
}

// upstream is what this instance knows about an upstream.
type upstream struct {
	record coltsregistry.Upstream
	// silent reports whether the upstream's heartbeats to control are overdue.
	silent bool
	// advice is what the upstream has said about further requests.
	advice coltsadvice.Advice
	// loading reports whether the upstream is loading weights.
	loading bool
	// running is the number of this instance's in-flight requests at the upstream, and load
	// the sum of their weights.
	running int
	load    float64
	// chosen is the number of choices since the last comparison of loads.
	chosen int
	// heardAt is when this instance last got a byte from the upstream; zero if it never has.
	// waitingSince is since when it has been waiting for one.
	heardAt      time.Time
	waitingSince time.Time
	warmup       warmup
	// prefill is the part of load whose prompts are not prefilled yet.
	prefill float64
	// peerLoad is the load that the other instances have there. It counts until
	// peerLoadUntil.
	peerLoad      float64
	peerLoadUntil time.Time
	// peerMean is the moving average of peerLoad.
	peerMean loadMean
	// gap is the moving average of the time between events of the streams that this
	// instance gets from the upstream. It counts until gapUntil.
	gap      time.Duration
	gapUntil time.Time
	// failures is the number of consecutive failures. The upstream is avoided until
	// backoffUntil.
	failures     int
	backoffUntil time.Time
	// aliveUntil is the time until which the upstream counts as alive after its last answer.
	aliveUntil time.Time
}

// heard records that this instance got a byte from the upstream.
func (u *upstream) heard(now time.Time) { u.heardAt, u.waitingSince = now, now }

// usable reports whether new requests may be sent to the upstream, now or after a pause.
func (u *upstream) usable(now time.Time) bool {
	return !u.advice.Leaving() && u.record.State == coltsregistry.StateReady && (!u.silent || now.Before(u.aliveUntil))
}

// totalLoad returns the known load of all instances.
func (u *upstream) totalLoad(now time.Time) float64 {
	if now.Before(u.peerLoadUntil) {
		return u.load + u.peerLoad
	}
	return u.load
}

// avoided reports whether the upstream is chosen only if there is no other.
func (u *upstream) avoided(now time.Time) bool { return u.loading || now.Before(u.backoffUntil) }

// weightsVersion returns the weights version of a model that the upstream has; 0 if unknown.
func (u *upstream) weightsVersion(model coltsidentity.Model) coltsweights.Number {
	return Choice{Upstream: u.record}.WeightsVersion(model)
}

// recordOutcome updates the upstream's health after a request has ended.
func (u *upstream) recordOutcome(outcome Outcome, now time.Time) {
	switch outcome {
	case OutcomeAnswered:
		u.failures = 0
		u.aliveUntil = now.Add(aliveAfterAnswer)
	case OutcomeFull, OutcomeFailed:
		backoff := min(maxBackoff, minBackoff<<min(u.failures, 10))
		u.failures++
		u.backoffUntil = now.Add(backoff)
	}
}
