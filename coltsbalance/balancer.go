package coltsbalance

// Upstreams are kept in shards by ID. Choose visits the shards one after another and then
// locks the shard of the chosen upstream once more. Another request may be sent there in
// between, which makes the balance slightly worse but breaks no guarantee.

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltsshard"
)

// Balancer holds the upstreams and chooses among them. It is safe for concurrent use.
type Balancer struct {
	cfg Config
	// roundRobin counts the choices of the round-robin policy.
	roundRobin atomic.Uint64
	// evacuated is nil while no data centre is evacuated.
	evacuated     atomic.Pointer[evacuations]
	coldDurations coltsregistry.ColdDurations
	coldWaits     atomic.Int64
	// informedAt is when the leader last told the loads of the other instances; nil if it never has.
	informedAt atomic.Pointer[time.Time]
	imbalance  imbalance
	// loadAge is the duration that RecordLoadAge got last; the longest one before the first call.
	loadAge atomic.Int64
	shards  [coltsshard.Count]balancerShard
}

type balancerShard struct {
	mu        sync.Mutex
	upstreams map[coltsidentity.Upstream]*upstream
	// left holds when the processes started that said that they are leaving and were forgotten since.
	left map[coltsidentity.Upstream]time.Time
}

// Policy is a load-balancing policy.
type Policy string

// The policies. Round-robin serves only as a baseline for comparison.
const (
	// PolicyLeastLoaded chooses the least loaded of a random sample of the upstreams.
	PolicyLeastLoaded Policy = "least-loaded"
	// PolicyRoundRobin chooses the upstreams in turn and ignores load limits.
	PolicyRoundRobin Policy = "round-robin"
)

// Policies returns the names of all policies.
func Policies() []string { return []string{string(PolicyLeastLoaded), string(PolicyRoundRobin)} }

// Config is the configuration of a balancer.
type Config struct {
	// Policy is the load-balancing policy; empty means PolicyLeastLoaded.
	Policy Policy
	// LoadEstimate says how the load of the other instances is estimated; empty means EstimateNewest.
	LoadEstimate LoadEstimate
	// LoadReport says how loads are reported to the other instances; empty means ReportHeld.
	LoadReport LoadReport
	// Random returns a random number from 0 to n-1; nil means rand.IntN.
	Random func(n int) int
}

// New returns a balancer without upstreams.
func New(cfg Config) *Balancer {
	if cfg.Random == nil {
		cfg.Random = rand.IntN
	}
	b := &Balancer{cfg: cfg}
	b.loadAge.Store(math.MaxInt64)
	for i := range b.shards {
		b.shards[i].upstreams = map[coltsidentity.Upstream]*upstream{}
		b.shards[i].left = map[coltsidentity.Upstream]time.Time{}
	}
	return b
}

// each calls f for each upstream, with its shard locked.
func (b *Balancer) each(f func(u *upstream)) {
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for _, u := range s.upstreams {
			f(u)
		}
		s.mu.Unlock()
	}
}

// Update sets the state of an upstream as control reports it. An entry that is older than
// the known one is ignored.
func (b *Balancer) Update(e coltsregistry.Entry) {
	id := e.Upstream.ID
	s := &b.shards[coltsshard.Of(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	u, known := s.upstreams[id]
	if !known {
		u = &upstream{}
		s.upstreams[id] = u
	}
	older := known && (e.Upstream.StartedAt.Before(u.record.StartedAt) ||
		e.Upstream.StartedAt.Equal(u.record.StartedAt) && e.Upstream.State < u.record.State &&
			e.Upstream.Sequence <= u.record.Sequence)
	if older {
		return
	}
	if known && e.Upstream.StartedAt.After(u.record.StartedAt) {
		u.failures, u.backoffUntil = 0, time.Time{}
	}
	u.advice.Restart(e.Upstream.StartedAt)
	if startedAt, left := s.left[id]; left {
		u.advice.Leave(startedAt)
	}
	u.warmup.update(u.record, e.Upstream)
	u.record, u.silent, u.loading = e.Upstream, e.Silent, e.Loading
}

// Forget removes the upstreams for which keep returns false, except those that still have
// in-flight requests of this instance.
func (b *Balancer) Forget(keep func(coltsidentity.Upstream) bool) {
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for id, u := range s.upstreams {
			if u.running == 0 && !keep(id) {
				if u.advice.Leaving() {
					s.recordLeft(id, u.record.StartedAt)
				}
				delete(s.upstreams, id)
			}
		}
		s.mu.Unlock()
	}
}

// candidate is a snapshot of an upstream for one choice.
type candidate struct {
	id coltsidentity.Upstream
	// load is the known load of all instances.
	load    float64
	avoided bool
	// cold reports whether it is cold and there is a permit for it.
	cold bool
	// inCacheDataCentre reports whether it is in the data centre from which the request's
	// cached parts are fetched.
	inCacheDataCentre bool
	// score is its rendezvous hashing score for the demand's affinity key.
	score uint64
	// prefill is the load of this instance's requests there that is not prefilled yet.
	prefill float64
	// gap is the average time between events of its streams; 0 if none was measured recently.
	// slowdown is by how much gap exceeds the average of the candidates, as a share of that
	// average.
	gap      time.Duration
	slowdown float64
}

// Choose chooses the upstream for a demand and adds the demand to its load. It returns a
// NoUpstreamError if the service has no usable upstream, an EvacuatedError if all of them are in evacuated
// data centres, a PausedError if each of the others has asked for a pause, and a FullError if none has room
// or a permit.
func (b *Balancer) Choose(d Demand, now time.Time) (Choice, error) {
	candidates, known, pausedUntil := b.candidates(d, now)
	for len(candidates) > 0 {
		i, home := b.pick(d, candidates, now)
		if load := utilisation(d, candidates, i); b.limits(d) && load > d.Limit {
			return Choice{}, &FullError{Service: d.Service, Load: load}
		}
		choice, ok := b.reserve(candidates[i].id, d, now)
		if ok {
			choice.Home = home
			return choice, nil
		}
		candidates = slices.Delete(candidates, i, i+1)
	}
	return Choice{}, b.noCandidateError(d, known, pausedUntil, now)
}

// limits reports whether a demand's limit counts.
func (b *Balancer) limits(d Demand) bool { return d.Limit > 0 && b.cfg.Policy != PolicyRoundRobin }

// noCandidateError returns why there is no candidate for a demand. known is the number of the service's
// upstreams, and pausedUntil when the first pause of one that could be chosen otherwise ends.
func (b *Balancer) noCandidateError(d Demand, known int, pausedUntil, now time.Time) error {
	if b.awaitsPermit(d, now) {
		return &FullError{Service: d.Service, Cold: true}
	}
	if !pausedUntil.IsZero() {
		return &PausedError{Service: d.Service, Until: pausedUntil}
	}
	if err := b.evacuatedError(d, now); err != nil {
		return err
	}
	return &NoUpstreamError{Service: d.Service, Known: known}
}

// candidates returns the upstreams that may be chosen, the number of the service's known upstreams,
// and when the first pause of one that could be chosen otherwise ends. Avoided upstreams are candidates only
// if there are no others.
func (b *Balancer) candidates(d Demand, now time.Time) ([]candidate, int, time.Time) {
	var all []candidate
	var pausedUntil time.Time
	known, preferred, lacking := 0, 0, 0
	// Not by each: a call for each upstream makes a choice a tenth slower.
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for _, u := range s.upstreams {
			if u.record.Service != d.Service {
				continue
			}
			known++
			switch b.exclusion(u, d, now) {
			case ExclusionNone:
			case ExclusionPaused:
				if until := u.advice.PausedUntil(now); pausedUntil.IsZero() || until.Before(pausedUntil) {
					pausedUntil = until
				}
				continue
			case ExclusionNoPermit:
				lacking++
				continue
			default:
				continue
			}
			c := b.newCandidate(u, d, now)
			if !c.avoided {
				preferred++
			}
			all = append(all, c)
		}
		s.mu.Unlock()
	}
	if lacking > 0 {
		b.coldWaits.Add(1)
	}
	if preferred > 0 {
		all = slices.DeleteFunc(all, func(c candidate) bool { return c.avoided })
	}
	setSlowdowns(all)
	return all, known, pausedUntil
}

// newCandidate returns a snapshot of an upstream, whose shard is locked.
func (b *Balancer) newCandidate(u *upstream, d Demand, now time.Time) candidate {
	id := u.record.ID
	c := candidate{id: id, cold: b.isCold(u, now), load: b.estimatedLoad(u, d, now), avoided: u.avoided(now), score: coltsshard.RendezvousScore(d.Affinity, id),
		inCacheDataCentre: d.CacheDataCentre != "" && u.record.DataCentre == d.CacheDataCentre, prefill: u.prefill}
	if now.Before(u.gapUntil) {
		c.gap = u.gap
	}
	return c
}

// reserve adds a demand to an upstream's load. It returns false if the upstream has become
// unusable.
func (b *Balancer) reserve(id coltsidentity.Upstream, d Demand, now time.Time) (Choice, bool) {
	s := &b.shards[coltsshard.Of(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	u, known := s.upstreams[id]
	if !known || b.isEvacuated(u.record.DataCentre) || !u.usable(now) || !u.advice.Admits(now) {
		return Choice{}, false
	}
	permitUntil, permitted := b.takePermit(u, now)
	if !permitted {
		return Choice{}, false
	}
	if u.running == 0 {
		u.waitingSince = now
	}
	u.running++
	u.chosen++
	u.load += d.Weight
	u.prefill += d.Prefill
	return Choice{
		Upstream: u.record, Weight: d.Weight, Prefill: d.Prefill, Running: u.running, Load: u.totalLoad(now) / max(1, d.Capacity),
		Trial: u.advice.Sent(now), PermitUntil: permitUntil,
	}, true
}

// AnswerStarted records that the answer to a choice's request has begun, so its prompt is
// prefilled.
func (b *Balancer) AnswerStarted(c *Choice, now time.Time) {
	s := &b.shards[coltsshard.Of(c.Upstream.ID)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if u, known := s.upstreams[c.Upstream.ID]; known {
		u.prefill = max(0, u.prefill-c.Prefill)
		u.heard(now)
		if c.Trial {
			u.advice.TrialEnded()
		}
	}
	c.Prefill = 0
}

// Done removes a choice's request from the upstream's load and records how it ended.
func (b *Balancer) Done(c Choice, outcome Outcome, now time.Time) {
	s := &b.shards[coltsshard.Of(c.Upstream.ID)]
	s.mu.Lock()
	defer s.mu.Unlock()
	u, known := s.upstreams[c.Upstream.ID]
	if !known {
		return
	}
	if outcome == OutcomeAnswered || outcome == OutcomeFull {
		u.heard(now)
	}
	u.running--
	u.load -= c.Weight
	u.prefill = max(0, u.prefill-c.Prefill)
	if u.running <= 0 {
		u.running, u.load = 0, 0
	}
	if u.record.StartedAt.Equal(c.Upstream.StartedAt) {
		u.recordOutcome(outcome, now)
		if c.Trial {
			u.advice.TrialEnded()
		}
	}
}

// Loads returns the load of this instance at each upstream where it has any.
func (b *Balancer) Loads() []Load {
	var loads []Load
	b.each(func(u *upstream) {
		if u.load > 0 {
			loads = append(loads, Load{Upstream: u.record.ID, Amount: b.reportedLoad(u), HeardAt: u.heardAt, WaitingSince: u.waitingSince})
		}
	})
	return loads
}

// SetPeerLoads sets the loads that all other instances together have. An upstream that is
// missing from loads has none.
func (b *Balancer) SetPeerLoads(loads []Load, now time.Time) {
	b.informedAt.Store(&now)
	amounts := make(map[coltsidentity.Upstream]float64, len(loads))
	for _, l := range loads {
		amounts[l.Upstream] = l.Amount
	}
	b.each(func(u *upstream) {
		amount := amounts[u.record.ID]
		u.peerMean.add(amount, now)
		u.peerLoad, u.peerLoadUntil = amount, now.Add(peerLoadTTL)
	})
	b.measureImbalance(now)
}
