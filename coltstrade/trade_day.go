package coltstrade

// A day: arrivals by a seed, everything that follows from them, and what callers felt.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsforward"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsstore"
)

const (
	// tidyPeriod is how often the catalogue's owner looks for parts that give way.
	tidyPeriod = 250 * time.Millisecond
	// swing and wavePeriod shape the arrivals, as market days do.
	swing      = 0.55
	wavePeriod = 13 * time.Second
	// spread is the deviation of a prompt's sizes, as a share of their mean.
	spread = 0.5
)

// Variant is a way to decide.
type Variant struct {
	Name  string
	Usage string
	// Policy is how a runner is chosen; empty for the least loaded.
	Policy coltsbalance.Policy
	// Fetch says that parts are saved in stores and fetched from there.
	Fetch bool
	// Adjust changes what a request asks for; nil for nothing.
	Adjust func(*coltsbalance.Demand)
}

// Variants are the ways that are compared, the product's own first.
func Variants() []Variant {
	return []Variant{
		{Name: "current", Usage: "the product's decisions", Fetch: true},
		{Name: "first-landing", Usage: "as they were when the stores were first used", Fetch: true, Adjust: func(d *coltsbalance.Demand) {
			d.ReadingBias, d.HomeBonus, d.NearBonus, d.PaceBias = 3, 0.1, 0.1, 0
			if d.Limit > 0 {
				d.Limit = 0.9
			}
		}},
		{Name: "recompute", Usage: "nothing is fetched or saved"},
		{Name: "round-robin-recompute", Usage: "runners by turns, nothing is fetched", Policy: coltsbalance.PolicyRoundRobin},
	}
}

// day is a day under way.
type day struct {
	s         *schedule
	scenario  Scenario
	variant   Variant
	rng       *rand.Rand
	index     *coltsroute.Index
	engine    coltsroute.Service
	runners   map[coltsidentity.Upstream]*runner
	stores    map[coltsidentity.Service]*keptStore
	catalogue *coltsstore.Catalogue
	loads     *coltsbalance.Loads
	entries   []*entry
	// read are the parts that some runner has read.
	read   map[coltsstore.Key]bool
	result *Result
	n      int
}

// Play plays a scenario's day by a seed.
func Play(s Scenario, v Variant, seed uint64) *Result {
	d := &day{
		s: newSchedule(), scenario: s, variant: v, rng: rand.New(rand.NewPCG(seed, 1)),
		engine: coltsroute.Service{Name: "llm", Engine: &coltsroute.Engine{
			Slots: s.Engine.Slots, CacheTokens: s.Engine.CacheTokens, TokenBytes: s.Engine.TokenBytes, LinkBitsPerSecond: s.Engine.LinkBitsPerSecond,
		}},
		runners: map[coltsidentity.Upstream]*runner{}, stores: map[coltsidentity.Service]*keptStore{},
		catalogue: coltsstore.NewCatalogue(), loads: coltsbalance.NewLoads(), read: map[coltsstore.Key]bool{},
	}
	d.result = newResult(s, v)
	d.build(seed)
	end := start.Add(s.Duration)
	for _, e := range d.entries {
		d.s.after(time.Duration(d.rng.Int64N(int64(tellPeriod))), func() { d.s.every(tellPeriod, end, e.tell) })
	}
	d.s.every(tidyPeriod, end, d.tidy)
	for class := range s.Classes {
		d.planArrival(class)
	}
	d.s.run()
	d.result.finish(d)
	return d.result
}

// build makes stores, runners and entries.
func (d *day) build(seed uint64) {
	var stores []*keptStore
	for _, kind := range d.scenario.Stores {
		for i := range kind.Count {
			st := newStore(fmt.Sprint(kind.Name, i), kind, d.dataCentre(i))
			stores = append(stores, st)
			d.stores[st.service.Name] = st
			d.catalogue.Open(st.service.Name, kind.CacheTokens)
		}
	}
	d.index = newIndex(d.scenario, d.engine, stores)
	for i := range d.scenario.Entries {
		random := rand.New(rand.NewPCG(seed, uint64(2+i)))
		d.entries = append(d.entries, &entry{
			d: d, id: coltsidentity.Instance(fmt.Sprint("entry-", i)), queue: coltsbalance.NewQueue(), stores: coltsstore.NewDirectory(),
			balancer: coltsbalance.New(coltsbalance.Config{Policy: d.variant.Policy, Random: random.IntN}),
		})
	}
	for i := range d.scenario.Runners {
		r := &runner{
			s: d.s, shape: d.scenario.Engine, id: coltsidentity.Upstream(fmt.Sprintf("runner-%02d", i)), dataCentre: d.dataCentre(i),
			slow: 1, link: link{bitsPerSecond: d.scenario.Engine.LinkBitsPerSecond}, kept: map[coltsstore.Key]*keptPart{},
		}
		if i < d.scenario.Slowed {
			r.slow = d.scenario.SlowFactor
		}
		d.runners[r.id] = r
		for _, e := range d.entries {
			e.balancer.Update(coltsregistry.Entry{Upstream: coltsregistry.Upstream{
				ID: r.id, Service: d.engine.Name, DataCentre: r.dataCentre, Slots: d.scenario.Engine.Slots, Born: start,
			}})
		}
	}
}

func (d *day) dataCentre(i int) coltsidentity.DataCentre {
	return d.scenario.DataCentres[i%len(d.scenario.DataCentres)]
}

// rate is how many times the mean arrivals come now.
func (d *day) rate() float64 {
	at := d.s.now.Sub(start)
	rate := 1 + swing*math.Sin(2*math.Pi*at.Seconds()/wavePeriod.Seconds())
	if third := d.scenario.Duration / 3; at >= third && at < 2*third {
		rate *= d.scenario.Crest
	}
	return rate
}

// planArrival plans the next arrival of a class.
func (d *day) planArrival(class int) {
	gap := d.rng.ExpFloat64() / (d.scenario.Classes[class].PerSecond * d.rate())
	d.s.after(time.Duration(gap*float64(time.Second)), func() {
		if d.s.now.After(start.Add(d.scenario.Duration)) {
			return
		}
		d.arrival(class)
		d.planArrival(class)
	})
}

// sized returns a size about a mean.
func (d *day) sized(mean int, rng *rand.Rand) int {
	return max(1, int(float64(mean)*math.Exp(spread*rng.NormFloat64()-spread*spread/2)))
}

// arrival has a request come to some entry.
func (d *day) arrival(class int) {
	c := d.scenario.Classes[class]
	session := d.rng.IntN(c.Sessions)
	// A session's part always has the same size.
	shared := d.sized(c.SharedTokens, rand.New(rand.NewPCG(uint64(session), uint64(class))))
	own := d.sized(c.OwnTokens, d.rng)
	d.n++
	asked := coltsforward.InboundRequest{
		ID: fmt.Sprint("request-", d.n), HostName: "h", Path: fmt.Sprintf("/%s/x", c.Name), Timeout: c.Timeout,
		PromptTokens: shared + own, OutputTokens: d.sized(c.OutputTokens, d.rng),
		Parts: []coltsforward.Part{{ID: fmt.Sprintf("%s-%d", c.Name, session), Tokens: shared}, {ID: fmt.Sprint("own-", d.n), Tokens: own}},
	}
	life, err := coltsforward.NewRequest(asked, d.index, d.s.now)
	if err != nil {
		// The table is the scenario's own and leads every class somewhere.
		panic(err)
	}
	d.result.asked(class)
	d.entries[d.rng.IntN(len(d.entries))].arrive(life, &prompt{class: class, arrived: d.s.now})
}

// begin has a runner fetch, read and run a request.
func (d *day) begin(r *runner, n *run, plan coltsstore.Plan, tokens int) {
	now := d.s.now
	ready, have := now, 0
	for i := range n.parts {
		if i < r.leading(n.parts) {
			have += n.parts[i].Tokens
			continue
		}
		end, fetched := d.fetch(r, n.parts[i], plan.Fetch[i])
		if !fetched {
			d.noteRead(n.parts[i:])
			break
		}
		ready, have = end, have+n.parts[i].Tokens
	}
	n.toRead, n.read = max(1, tokens-have), have
	done := n.done
	n.done = func(pause time.Duration) {
		d.save(r, n.parts, plan.Save)
		done(pause)
	}
	d.s.at(ready, func() { r.enqueue(n) })
}

// fetch brings a part to a runner.
func (d *day) fetch(r *runner, part coltsstore.Wanted, move coltsstore.Move) (time.Time, bool) {
	st, known := d.stores[move.Store]
	if !known || st.held[part.Key] == 0 {
		return time.Time{}, false
	}
	bytes := float64(part.Tokens) * float64(r.shape.TokenBytes)
	end, begun := transfer(&r.link, &st.link, bytes, st.latency(), r.dataCentre != st.service.Store.DataCentre, d.s.now)
	if begun {
		d.result.MovedTokens += part.Tokens
	}
	return end, begun
}

// noteRead counts what is read of shared parts, and what of it was read before.
func (d *day) noteRead(parts []coltsstore.Wanted) {
	for _, part := range parts {
		d.result.ReadTokens += part.Tokens
		if d.read[part.Key] {
			d.result.AgainTokens += part.Tokens
		}
		d.read[part.Key] = true
	}
}

// save sends parts to stores.
func (d *day) save(r *runner, parts []coltsstore.Wanted, moves []coltsstore.Move) {
	for i, move := range moves {
		st, known := d.stores[move.Store]
		if !known || !st.reserve(parts[i].Key, parts[i].Tokens) {
			continue
		}
		part := parts[i]
		bytes := float64(part.Tokens) * float64(r.shape.TokenBytes)
		end, begun := transfer(&r.link, &st.link, bytes, st.latency(), r.dataCentre != st.service.Store.DataCentre, d.s.now)
		if !begun {
			st.free([]coltsstore.Key{part.Key})
			continue
		}
		d.result.MovedTokens += part.Tokens
		d.s.at(end, func() { st.held[part.Key] = part.Tokens })
		d.s.at(end.Add(eventLag), func() { d.catalogue.Add(move.Store, part.Key, part.Tokens, d.s.now) })
	}
}

// tidy has parts of full stores give way and frees those whose time has come.
func (d *day) tidy() {
	for name, st := range d.stores {
		d.catalogue.Retire(name, func(string) bool { return true }, d.s.now)
		due := d.catalogue.Due(name, d.s.now)
		st.free(due)
		for _, key := range due {
			d.catalogue.Remove(name, key)
		}
	}
}
