// Package coltsload sends requests with seeded random arrivals to real entries and simulated
// upstreams on the loopback interface. It reports the latencies and refusals that callers saw and
// whether a guarantee was violated.
package coltsload

// A scenario is a small JSONC file, so that an experiment can be repeated, compared and reviewed.
// The project's standard scenarios are embedded.

import (
	"embed"
	"io/fs"
	"os"
	"path"
	"strings"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltsjsonc"
)

//go:embed scenarios/*.jsonc
var embedded embed.FS

// Scenario describes one experiment.
type Scenario struct {
	// Description is a one-line description of what the scenario tests.
	Description string `json:"usage"`
	// Shape is the system under test.
	Shape Shape `json:"shape"`
	// ArrivalsPerSecond is the mean arrival rate outside the peak.
	ArrivalsPerSecond float64       `json:"arrivals-per-second"`
	Duration          time.Duration `json:"duration"`
	// WarmUp is the time from the start of the run whose requests are left out of the
	// measurements; violated guarantees are counted from the start.
	WarmUp time.Duration `json:"warm-up"`
	// ReturnPercent is the percentage of requests that continue a conversation if one is
	// available. MinReturnDelay is the minimum time since the last answer in that
	// conversation.
	ReturnPercent  int           `json:"return-share"`
	MinReturnDelay time.Duration `json:"gap"`
	// MinPieces and MaxPieces bound the length of a conversation's first prompt in cache
	// pieces.
	MinPieces int `json:"min-pieces"`
	MaxPieces int `json:"max-pieces"`
	// AnswerTokens is the length of each answer.
	AnswerTokens int `json:"answer-tokens"`
	// MaxFirstToken is the maximum time to first token of an answer that counts as goodput;
	// zero means no limit.
	MaxFirstToken time.Duration `json:"good-within"`
	// LongPerMille is the number of requests in a thousand that start a conversation with a
	// prompt LongFactor times as long as usual.
	LongPerMille int `json:"long-per-mille"`
	LongFactor   int `json:"long-factor"`
	// PoisonEvery makes every nth request crash the runner that gets it; zero means none.
	PoisonEvery int `json:"poison-every"`
	// Peak is a peak of demand.
	Peak Peak `json:"crest"`
	// Faults lists the faults to inject.
	Faults []Fault `json:"faults"`
}

// Shape is the size and speed of the system that the scenario runs on.
type Shape struct {
	Entries          int           `json:"entries"`
	Runners          int           `json:"runners"`
	Stores           int           `json:"stores"`
	Organisations    int           `json:"organisations"`
	PrefillPerSecond int64         `json:"prefill-per-second"`
	TokenPeriod      time.Duration `json:"token-period"`
	MemoryPieces     int           `json:"memory-pieces"`
	PiecesPerSecond  float64       `json:"pieces-per-second"`
	StorePieces      int           `json:"store-pieces"`
	Proxied          bool          `json:"proxied"`
}

// Peak is a period of high demand. The zero value means that there is none.
type Peak struct {
	// At is the start of the period, counted from the start of the run, and For its length.
	At  time.Duration `json:"at"`
	For time.Duration `json:"for"`
	// Factor multiplies the arrival rate; zero means that there is no peak.
	Factor float64 `json:"factor"`
}

// Fault is a fault that is injected during a run.
type Fault struct {
	// At is when the fault starts, counted from the start of the run. For is how long it
	// lasts, unless its kind lasts until the end of the run.
	At  time.Duration `json:"at"`
	For time.Duration `json:"for"`
	// Kind is a key of faultTable.
	Kind string `json:"kind"`
	// Count is the number of affected upstreams, which are the first ones of their kind.
	Count int `json:"count"`
	// Factor is the factor by which slow upstreams are slowed.
	Factor float64 `json:"factor"`
}

// Names returns the names of the embedded scenarios.
func Names() []string {
	files, err := fs.Glob(embedded, "scenarios/*.jsonc")
	if err != nil {
		// The pattern is constant and valid.
		panic(err)
	}
	names := make([]string, 0, len(files))
	for _, f := range files {
		names = append(names, strings.TrimSuffix(path.Base(f), ".jsonc"))
	}
	return names
}

// Load reads an embedded scenario by its name or a scenario file by its path.
func Load(name string) (Scenario, error) {
	text, err := embedded.ReadFile("scenarios/" + name + ".jsonc")
	if err != nil {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return Scenario{}, errors.Errorf("scenario %q is neither built in nor a readable file%s", name, coltsjsonc.Suggest(name, Names()))
	}
	var s Scenario
	problems := coltsjsonc.Decode(text, &s)
	for _, f := range s.Faults {
		if _, known := faultTable[f.Kind]; !known {
			problems = append(problems, coltsjsonc.Problem{Line: 1, Path: "faults", Reason: "unknown kind of fault: " + f.Kind})
		}
	}
	if len(problems) > 0 {
		return Scenario{}, errors.Errorf("scenario %s: %v", name, problems)
	}
	return s, nil
}
