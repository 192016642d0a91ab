package coltsbalance

// Upstreams stand in shards by identity. A choice looks at the shards one after
// another and then takes its upstream's lock once more; between the two another
// request may have been sent there, which costs a little balance and no promise.

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

// Balancer holds the upstreams. It may be used concurrently.
type Balancer struct {
	cfg    Config
	turns  atomic.Uint64
	shards [coltsshard.Count]balancerShard
}

type balancerShard struct {
	mu        sync.Mutex
	upstreams map[coltsidentity.Upstream]*upstream
}

// Policy says how an upstream is chosen.
type Policy string

// The policies. The second one is kept to compare with.
const (
	// PolicyLeastLoaded takes the least loaded of a few.
	PolicyLeastLoaded Policy = "least-loaded"
	// PolicyRoundRobin takes one after another and lets nobody wait.
	PolicyRoundRobin Policy = "round-robin"
)

// Policies lists the policies.
func Policies() []string { return []string{string(PolicyLeastLoaded), string(PolicyRoundRobin)} }

// Config says how a balancer chooses.
type Config struct {
	// Policy is how an upstream is chosen; empty for the least loaded.
	Policy Policy
	// Random returns a number from 0 to n-1; nil for a random one.
	Random func(n int) int
}

// New returns a balancer that knows no upstream.
func New(cfg Config) *Balancer {
	if cfg.Random == nil {
		cfg.Random = rand.IntN
	}
	b := &Balancer{cfg: cfg}
	for i := range b.shards {
		b.shards[i].upstreams = map[coltsidentity.Upstream]*upstream{}
	}
	return b
}

// Update takes in what control believes of an upstream. What is older than what is
// known is passed over.
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
		u.failures, u.restUntil = 0, time.Time{}
	}
	u.record, u.silent, u.loading = e.Upstream, e.Silent, e.Loading
}

// Forget drops the upstreams that left, except those with requests under way, and
// those for which keep says no.
func (b *Balancer) Forget(keep func(coltsidentity.Upstream) bool) {
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for id, u := range s.upstreams {
			if u.running == 0 && !keep(id) {
				delete(s.upstreams, id)
			}
		}
		s.mu.Unlock()
	}
}

// candidate is an upstream as a choice sees it.
type candidate struct {
	id    coltsidentity.Upstream
	load  float64
	rests bool
	// near says that it is where the request's parts are.
	near bool
	rank uint64
	// reading is the work there whose answers have not begun.
	reading float64
	// gap is the usual pause of its streams, 0 if none was seen lately; slower how much
	// longer that is than the average, as a share of it.
	gap    time.Duration
	slower float64
}

// Choose returns the upstream for a demand and counts it as loaded there. It returns
// a NoUpstreamError if the service has none, and a FullError if none has room.
func (b *Balancer) Choose(d Demand, now time.Time) (Choice, error) {
	candidates, known := b.candidates(d, now)
	if b.cfg.Policy == PolicyRoundRobin {
		d.Limit = 0
	}
	for len(candidates) > 0 {
		i, home := b.pick(d, candidates)
		if full := fullness(d, candidates, i); d.Limit > 0 && full > d.Limit {
			return Choice{}, &FullError{Service: d.Service, Load: full}
		}
		choice, ok := b.take(candidates[i].id, d, now)
		if ok {
			choice.Home = home
			return choice, nil
		}
		candidates = slices.Delete(candidates, i, i+1)
	}
	return Choice{}, &NoUpstreamError{Service: d.Service, Known: known}
}

// candidates returns the upstreams that may be chosen: those that don't rest, or all
// if all rest.
func (b *Balancer) candidates(d Demand, now time.Time) ([]candidate, int) {
	var all []candidate
	known, awake := 0, 0
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for id, u := range s.upstreams {
			if u.record.Service != d.Service {
				continue
			}
			known++
			if !u.usable(now) || slices.Contains(d.Exclude, id) || u.has(d.Model) < d.Least {
				continue
			}
			c := candidate{id: id, load: u.total(now), rests: u.rests(now), rank: coltsshard.Rank(d.Affinity, id),
				near: d.Near != "" && u.record.DataCentre == d.Near, reading: u.reading}
			if now.Before(u.gapUntil) {
				c.gap = u.gap
			}
			if !c.rests {
				awake++
			}
			all = append(all, c)
		}
		s.mu.Unlock()
	}
	if awake > 0 {
		all = slices.DeleteFunc(all, func(c candidate) bool { return c.rests })
	}
	setPaces(all)
	return all, known
}

// pick returns the index of the candidate to take and whether it is the demand's home:
// the least loaded of some that are drawn by lot, where the home always takes part and
// may be loaded above the others by its bonus. All instances hear of each other's loads
// a moment late; if each took the least loaded one of all, they would all take the same.
func (b *Balancer) pick(d Demand, candidates []candidate) (int, bool) {
	if b.cfg.Policy == PolicyRoundRobin {
		return int(b.turns.Add(1) % uint64(len(candidates))), false
	}
	home := -1
	if len(d.Affinity) > 0 {
		for i, c := range candidates {
			if home < 0 || c.rank > candidates[home].rank {
				home = i
			}
		}
	}
	best := home
	for range drawn(len(candidates)) {
		i := b.cfg.Random(len(candidates))
		if best < 0 || costOf(d, candidates[i], i == home) < costOf(d, candidates[best], best == home) {
			best = i
		}
	}
	return best, best == home
}

// fullness is the load of a candidate with the demand, as a share of its capacity. One
// that is empty counts as having room whatever the demand's size.
func fullness(d Demand, candidates []candidate, i int) float64 {
	if candidates[i].load <= 0 {
		return 0
	}
	return (candidates[i].load + d.Weight) / max(1, d.Capacity)
}

// drawn is how many of a number of candidates are compared.
func drawn(candidates int) int {
	return 1 + int(math.Sqrt(float64(candidates)))
}

// costOf is the load that a candidate would have, as a share of its capacity.
func costOf(d Demand, c candidate, home bool) float64 {
	cost := (c.load + d.Weight) / max(1, d.Capacity)
	if home {
		cost -= d.HomeBonus
	}
	if c.near {
		cost -= d.NearBonus
	}
	cost += d.PaceBias * c.slower
	cost += d.ReadingBias * (c.reading + d.Reading) / max(1, d.Capacity)
	return cost
}

// take counts a request at an upstream unless it has become unusable.
func (b *Balancer) take(id coltsidentity.Upstream, d Demand, now time.Time) (Choice, bool) {
	s := &b.shards[coltsshard.Of(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	u, known := s.upstreams[id]
	if !known || !u.usable(now) {
		return Choice{}, false
	}
	u.running++
	u.load += d.Weight
	u.reading += d.Reading
	return Choice{
		Upstream: u.record, Weight: d.Weight, Reading: d.Reading, Running: u.running, Load: u.total(now) / max(1, d.Capacity),
	}, true
}

// Begun takes in that the answer to a choice's request has begun: all is read.
func (b *Balancer) Begun(c *Choice) {
	s := &b.shards[coltsshard.Of(c.Upstream.ID)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if u, known := s.upstreams[c.Upstream.ID]; known {
		u.reading = max(0, u.reading-c.Reading)
	}
	c.Reading = 0
}

// Done takes a choice's load off and notes how the request ended.
func (b *Balancer) Done(c Choice, outcome Outcome, now time.Time) {
	s := &b.shards[coltsshard.Of(c.Upstream.ID)]
	s.mu.Lock()
	defer s.mu.Unlock()
	u, known := s.upstreams[c.Upstream.ID]
	if !known {
		return
	}
	u.running--
	u.load -= c.Weight
	u.reading = max(0, u.reading-c.Reading)
	if u.running <= 0 {
		u.running, u.load = 0, 0
	}
	if u.record.StartedAt.Equal(c.Upstream.StartedAt) {
		u.note(outcome, now)
	}
}

// Loads returns what this instance has under way, where it has any.
func (b *Balancer) Loads() []Load {
	var loads []Load
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for id, u := range s.upstreams {
			if u.load > 0 {
				loads = append(loads, Load{Upstream: id, Amount: u.load})
			}
		}
		s.mu.Unlock()
	}
	return loads
}

// SetOthers takes in what all other instances have under way.
func (b *Balancer) SetOthers(loads []Load, now time.Time) {
	amounts := make(map[coltsidentity.Upstream]float64, len(loads))
	for _, l := range loads {
		amounts[l.Upstream] = l.Amount
	}
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for id, u := range s.upstreams {
			u.others, u.othersUntil = amounts[id], now.Add(othersFor)
		}
		s.mu.Unlock()
	}
}
