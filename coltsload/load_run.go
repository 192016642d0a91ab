package coltsload

// A run is open-loop: requests are sent at their arrival times whether or not earlier ones have
// been answered, because real callers don't wait for each other.

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltscache"
	"coltsfootstall/coltscaller"
	"coltsfootstall/coltssettings"
	"coltsfootstall/coltsstandin"
	"coltsfootstall/coltssystem"
)

// poisonText starts the text of a request that crashes its runner.
const poisonText = "POISON"

// Variant is a routing policy, with or without saving the KV cache of prompts in stores.
type Variant struct {
	// Name is "POLICY" or "POLICY/recompute".
	Name string
	// Policy is the name of the routing policy.
	Policy string
	// KeepCache is set if entries have the KV cache of prompts saved in stores and restored
	// from them. Otherwise evicted pieces are recomputed.
	KeepCache bool
}

// ParseVariant returns the variant of a name. It does not check the policy.
func ParseVariant(name string) Variant {
	policy, recompute := strings.CutSuffix(name, "/recompute")
	return Variant{Name: name, Policy: policy, KeepCache: !recompute}
}

// run is one run in progress.
type run struct {
	scenario Scenario
	variant  Variant
	system   *coltssystem.System
	// clients holds the client of each organisation.
	clients  []*coltscaller.Client
	rng      *rand.Rand
	pool     conversationPool
	start    time.Time
	result   *Result
	requests sync.WaitGroup
}

// Run runs a scenario once and returns the measurements.
func Run(s Scenario, v Variant, seed uint64) (*Result, error) {
	folder, err := os.MkdirTemp("", "coltsload-")
	if err != nil {
		return nil, errors.Wrap(err, "make data folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	system, err := coltssystem.Start(systemConfig(s, v, folder))
	if err != nil {
		return nil, err
	}
	defer system.Stop()
	r := &run{
		scenario: s,
		variant:  v,
		system:   system,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		result:   newResult(s, v, seed),
	}
	for i := range s.Shape.Organisations {
		r.clients = append(r.clients, coltscaller.New(coltscaller.Config{Key: organisationKey(i)}))
	}
	r.execute()
	return r.result, nil
}

// organisationKey returns the API key of organisation i.
func organisationKey(i int) string {
	return fmt.Sprintf("load-key-%d", i)
}

func systemConfig(s Scenario, v Variant, folder string) coltssystem.Config {
	return coltssystem.Config{
		DataFolder: folder,
		Document:   document(s.Shape.Organisations),
		Entries:    s.Shape.Entries,
		Runners:    s.Shape.Runners,
		Stores:     s.Shape.Stores,
		Services:   0,
		Proxied:    s.Shape.Proxied,
		Runner: coltsstandin.RunnerConfig{
			PrefillPerSecond: s.Shape.PrefillPerSecond,
			TokenPeriod:      s.Shape.TokenPeriod,
			MemoryPieces:     s.Shape.MemoryPieces,
		},
		Store: coltsstandin.StoreConfig{
			PiecesPerSecond: s.Shape.PiecesPerSecond,
			CapacityPieces:  s.Shape.StorePieces,
		},
		AdjustSettings: func(_ int, settings *coltssettings.Settings) {
			settings.Entry.RoutingPolicy = v.Policy
			settings.Entry.KeepCache = v.KeepCache
			settings.Entry.RequestTimeout = 30 * time.Second
		},
	}
}

// document returns a configuration document with the given number of organisations. The first
// two have five times the weight of the others.
func document(organisations int) string {
	var list []string
	for i := range organisations {
		weight := 1
		if i < 2 {
			weight = 5
		}
		list = append(list, fmt.Sprintf(`{"id": "org-%d", "key-digests": [%q], "models": [{"model": %q}], "weight": %d}`,
			i, coltssystem.KeyDigest(organisationKey(i)), coltssystem.ModelName, weight))
	}
	text := coltssystem.Document()
	start := strings.Index(text, `"organisations": [`)
	end := strings.Index(text, `"models": [{"id"`)
	return text[:start] + `"organisations": [` + strings.Join(list, ",\n") + "],\n  " + text[end:]
}

// execute sends the scenario's requests, injects its faults and waits for the answers.
func (r *run) execute() {
	if r.scenario.PoisonEvery > 0 {
		for _, runner := range r.system.Runners {
			runner.SetFaults(coltsstandin.Faults{CrashOn: poisonText})
		}
	}
	r.start = time.Now()
	stop := make(chan struct{})
	var faults sync.WaitGroup
	for _, f := range r.scenario.Faults {
		faults.Go(func() { f.schedule(r.system, r.start, stop) })
	}
	faults.Go(func() {
		if sleepUntil(r.start.Add(r.scenario.WarmUp), stop) {
			r.result.endWarmUp(r.system)
		}
	})
	r.sendRequests()
	r.requests.Wait()
	close(stop)
	faults.Wait()
	r.result.finish(r.system, time.Since(r.start))
}

// sendRequests sends requests at random times, as a Poisson process of the scenario's rate.
func (r *run) sendRequests() {
	at := time.Duration(0)
	for n := 1; ; n++ {
		at += time.Duration(r.rng.ExpFloat64() / r.arrivalRate(at) * float64(time.Second))
		if at >= r.scenario.Duration {
			return
		}
		sleepUntil(r.start.Add(at), nil)
		r.send(n, at)
	}
}

// arrivalRate returns the arrival rate in requests per second at a time counted from the start of
// the run.
func (r *run) arrivalRate(at time.Duration) float64 {
	peak := r.scenario.Peak
	if peak.Factor > 0 && at >= peak.At && at < peak.At+peak.For {
		return r.scenario.ArrivalsPerSecond * peak.Factor
	}
	return r.scenario.ArrivalsPerSecond
}

// pickOrganisation picks an organisation at random. Half of the requests come from the first two
// alone; the other half is spread over all organisations.
func (r *run) pickOrganisation() int {
	if r.rng.IntN(2) == 0 {
		return r.rng.IntN(min(2, r.scenario.Shape.Organisations))
	}
	return r.rng.IntN(r.scenario.Shape.Organisations)
}

// send sends request n, whose arrival time is counted from the start of the run. It does not wait
// for the answer.
func (r *run) send(n int, at time.Duration) {
	s := r.scenario
	kind := KindNew
	pieces := s.MinPieces + r.rng.IntN(s.MaxPieces-s.MinPieces+1)
	organisation := r.pickOrganisation()
	entry := r.system.Entries[r.rng.IntN(len(r.system.Entries))].CallerAddr()
	returning := r.rng.IntN(100) < s.ReturnPercent
	answerTokens := s.AnswerTokens
	if r.rng.IntN(1000) < s.LongPerMille {
		kind = KindLong
		pieces *= s.LongFactor
		returning = false
	}
	var c *conversation
	if returning {
		c = r.pool.take(time.Now().Add(-s.MinReturnDelay))
	}
	if c != nil && kind == KindNew {
		kind = KindReturning
	}
	if s.PoisonEvery > 0 && n%s.PoisonEvery == 0 {
		// One caller repeats the same request.
		kind, c = KindPoison, nil
		organisation, pieces = 0, s.MinPieces
	}
	if c == nil {
		c = r.pool.create(organisation, pieces, kind == KindPoison)
	}
	r.requests.Go(func() {
		prompt := c.prompt(answerTokens)
		reply, err := r.clients[c.organisation].Stream(entry, prompt)
		r.result.add(observation{
			kind:            kind,
			at:              at,
			reply:           reply,
			err:             err,
			expected:        coltsstandin.Answer(c.text(), answerTokens),
			promptTokens:    int64(len(c.text())/coltscache.BytesPerToken) + 1,
			cacheableTokens: int64(c.cachedPieces) * coltscache.PieceTokens,
		}, r.system)
		if kind != KindPoison && err == nil && reply.Complete {
			c.cachedPieces = len(c.text()) / coltscache.PieceBytes
			r.pool.put(c, reply.Text, time.Now())
		}
	})
}
