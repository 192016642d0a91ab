// Package coltsload drives real entries and stand-ins on loopback by seeded
// arrivals and reports what callers felt and whether a promise was broken.
package coltsload

// A scenario is a small file, so that an experiment can be repeated, compared and
// read in a listing. Those that the project measures itself by are embedded.

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

// Scenario says what is run.
type Scenario struct {
	// Usage says what the scenario is meant to show.
	Usage string `json:"usage"`
	Shape Shape  `json:"shape"`
	// ArrivalsPerSecond is the mean rate; arrivals don't wait for answers.
	ArrivalsPerSecond float64       `json:"arrivals-per-second"`
	Duration          time.Duration `json:"duration"`
	// WarmUp is the time at the start of which nothing is reported.
	WarmUp time.Duration `json:"warm-up"`
	// ReturnShare is the share of arrivals, in hundredths, that return to a
	// conversation; Gap is the least time since its last answer.
	ReturnShare int           `json:"return-share"`
	Gap         time.Duration `json:"gap"`
	// MinPieces and MaxPieces bound a prompt's length in pieces.
	MinPieces int `json:"min-pieces"`
	MaxPieces int `json:"max-pieces"`
	// AnswerTokens is the length of an answer.
	AnswerTokens int `json:"answer-tokens"`
	// GoodWithin is the time to first token within which an answer counts as good;
	// 0 for any.
	GoodWithin time.Duration `json:"good-within"`
	// LongPerMille of the arrivals are LongFactor times as long.
	LongPerMille int `json:"long-per-mille"`
	LongFactor   int `json:"long-factor"`
	// PoisonEvery makes every so-manieth arrival crash its runner; 0 for none.
	PoisonEvery int `json:"poison-every"`
	// Crest multiplies the arrivals for a time.
	Crest Crest `json:"crest"`
	// Faults are brought about at their times.
	Faults []Fault `json:"faults"`
}

// Shape is the system that the scenario runs on.
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

// Crest is a time of high demand.
type Crest struct {
	At     time.Duration `json:"at"`
	For    time.Duration `json:"for"`
	Factor float64       `json:"factor"`
}

// Fault is a time of failure.
type Fault struct {
	At  time.Duration `json:"at"`
	For time.Duration `json:"for"`
	// Kind is one of faultTable.
	Kind string `json:"kind"`
	// Count is how many upstreams it hits, the first ones of their kind.
	Count int `json:"count"`
	// Factor is how many times slower they become.
	Factor float64 `json:"factor"`
}

// Names lists the embedded scenarios.
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

// Load reads a scenario: an embedded one by its name, or a file.
func Load(name string) (Scenario, error) {
	text, err := embedded.ReadFile("scenarios/" + name + ".jsonc")
	if err != nil {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return Scenario{}, errors.Errorf("there is no scenario %q, neither built in nor a file%s", name, coltsjsonc.Suggest(name, Names()))
	}
	var s Scenario
	problems := coltsjsonc.Decode(text, &s)
	for _, f := range s.Faults {
		if _, known := faultTable[f.Kind]; !known {
			problems = append(problems, coltsjsonc.Problem{Line: 1, Path: "faults", Reason: "there is no fault " + f.Kind})
		}
	}
	if len(problems) > 0 {
		return Scenario{}, errors.Errorf("scenario %s: %v", name, problems)
	}
	return s, nil
}
