// Package coltstrade compares policies for handling prompts: which runner a prompt is sent
// to, and which of its parts are prefilled, fetched from a store, saved or waited for. It
// runs the product's decision code against simulated inference engines with continuous
// batching, network links and managed stores, in simulated time.
package coltstrade

// A scenario describes the load and the instances of a simulation. The classes, the sizes
// and the figures of engines and links are those of the deployments that the project is
// made for.

import (
	"slices"
	"time"

	"coltsfootstall/coltsidentity"
)

// Class describes a class of requests, which has a route of its own.
type Class struct {
	Name string
	// ArrivalsPerSecond is the mean arrival rate in requests per second.
	ArrivalsPerSecond float64
	// Sessions is the number of sessions. Each has its own shared part, with which all of
	// its prompts begin.
	Sessions int
	// SharedTokens, UniqueTokens and OutputTokens are the mean sizes of a session's shared
	// part, of the part that is new in each prompt, and of the answer.
	SharedTokens int
	UniqueTokens int
	OutputTokens int
	// LatencyGoal is the maximum time to first token, and GapGoal the maximum gap in the
	// stream, of an answer that counts as on time.
	LatencyGoal time.Duration
	GapGoal     time.Duration
	Timeout     time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// PeakFactor multiplies the arrival rate in the middle third in place of the scenario's
	// factor; 0 means the scenario's.
	PeakFactor float64
	// Value is the value of an answer that is on time, and LateValue that of a late one.
	Value     float64
	LateValue float64
}

// StoreKind describes a group of identical stores.
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
	// Gateways is the number of gateways.
	Gateways int
	// UnevenGateways is set if gateways receive one, two or three shares of the requests in turn.
	UnevenGateways bool
	Runners        int
	// DataCentres are the data centres. Runners and the stores of each kind are assigned
	// to them in turn.
	DataCentres []coltsidentity.DataCentre
	Classes     []Class
	Stores      []StoreKind
	Duration    time.Duration
	// PeakFactor multiplies the arrival rate in the middle third of the duration.
	PeakFactor float64
	// SlowRunners is the number of runners whose steps take SlowFactor times as long.
	SlowRunners int
	SlowFactor  float64
	// HotSessions is the number of sessions of each class that receive HotShare of its requests
	// in addition to their ordinary ones.
	HotSessions int
	HotShare    float64
	// LoadAge is how long the loads of the other gateways are under way, in addition to the time
	// since the others' last reports, which is up to syncPeriod.
	LoadAge time.Duration
	// Crash describes runners that crash during the simulation.
	Crash Crash
	// Engine describes the engine of every runner.
	Engine EngineParams
	// RecomputePrice is the price of a thousand recomputed tokens, in the unit of Class.Value.
	// Tokens of shareable parts count as recomputed if some runner has prefilled them
	// before.
	RecomputePrice float64
}

// Crash describes a crash of a quarter of the runners, which lose their requests and caches. A
// request that is sent to a crashed runner is refused there and sent to another one.
type Crash struct {
	// After is the time from the start of the simulation until the crash; 0 means that there
	// is none. The runners return after Down.
	After time.Duration
	Down  time.Duration
	// Cold is how long the steps of a runner that has returned take ColdFactor times as long.
	Cold       time.Duration
	ColdFactor float64
}

// EngineParams describes the capacity and speed of an inference engine.
type EngineParams struct {
	// Slots is the number of requests that can run at the same time.
	Slots int
	// CacheTokens is the size of the KV cache in tokens, and BytesPerToken the number of
	// bytes that one token takes in it.
	CacheTokens   int
	BytesPerToken int
	// StepTime is the duration of a step without prefill and with an empty KV cache.
	StepTime time.Duration
	// PrefillTokensPerSecond is the prefill rate in tokens per second, and ChunkTokens the maximum
	// number of prompt tokens that one step prefills.
	PrefillTokensPerSecond float64
	ChunkTokens            int
	// AttentionTime is the additional duration of a step for each million pairs of a prefilled
	// token and a token before it. It models the cost of attention.
	AttentionTime time.Duration
	// ContextTime is the additional duration of a step for each thousand tokens of the
	// running requests.
	ContextTime time.Duration
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent    int
	LinkBitsPerSecond float64
}

// scenarios holds the scenarios by name.
var scenarios = map[string]Scenario{
	"calm":   baseScenario("sessions return after the runners have evicted their parts", 1, 0),
	"grown":  largeScenario(),
	"crest":  baseScenario("twice the arrival rate in the middle third", 2, 0),
	"slowed": baseScenario("three of eighteen runners take four times as long", 1, 3),

	"customer-a":        customerA("bursts of long reviews and short questions", Crash{}),
	"customer-a-dark":   customerA("a quarter of the runners is down for three seconds", darkQuarter),
	"customer-a-cold":   customerA("a quarter of the runners restarts and is slow for three seconds", coldQuarter),
	"customer-a-uneven": unevenA(),
	"customer-b":        customerB("uneven runners, gateways and sessions, and twelve slots", Crash{}),
	"customer-b-dark":   customerB("a quarter of the uneven runners is down for three seconds", darkQuarter),
	"customer-b-cold":   customerB("a quarter of the uneven runners restarts and is slow for three seconds", coldQuarter),
}

// largeScenario returns a scenario with as many gateways as runners, so that each gateway
// sees only a small share of the requests itself.
func largeScenario() Scenario {
	s := baseScenario("ninety gateways in front of ninety runners", 1, 0)
	s.Gateways, s.Runners = 90, 90
	for i := range s.Classes {
		s.Classes[i].ArrivalsPerSecond *= 5
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
		Usage: usage, Gateways: 6, Runners: 18, Duration: 30 * time.Second, PeakFactor: peakFactor,
		DataCentres: []coltsidentity.DataCentre{"a", "b", "c"},
		SlowRunners: slowRunners, SlowFactor: 4, RecomputePrice: 0.34,
		Classes: []Class{
			{
				Name: "long", ArrivalsPerSecond: 35, Sessions: 558, SharedTokens: 8600, UniqueTokens: 2900, OutputTokens: 380,
				Priority: 2, LatencyGoal: 600 * time.Millisecond, GapGoal: 300 * time.Millisecond, Timeout: 10 * time.Second,
				Value: 4, LateValue: 0.8,
			},
			{
				Name: "short", ArrivalsPerSecond: 66, Sessions: 1060, SharedTokens: 530, UniqueTokens: 300, OutputTokens: 290,
				Priority: 1, LatencyGoal: 300 * time.Millisecond, GapGoal: 300 * time.Millisecond, Timeout: 8 * time.Second,
				Value: 1.3, LateValue: 0.26,
			},
			{
				Name: "tag", ArrivalsPerSecond: 84, Sessions: 1350, SharedTokens: 1520, UniqueTokens: 850, OutputTokens: 22,
				Priority: 0, LatencyGoal: 400 * time.Millisecond, GapGoal: 300 * time.Millisecond,
				Timeout: 2500 * time.Millisecond, Value: 1.5, LateValue: 0.3,
			},
		},
		Stores: []StoreKind{
			{Name: "fast", Count: 3, CacheTokens: 396_000, LinkBitsPerSecond: 1.5e12, Latency: 500 * time.Microsecond},
			{Name: "slow", Count: 2, CacheTokens: 2_970_000, LinkBitsPerSecond: 590e9, Latency: 6 * time.Millisecond},
		},
		Engine: EngineParams{
			Slots: 48, CacheTokens: 109_648, BytesPerToken: 131_072, StepTime: 2200 * time.Microsecond,
			PrefillTokensPerSecond: 140_000, ChunkTokens: 2048, AttentionTime: 295 * time.Microsecond,
			ContextTime: 17500 * time.Nanosecond, TokensPerEvent: 9,
			LinkBitsPerSecond: 260e9,
		},
	}
}

// darkQuarter and coldQuarter crash a quarter of the runners. A restart of a process takes a
// fraction of a second, one of a machine some seconds.
var (
	darkQuarter = Crash{After: 3 * time.Second, Down: 3 * time.Second}
	coldQuarter = Crash{After: 3 * time.Second, Down: 300 * time.Millisecond, Cold: 3 * time.Second, ColdFactor: 4}
)

// customerLoadAge makes the loads of the other gateways 50 to 150 ms old, 100 ms in the mean.
const customerLoadAge = 50 * time.Millisecond

// customerA returns a scenario with the load and the instances of customer A of docs/design/hard-load.md:
// many gateways, and bursts of long and short requests. Its duration is one wave of the arrival rate.
func customerA(usage string, crash Crash) Scenario {
	s := customerScenario("customer A: "+usage, crash, 5)
	s.Gateways, s.Runners = 84, 90
	s.Engine.Slots, s.Engine.CacheTokens = 48, 100_815
	setClass(&s.Classes[0], 118, 2*time.Second, 15*time.Second, 2.5)
	setClass(&s.Classes[1], 346, 400*time.Millisecond, 12*time.Second, 1.7)
	setClass(&s.Classes[2], 206, 500*time.Millisecond, 3*time.Second, 1)
	for i := range s.Classes {
		s.Classes[i].GapGoal = 400 * time.Millisecond
	}
	return s
}

// unevenA returns the scenario of customer A with runners of different speed.
func unevenA() Scenario {
	s := customerA("a third of the runners takes twice as long", Crash{})
	s.SlowRunners, s.SlowFactor = 30, 2
	return s
}

// customerB returns a scenario with the load and the instances of customer B of docs/design/hard-load.md:
// few slots, and uneven gateways, runners and sessions.
func customerB(usage string, crash Crash) Scenario {
	s := customerScenario("customer B: "+usage, crash, 7)
	s.Gateways, s.Runners, s.UnevenGateways = 29, 140, true
	s.SlowRunners, s.SlowFactor = 35, 1.6
	s.HotSessions, s.HotShare = 5, 0.2
	s.Engine.Slots, s.Engine.CacheTokens = 12, 82_486
	setClass(&s.Classes[0], 210, 800*time.Millisecond, 10*time.Second, 1.5)
	setClass(&s.Classes[1], 282, 800*time.Millisecond, 10*time.Second, 1.5)
	setClass(&s.Classes[2], 409, 1200*time.Millisecond, 2500*time.Millisecond, 1.5)
	return s
}

// customerScenario returns the base scenario with several times its sessions and stores, for the
// duration of one wave of the arrival rate.
func customerScenario(usage string, crash Crash, factor int) Scenario {
	s := baseScenario(usage, 1, 0)
	s.Duration, s.LoadAge, s.Crash = wavePeriod, customerLoadAge, crash
	s.Classes, s.Stores = slices.Clone(s.Classes), slices.Clone(s.Stores)
	for i := range s.Classes {
		s.Classes[i].Sessions *= factor
	}
	for i := range s.Stores {
		s.Stores[i].Count *= factor
	}
	return s
}

// setClass sets the figures in which customers differ.
func setClass(c *Class, arrivals float64, latencyGoal, timeout time.Duration, peakFactor float64) {
	c.ArrivalsPerSecond, c.LatencyGoal, c.Timeout, c.PeakFactor = arrivals, latencyGoal, timeout, peakFactor
}
