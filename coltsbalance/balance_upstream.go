// Package coltsbalance is the aggregate of the upstreams as one entry instance sees
// them: which of a service's upstreams a request goes to.
//
// What control says of an upstream is combined with what this instance saw itself:
// how much it has sent there that is not answered, and what failed lately.
package coltsbalance

// A prompt's parts are kept by the runner that read them, so requests that share
// parts go to the same runner as long as that one is not loaded above the others. The
// runner follows from the part's name alone, so instances agree without a message.

import (
	"fmt"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltsweights"
)

const (
	// restFirst and restMost bound how long an upstream is left alone after a
	// failure; the time doubles with each failure in a row.
	restFirst = 200 * time.Millisecond
	restMost  = 5 * time.Second
	// provenFor is how long an answer speaks for an upstream that has fallen silent
	// towards control.
	provenFor = 2 * time.Second
	// othersFor is how long the word of the other instances' loads counts.
	othersFor = 2 * time.Second
)

// Demand is what a request asks of an upstream.
type Demand struct {
	Service coltsidentity.Service
	// Affinity names what the request shares with others; empty for nothing.
	Affinity []byte
	// Weight is the work that it means, and Capacity what one upstream has room for,
	// both in the unit of the service: tokens of memory, or requests.
	Weight   float64
	Capacity float64
	// Limit is the share of the capacity up to which an upstream may be loaded by the
	// request; 0 for no limit.
	Limit float64
	// Near is the data centre from which the request's parts are fetched, empty for
	// none; NearBonus is what it is worth to reach an upstream there.
	Near      coltsidentity.DataCentre
	NearBonus float64
	// Reading is the work that must be done before the answer begins, in the unit of
	// Weight; it holds up what runs at the upstream meanwhile. ReadingBias is what the
	// reading of a whole capacity costs.
	Reading     float64
	ReadingBias float64
	// HomeBonus is what it is worth to reach the home, as a share of the capacity.
	HomeBonus float64
	// PaceBias is what it costs if an upstream's streams come at half the pace of the
	// others', as a share of the capacity.
	PaceBias float64
	// Model is the model that the request needs, and Least the lowest version of it
	// that may serve the request; 0 for any.
	Model coltsidentity.Model
	Least coltsweights.Number
	// Exclude are upstreams that were tried already.
	Exclude []coltsidentity.Upstream
}

// Choice is an upstream that a request goes to. It counts as loaded until Done.
type Choice struct {
	Upstream coltsregistry.Upstream
	Weight   float64
	// Reading is what is not read yet of the weight.
	Reading float64
	// Running is the number of this instance's requests there, this one included.
	Running int
	// Load is what is known to be under way there, this request included, as a share
	// of the demand's capacity.
	Load float64
	// Home says that it is the upstream that the demand's affinity leads to.
	Home bool
}

// WeightsVersion returns the version of a model that the upstream has, 0 if unknown.
func (c Choice) WeightsVersion(model coltsidentity.Model) coltsweights.Number {
	for _, w := range c.Upstream.Weights {
		if w.Model == model {
			return w.Number
		}
	}
	return 0
}

// Outcome says how a request at an upstream ended, as far as it speaks for or against
// the upstream.
type Outcome int

// The outcomes.
const (
	// OutcomeUntold says nothing of the upstream.
	OutcomeUntold Outcome = iota
	// OutcomeAnswered is an answer, of whatever kind.
	OutcomeAnswered
	// OutcomeFull is a refusal because it had no room.
	OutcomeFull
	// OutcomeFailed is no answer, or a broken one.
	OutcomeFailed
)

// NoUpstreamError reports that a service has no upstream to send to.
type NoUpstreamError struct {
	Service coltsidentity.Service
	// Known is the number of its upstreams of any state.
	Known int
}

// Error names the service.
func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("service %q has no usable upstream of %d known", e.Service, e.Known)
}

// FullError reports that no upstream that was looked at has room for a request.
type FullError struct {
	Service coltsidentity.Service
	// Load is that of the least loaded one, the request included, as a share of its
	// capacity; 0 if none was looked at.
	Load float64
	// Waiting is the number of requests that wait for it.
	Waiting int
}

// Error gives load and queue.
func (e *FullError) Error() string {
	return fmt.Sprintf("service %q has no room: its least loaded upstream would be at %.2f of its capacity, and %d wait",
		e.Service, e.Load, e.Waiting)
}

// upstream is what this instance knows of one.
type upstream struct {
	record  coltsregistry.Upstream
	silent  bool
	loading bool
	running int
	load    float64
	// reading is the part of the load that is not read yet.
	reading float64
	// others is what the other instances have under way here, until it is too old.
	others      float64
	othersUntil time.Time
	// gap is the usual time between events of its streams, as seen here lately; it counts
	// until gapUntil.
	gap      time.Duration
	gapUntil time.Time
	// failures counts those in a row; restUntil is until when it is left alone.
	failures  int
	restUntil time.Time
	// provenUntil is until when an answer speaks for it.
	provenUntil time.Time
}

// usable says whether new work may be sent at all.
func (u *upstream) usable(now time.Time) bool {
	return u.record.State == coltsregistry.StateReady && (!u.silent || now.Before(u.provenUntil))
}

// total is all that is known to be under way.
func (u *upstream) total(now time.Time) float64 {
	if now.Before(u.othersUntil) {
		return u.load + u.others
	}
	return u.load
}

// rests says whether the upstream is left alone while others can be chosen.
func (u *upstream) rests(now time.Time) bool { return u.loading || now.Before(u.restUntil) }

// has returns the version of a model that the upstream has, 0 if unknown.
func (u *upstream) has(model coltsidentity.Model) coltsweights.Number {
	return Choice{Upstream: u.record}.WeightsVersion(model)
}

// note takes in how a request ended.
func (u *upstream) note(outcome Outcome, now time.Time) {
	switch outcome {
	case OutcomeAnswered:
		u.failures = 0
		u.provenUntil = now.Add(provenFor)
	case OutcomeFull, OutcomeFailed:
		rest := min(restMost, restFirst<<min(u.failures, 10))
		u.failures++
		u.restUntil = now.Add(rest)
	}
}
