// Package coltstrade measures what the decisions about prompts are worth: which runner a
// prompt goes to, and which of its parts are read, fetched, saved or waited for. The
// decisions are the real ones; engines with blocks and batches, links that carry one
// transfer after another and managed stores are modelled, in simulated time.
package coltstrade

// A scenario is a day's shape. Its classes and sizes follow the deployments that the
// project is made for; the figures of engines and links are theirs.

import (
	"time"

	"coltsfootstall/coltsidentity"
)

// Class is a kind of prompt.
type Class struct {
	Name string
	// PerSecond is the mean rate of arrivals.
	PerSecond float64
	// Sessions is the number of shared parts that prompts return to, each of about
	// SharedTokens; OwnTokens are new in each prompt.
	Sessions     int
	SharedTokens int
	OwnTokens    int
	OutputTokens int
	Goal         time.Duration
	GapGoal      time.Duration
	Timeout      time.Duration
	Priority     int
	Worth        float64
	LateWorth    float64
}

// StoreKind is a number of like stores.
type StoreKind struct {
	Name              string
	Count             int
	CacheTokens       int
	LinkBitsPerSecond float64
	Latency           time.Duration
}

// Scenario is a day.
type Scenario struct {
	Usage       string
	Entries     int
	Runners     int
	DataCentres []coltsidentity.DataCentre
	Classes     []Class
	Stores      []StoreKind
	Duration    time.Duration
	// Crest multiplies the arrivals for the middle third of the day.
	Crest float64
	// Slowed is the number of runners that take SlowFactor times as long.
	Slowed     int
	SlowFactor float64
	// Engine is that of every runner.
	Engine EngineShape
	// AgainPrice is what a thousand tokens of shared parts cost, in worth, that are read
	// although some runner has read them before.
	AgainPrice float64
}

// EngineShape describes a runner.
type EngineShape struct {
	Slots       int
	CacheTokens int
	TokenBytes  int
	// StepTime is what a step takes that reads nothing; ReadPerSecond the tokens of a
	// prompt that are read in a second; ChunkTokens what one step reads at the most.
	StepTime      time.Duration
	ReadPerSecond float64
	ChunkTokens   int
	// PairTime is what a step takes longer for each million pairs of a token that is read
	// and one before it.
	PairTime time.Duration
	// ContextTime is what a step takes longer for each thousand tokens in memory.
	ContextTime time.Duration
	// EventTokens is how many tokens one event of a stream has.
	EventTokens       int
	LinkBitsPerSecond float64
}

// scenarioTable holds the scenarios by name.
var scenarioTable = map[string]Scenario{
	"calm":   sized("prompts return after gaps that no runner's memory outlasts", 1, 0),
	"grown":  grown(),
	"crest":  sized("twice the demand in the middle third", 2, 0),
	"slowed": sized("three of eighteen runners take four times as long", 1, 3),
}

// grown is a day with as many entries as runners, each of which sees little itself.
func grown() Scenario {
	s := sized("ninety entries before ninety runners", 1, 0)
	s.Entries, s.Runners = 90, 90
	for i := range s.Classes {
		s.Classes[i].PerSecond *= 5
		s.Classes[i].Sessions *= 5
	}
	for i := range s.Stores {
		s.Stores[i].Count *= 5
	}
	return s
}

// sized is a day with eighteen runners in three data centres.
func sized(usage string, crest float64, slowed int) Scenario {
	return Scenario{
		Usage: usage, Entries: 6, Runners: 18, Duration: 30 * time.Second, Crest: crest,
		DataCentres: []coltsidentity.DataCentre{"a", "b", "c"},
		Slowed:      slowed, SlowFactor: 4, AgainPrice: 0.34,
		Classes: []Class{
			{
				Name: "long", PerSecond: 35, Sessions: 558, SharedTokens: 8600, OwnTokens: 2900, OutputTokens: 380, Priority: 2,
				Goal: 600 * time.Millisecond, GapGoal: 300 * time.Millisecond, Timeout: 10 * time.Second, Worth: 4, LateWorth: 0.8,
			},
			{
				Name: "short", PerSecond: 66, Sessions: 1060, SharedTokens: 530, OwnTokens: 300, OutputTokens: 290, Priority: 1,
				Goal: 300 * time.Millisecond, GapGoal: 300 * time.Millisecond, Timeout: 8 * time.Second, Worth: 1.3, LateWorth: 0.26,
			},
			{
				Name: "tag", PerSecond: 84, Sessions: 1350, SharedTokens: 1520, OwnTokens: 850, OutputTokens: 22, Priority: 0,
				Goal: 400 * time.Millisecond, GapGoal: 300 * time.Millisecond, Timeout: 2500 * time.Millisecond, Worth: 1.5, LateWorth: 0.3,
			},
		},
		Stores: []StoreKind{
			{Name: "fast", Count: 3, CacheTokens: 396_000, LinkBitsPerSecond: 1.5e12, Latency: 500 * time.Microsecond},
			{Name: "slow", Count: 2, CacheTokens: 2_970_000, LinkBitsPerSecond: 590e9, Latency: 6 * time.Millisecond},
		},
		Engine: EngineShape{
			Slots: 48, CacheTokens: 109_648, TokenBytes: 131_072, StepTime: 2200 * time.Microsecond, ReadPerSecond: 140_000,
			ChunkTokens: 2048, PairTime: 295 * time.Microsecond, ContextTime: 17500 * time.Nanosecond, EventTokens: 9, LinkBitsPerSecond: 260e9,
		},
	}
}
