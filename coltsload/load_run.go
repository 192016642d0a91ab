package coltsload

// A run is open-loop: arrivals come at their times whether or not earlier ones
// were answered, because callers don't wait for each other.

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

// poisonText begins the text of a request that crashes its runner.
const poisonText = "POISON"

// Variant is one way to run the system.
type Variant struct {
	// Name is "POLICY" or "POLICY/recompute".
	Name      string
	Policy    string
	KeepCache bool
}

// ParseVariant reads a variant's name.
func ParseVariant(name string) Variant {
	policy, recompute := strings.CutSuffix(name, "/recompute")
	return Variant{Name: name, Policy: policy, KeepCache: !recompute}
}

// run is one run under way.
type run struct {
	scenario Scenario
	variant  Variant
	system   *coltssystem.System
	clients  []*coltscaller.Client
	rng      *rand.Rand
	pool     pool
	start    time.Time
	result   *Result
	requests sync.WaitGroup
}

// Run runs a scenario once and returns what was measured.
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
	r.drive()
	return r.result, nil
}

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
		Adjust: func(_ int, settings *coltssettings.Settings) {
			settings.Entry.RoutingPolicy = v.Policy
			settings.Entry.KeepCache = v.KeepCache
			settings.Entry.RequestTimeout = 30 * time.Second
		},
	}
}

// document returns a document with some organisations, of which the first two are
// large.
func document(organisations int) string {
	var list []string
	for i := range organisations {
		weight := 1
		if i < 2 {
			weight = 5
		}
		list = append(list, fmt.Sprintf(`{"id": "org-%d", "key-digests": [%q], "models": [{"model": %q}], "weight": %d}`,
			i, coltssystem.Digest(organisationKey(i)), coltssystem.ModelName, weight))
	}
	text := coltssystem.Document()
	start := strings.Index(text, `"organisations": [`)
	end := strings.Index(text, `"models": [{"id"`)
	return text[:start] + `"organisations": [` + strings.Join(list, ",\n") + "],\n  " + text[end:]
}

// drive lets arrivals come for the scenario's time and waits for their answers.
func (r *run) drive() {
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
			r.result.warm(r.system)
		}
	})
	r.arrive()
	r.requests.Wait()
	close(stop)
	faults.Wait()
	r.result.finish(r.system, time.Since(r.start))
}

// arrive starts requests at random times of the given rate.
func (r *run) arrive() {
	at := time.Duration(0)
	for n := 1; ; n++ {
		at += time.Duration(r.rng.ExpFloat64() / r.rate(at) * float64(time.Second))
		if at >= r.scenario.Duration {
			return
		}
		sleepUntil(r.start.Add(at), nil)
		r.request(n, at)
	}
}

func (r *run) rate(at time.Duration) float64 {
	c := r.scenario.Crest
	if c.Factor > 0 && at >= c.At && at < c.At+c.For {
		return r.scenario.ArrivalsPerSecond * c.Factor
	}
	return r.scenario.ArrivalsPerSecond
}

// organisation picks one; the first two send half of all.
func (r *run) organisation() int {
	if r.rng.IntN(2) == 0 {
		return r.rng.IntN(min(2, r.scenario.Shape.Organisations))
	}
	return r.rng.IntN(r.scenario.Shape.Organisations)
}

// request starts one request.
func (r *run) request(n int, at time.Duration) {
	s := r.scenario
	kind := KindShort
	pieces := s.MinPieces + r.rng.IntN(s.MaxPieces-s.MinPieces+1)
	organisation := r.organisation()
	entry := r.system.Entries[r.rng.IntN(len(r.system.Entries))].CallerAddr()
	returns := r.rng.IntN(100) < s.ReturnShare
	tokens := s.AnswerTokens
	if r.rng.IntN(1000) < s.LongPerMille {
		kind = KindLong
		pieces *= s.LongFactor
		returns = false
	}
	var c *conversation
	if returns {
		c = r.pool.take(time.Now().Add(-s.Gap))
	}
	if c != nil && kind == KindShort {
		kind = KindReturn
	}
	if s.PoisonEvery > 0 && n%s.PoisonEvery == 0 {
		// One caller sends the same request again and again.
		kind, c = KindPoison, nil
		organisation, pieces = 0, s.MinPieces
	}
	if c == nil {
		c = r.pool.begin(organisation, pieces, kind == KindPoison)
	}
	r.requests.Go(func() {
		prompt := c.prompt(tokens)
		reply, err := r.clients[c.organisation].Stream(entry, prompt)
		r.result.add(observation{
			kind:     kind,
			at:       at,
			reply:    reply,
			err:      err,
			expected: coltsstandin.Answer(c.text(), tokens),
			tokens:   int64(len(c.text())/coltscache.BytesPerToken) + 1,
			kept:     int64(c.kept) * coltscache.PieceTokens,
		}, r.system)
		if kind != KindPoison && err == nil && reply.Whole {
			c.kept = len(c.text()) / coltscache.PieceBytes
			r.pool.put(c, reply.Text, time.Now())
		}
	})
}
