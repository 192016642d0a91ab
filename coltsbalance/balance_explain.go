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
	switch {
	case b.isEvacuated(u.record.DataCentre):
		return ExclusionEvacuated
	case !u.usable(now):
		return u.unusable()
	case slices.Contains(d.Exclude, u.record.ID):
		return ExclusionTried
	case u.weightsVersion(d.Model) < d.MinWeights:
		return ExclusionOldWeights
	case !u.advice.PausedUntil(now).IsZero():
		return ExclusionPaused
	case b.lacksPermit(u, now):
		return ExclusionNoPermit
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
}

// Explanation is what a choice for a demand would consider. The choice itself compares the home with some
// upstreams that are drawn at random, so it may take one with a higher cost than the first.
type Explanation struct {
	// Upstreams are all of the service, candidates first, the one with the lowest cost at the head.
	Upstreams []Explained
	// Compared is the number of candidates that are drawn at random beside the home.
	Compared int
	// OverLimit is set if the candidate with the lowest cost has no room, so the request would wait.
	OverLimit bool
}

// Candidates returns the number of upstreams that may be chosen.
func (e Explanation) Candidates() int {
	n := 0
	for _, u := range e.Upstreams {
		if u.Excluded == ExclusionNone {
			n++
		}
	}
	return n
}

// Explain returns what a choice for a demand would consider now. It changes nothing.
func (b *Balancer) Explain(d Demand, now time.Time) Explanation {
	var explained []Explained
	var candidates []candidate
	var loading []bool
	preferred := false
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for _, u := range s.upstreams {
			if u.record.Service != d.Service {
				continue
			}
			e := Explained{
				Upstream: u.record.ID, DataCentre: u.record.DataCentre, Excluded: b.exclusion(u, d, now),
				OwnLoad: u.load, PeerLoad: u.peerLoad, PeerLoadAt: u.peerLoadUntil.Add(-peerLoadTTL), PeerLoadUntil: u.peerLoadUntil,
			}
			explained, candidates = append(explained, e), append(candidates, b.newCandidate(u, d, now))
			preferred = preferred || e.Excluded == ExclusionNone && !u.avoided(now)
			loading = append(loading, u.loading)
		}
		s.mu.Unlock()
	}
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
	e := Explanation{Upstreams: explained, Compared: maxSample}
	if len(explained) > 0 && explained[0].Excluded == ExclusionNone {
		e.OverLimit = d.Limit > 0 && explained[0].load() > 0 && explained[0].Terms.Load > d.Limit
	}
	return e
}

// load returns the load that is known of an upstream.
func (e Explained) load() float64 { return e.OwnLoad + e.PeerLoad }

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
	}
}
