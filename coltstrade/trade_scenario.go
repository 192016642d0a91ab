// Package coltstrade compares policies for handling prompts: which runner a prompt is sent
// to, and which of its parts are prefilled, fetched from a store, saved or waited for. It
// runs the product's decision code against simulated inference engines with continuous
// batching, network links and managed stores, in simulated time.
package coltstrade

// A scenario describes the load and the instances of a simulation. The classes, the sizes
// and the figures of engines and links are those of the deployments that the project is
// made for.

import (
	"time"

	"coltsfootstall/coltsidentity"
)

// Class describes a class of requests with their own route.
type Class struct {
	Name string
	// PerSecond is the mean arrival rate in requests per second.
	PerSecond float64
	// Sessions is the number of sessions. Each has its own shared part, with which all of
	// its prompts begin.
	Sessions int
	// SharedTokens, OwnTokens and OutputTokens are the mean sizes of a session's shared
	// part, of the part that is new in each prompt, and of the answer.
	SharedTokens int
	OwnTokens    int
	OutputTokens int
	// Goal is the longest time until the first token, and GapGoal the longest gap in the
	// stream, with which an answer is on time.
	Goal    time.Duration
	GapGoal time.Duration
	Timeout time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// Worth is the value of an answer that is on time, and LateWorth that of a late one.
	Worth     float64
	LateWorth float64
}

// StoreKind describes a number of identical stores.
type StoreKind struct {
	Name              string
	Count             int
	CacheTokens       int
	LinkBitsPerSecond float64
	Latency           time.Duration
}

// Scenario describes a simulation.
type Scenario struct {
	// Usage describes the scenario to the user.
	Usage string
	// Entries is the number of gateways.
	Entries int
	Runners int
	// DataCentres are the data centres. Runners and the stores of each kind are assigned
	// to them in turn.
	DataCentres []coltsidentity.DataCentre
	Classes     []Class
	Stores      []StoreKind
	Duration    time.Duration
	// Crest multiplies the arrival rate in the middle third of the duration.
	Crest float64
	// Slowed is the number of runners whose steps take SlowFactor times as long.
	Slowed     int
	SlowFactor float64
	// Engine describes the engine of every runner.
	Engine EngineShape
	// AgainPrice is the price of a thousand recomputed tokens, in the unit of Class.Worth.
	// Tokens of shareable parts count as recomputed if some runner has prefilled them
	// before.
	AgainPrice float64
}

// EngineShape describes the capacity and speed of an inference engine.
type EngineShape struct {
	// Slots is the number of requests that can run at the same time.
	Slots int
	// CacheTokens is the size of the KV cache in tokens, and TokenBytes the number of
	// bytes of one token in it.
	CacheTokens int
	TokenBytes  int
	// StepTime is the duration of a step without prefill and with an empty KV cache.
	StepTime time.Duration
	// ReadPerSecond is the prefill rate in tokens per second, and ChunkTokens the maximum
	// number of prompt tokens that one step prefills.
	ReadPerSecond float64
	ChunkTokens   int
	// PairTime is the additional duration of a step for each million pairs of a prefilled
	// token and a token before it. It models the cost of attention.
	PairTime time.Duration
	// ContextTime is the additional duration of a step for each thousand tokens of the
	// running requests.
	ContextTime time.Duration
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens       int
	LinkBitsPerSecond float64
}

// scenarios holds the scenarios by name.
var scenarios = map[string]Scenario{
	"calm":   baseScenario("sessions return after the runners have evicted their parts", 1, 0),
	"grown":  largeScenario(),
	"crest":  baseScenario("twice the arrival rate in the middle third", 2, 0),
	"slowed": baseScenario("three of eighteen runners take four times as long", 1, 3),
}

// largeScenario returns a scenario with as many gateways as runners, so that each gateway
// sees only a small share of the requests itself.
func largeScenario() Scenario {
	s := baseScenario("ninety gateways in front of ninety runners", 1, 0)
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

// baseScenario returns a scenario with eighteen runners in three data centres, of which
// slowRunners are slow.
func baseScenario(usage string, peakFactor float64, slowRunners int) Scenario {
	return Scenario{
		Usage: usage, Entries: 6, Runners: 18, Duration: 30 * time.Second, Crest: peakFactor,
		DataCentres: []coltsidentity.DataCentre{"a", "b", "c"},
		Slowed:      slowRunners, SlowFactor: 4, AgainPrice: 0.34,
		Classes: []Class{
			{
				Name: "long", PerSecond: 35, Sessions: 558, SharedTokens: 8600, OwnTokens: 2900, OutputTokens: 380,
				Priority: 2, Goal: 600 * time.Millisecond, GapGoal: 300 * time.Millisecond, Timeout: 10 * time.Second,
				Worth: 4, LateWorth: 0.8,
			},
			{
				Name: "short", PerSecond: 66, Sessions: 1060, SharedTokens: 530, OwnTokens: 300, OutputTokens: 290,
				Priority: 1, Goal: 300 * time.Millisecond, GapGoal: 300 * time.Millisecond, Timeout: 8 * time.Second,
				Worth: 1.3, LateWorth: 0.26,
			},
			{
				Name: "tag", PerSecond: 84, Sessions: 1350, SharedTokens: 1520, OwnTokens: 850, OutputTokens: 22,
				Priority: 0, Goal: 400 * time.Millisecond, GapGoal: 300 * time.Millisecond,
				Timeout: 2500 * time.Millisecond, Worth: 1.5, LateWorth: 0.3,
			},
		},
		Stores: []StoreKind{
			{Name: "fast", Count: 3, CacheTokens: 396_000, LinkBitsPerSecond: 1.5e12, Latency: 500 * time.Microsecond},
			{Name: "slow", Count: 2, CacheTokens: 2_970_000, LinkBitsPerSecond: 590e9, Latency: 6 * time.Millisecond},
		},
		Engine: EngineShape{
			Slots: 48, CacheTokens: 109_648, TokenBytes: 131_072, StepTime: 2200 * time.Microsecond,
			ReadPerSecond: 140_000, ChunkTokens: 2048, PairTime: 295 * time.Microsecond,
			ContextTime: 17500 * time.Nanosecond, EventTokens: 9,
			LinkBitsPerSecond: 260e9,
		},
	}
}
