package coltsbalance

// Explains a choice to operators: what excludes upstreams and how the cost of the others comes about. The
// checks and the terms are those of the choice itself, and nothing is changed.

import (
	"cmp"
	"slices"
	"time"

	"coltsfootstall/coltsidentity"
)

// Exclusion is the reason why an upstream is not chosen for a demand.
type Exclusion string

// The exclusions, in the order in which they are checked.
const (
	ExclusionNone        Exclusion = ""
	ExclusionEvacuated   Exclusion = "evacuated"
	ExclusionLeaving     Exclusion = "leaving"
	ExclusionNotReady    Exclusion = "not-ready"
	ExclusionSilent      Exclusion = "silent"
	ExclusionTried       Exclusion = "tried"
	ExclusionOldWeights  Exclusion = "old-weights"
	ExclusionPaused      Exclusion = "paused"
	ExclusionNoPermit    Exclusion = "cold-without-permit"
	ExclusionBackingOff  Exclusion = "backing-off"
	ExclusionLoadWeights Exclusion = "loading-weights"
)

// exclusion returns what excludes an upstream, whose shard is locked, whatever the other upstreams are.
func (b *Balancer) exclusion(u *upstream, d Demand, now time.Time) Exclusion {
	if b.isEvacuated(u.record.DataCentre) {
		return ExclusionEvacuated
	}
	if e := u.unsuitable(d, now); e != ExclusionNone {
		return e
	}
	switch {
	case !u.advice.PausedUntil(now).IsZero():
		return ExclusionPaused
	case b.lacksPermit(u, now):
		return ExclusionNoPermit
	}
	return ExclusionNone
}

// unsuitable returns why an upstream can't serve a demand, neither now nor after a pause, with a permit or
// after an evacuation.
func (u *upstream) unsuitable(d Demand, now time.Time) Exclusion {
	switch {
	case !u.usable(now):
		return u.unusable()
	case slices.Contains(d.Exclude, u.record.ID):
		return ExclusionTried
	case u.weightsVersion(d.Model) < d.MinWeights:
		return ExclusionOldWeights
	}
	return ExclusionNone
}

// unusable returns why an upstream is not usable.
func (u *upstream) unusable() Exclusion {
	switch {
	case u.advice.Leaving():
		return ExclusionLeaving
	case u.silent:
		return ExclusionSilent
	}
	return ExclusionNotReady
}

// CostTerms are the terms of the cost of an upstream, each as a share of its capacity. Bonuses are negative.
type CostTerms struct {
	// Load is the load that the upstream would have with the demand.
	Load            float64
	HomeBonus       float64
	DataCentreBonus float64
	Cold            float64
	// Pace is for streams that are slower than those of the other upstreams, Prefill for prompts that are not
	// prefilled yet, the demand's among them.
	Pace    float64
	Prefill float64
}

// Sum returns the cost.
func (t CostTerms) Sum() float64 {
	return t.Load + t.HomeBonus + t.DataCentreBonus + t.Cold + t.Pace + t.Prefill
}

// termsOf returns the terms of the cost of a candidate.
func termsOf(d Demand, c candidate, home bool) CostTerms {
	capacity := max(1, d.Capacity)
	t := CostTerms{
		Load: (c.load + d.Weight) / capacity,
		Pace: d.PacePenalty * c.slowdown, Prefill: d.PrefillPenalty * (c.prefill + d.Prefill) / capacity,
	}
	if home && !c.cold {
		t.HomeBonus = -d.HomeBonus
	}
	if c.inCacheDataCentre {
		t.DataCentreBonus = -d.DataCentreBonus
	}
	if c.cold {
		t.Cold = coldCost
	}
	return t
}

// Explained is what a choice for a demand would consider of one upstream.
type Explained struct {
	Upstream   coltsidentity.Upstream
	DataCentre coltsidentity.DataCentre
	// Excluded is why it is not a candidate.
	Excluded Exclusion
	Home     bool
	Terms    CostTerms
	// OwnLoad is the load of this instance, PeerLoad that of the others, which is not used from PeerLoadUntil
	// on. PeerLoadAt is when it came.
	OwnLoad       float64
	PeerLoad      float64
	PeerLoadAt    time.Time
	PeerLoadUntil time.Time
	// PausedUntil is when the pause that it has asked for ends; zero for none.
	PausedUntil time.Time
	// Utilisation is the load with the demand as a limit counts it.
	Utilisation float64
}

// Explanation is what a choice for a demand would consider. The choice itself compares the home with some
// upstreams that are drawn at random, so it may take one with a higher cost than the first.
type Explanation struct {
	// Upstreams are all of the service, candidates first, the one with the lowest cost at the head.
	Upstreams []Explained
	// Compared is the number of candidates that are drawn at random beside the home.
	Compared int
	// Err is the error that a choice would return; nil if it would find an upstream. A choice may still find
	// no room at those that it draws.
	Err error
}

// Explain returns what a choice for a demand would consider now. It changes nothing.
func (b *Balancer) Explain(d Demand, now time.Time) Explanation {
	var explained []Explained
	var candidates []candidate
	var loading []bool
	preferred := false
	b.each(func(u *upstream) {
		if u.record.Service != d.Service {
			return
		}
		e := Explained{
			Upstream: u.record.ID, DataCentre: u.record.DataCentre, Excluded: b.exclusion(u, d, now),
			OwnLoad: u.load, PeerLoad: u.peerLoad, PeerLoadAt: u.peerLoadUntil.Add(-peerLoadTTL), PeerLoadUntil: u.peerLoadUntil,
			PausedUntil: u.advice.PausedUntil(now),
		}
		explained, candidates = append(explained, e), append(candidates, b.newCandidate(u, d, now))
		preferred = preferred || e.Excluded == ExclusionNone && !u.avoided(now)
		loading = append(loading, u.loading)
	})
	if preferred {
		excludeAvoided(explained, candidates, loading)
	}
	explainCosts(d, explained, candidates)
	slices.SortFunc(explained, func(x, y Explained) int {
		return cmp.Or(
			cmp.Compare(min(1, len(x.Excluded)), min(1, len(y.Excluded))),
			cmp.Compare(x.Terms.Sum(), y.Terms.Sum()),
			cmp.Compare(x.Upstream, y.Upstream),
		)
	})
	return Explanation{Upstreams: explained, Compared: b.drawn(d, now), Err: b.explainedError(d, explained, now)}
}

// drawn returns how many candidates pick draws at random for a demand.
func (b *Balancer) drawn(d Demand, now time.Time) int {
	switch {
	case b.cfg.Policy == PolicyRoundRobin:
		return 0
	case b.averages(d) || !b.isInformed(d.Service, now):
		return 1
	}
	return maxSample
}

// explainedError returns the error of a choice among upstreams that are sorted as in an Explanation.
func (b *Balancer) explainedError(d Demand, explained []Explained, now time.Time) error {
	if len(explained) == 0 || explained[0].Excluded != ExclusionNone {
		var pausedUntil time.Time
		for _, e := range explained {
			if e.Excluded == ExclusionPaused && (pausedUntil.IsZero() || e.PausedUntil.Before(pausedUntil)) {
				pausedUntil = e.PausedUntil
			}
		}
		return b.noCandidateError(d, len(explained), pausedUntil, now)
	}
	if load := explained[0].Utilisation; b.limits(d) && load > d.Limit {
		return &FullError{Service: d.Service, Load: load}
	}
	return nil
}

// excludeAvoided marks the candidates that are chosen only if there are no others.
func excludeAvoided(explained []Explained, candidates []candidate, loading []bool) {
	for i, c := range candidates {
		if explained[i].Excluded == ExclusionNone && c.avoided {
			explained[i].Excluded = ExclusionBackingOff
			if loading[i] {
				explained[i].Excluded = ExclusionLoadWeights
			}
		}
	}
}

// explainCosts sets the home and the terms of the candidates.
func explainCosts(d Demand, explained []Explained, candidates []candidate) {
	var indexes []int
	var usable []candidate
	for i, c := range candidates {
		if explained[i].Excluded == ExclusionNone {
			indexes, usable = append(indexes, i), append(usable, c)
		}
	}
	setSlowdowns(usable)
	home := homeOf(d, usable)
	for k, c := range usable {
		explained[indexes[k]].Home = k == home
		explained[indexes[k]].Terms = termsOf(d, c, k == home)
		explained[indexes[k]].Utilisation = utilisation(d, usable, k)
	}
}
