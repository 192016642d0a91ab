package coltsforward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsroute"
)

// newPrompt returns a request for a prompt with a number of tokens, 100 of them in a shared
// part.
func newPrompt(tokens int) *Request {
	return &Request{
		Inbound: InboundRequest{PromptTokens: tokens, OutputTokens: 10, Parts: []Part{{ID: "a", Tokens: 100}, {ID: "own", Tokens: tokens - 100}}},
		Route:   coltsroute.Route{Sticky: true, LatencyGoal: time.Second},
		Service: "llm",
		Arrived: now,
	}
}

// demandOf returns a request's demand for runners with a KV cache of 10,000 tokens.
// cachedTokens is the number of its tokens that can be fetched.
func demandOf(r *Request, cachedTokens int) coltsbalance.Demand {
	return r.Demand(DemandInputs{Service: coltsroute.Service{Name: "llm", Engine: &coltsroute.Engine{CacheTokens: 10_000}}, CachedTokens: cachedTokens, CacheDataCentre: "z"}, now)
}

func TestDemand(t *testing.T) {
	t.Run("a request to a service without model runners has a weight of one", func(t *testing.T) {
		d := newPrompt(500).Demand(DemandInputs{Service: coltsroute.Service{Name: "app"}}, now)
		assert.Equal(t, d.Weight, 1.0)
		assert.Equal(t, d.Limit, 0.0)
		assert.Equal(t, len(d.Affinity), 0)
	})
	t.Run("the weight of a prompt is the KV cache that it takes on a runner", func(t *testing.T) {
		d := demandOf(newPrompt(300), 0)
		assert.Equal(t, d.Weight, 310.0)
		assert.Equal(t, d.Capacity, 10_000.0)
	})
	t.Run("only long prompts have a load limit", func(t *testing.T) {
		assert.Equal(t, demandOf(newPrompt(300), 0).Limit, 0.0)
		assert.Equal(t, demandOf(newPrompt(5000), 0).Limit, longPromptLimit)
	})
	t.Run("tokens that can be fetched are not prefilled", func(t *testing.T) {
		assert.Equal(t, demandOf(newPrompt(300), 0).Prefill, 300.0)
		assert.Equal(t, demandOf(newPrompt(300), 100).Prefill, 200.0)
	})
	t.Run("the affinity and the data centre of the parts are set", func(t *testing.T) {
		d := demandOf(newPrompt(300), 100)
		assert.Equal(t, string(d.Affinity), "a")
		assert.Equal(t, string(d.CacheDataCentre), "z")
	})
}

// limitAfter returns the load limit of a long prompt with a latency goal that has waited for a while,
// before runners whose strictest goal is 400 ms.
func limitAfter(goal, waited time.Duration) float64 {
	r := newPrompt(5000)
	r.Route.LatencyGoal = goal
	return r.Demand(DemandInputs{
		Service:       coltsroute.Service{Name: "llm", Engine: &coltsroute.Engine{CacheTokens: 10_000}},
		StrictestGoal: 400 * time.Millisecond,
	}, now.Add(waited)).Limit
}

// Guards against a burst of long prompts with a lenient goal that fills every runner and makes the short
// prompts, which go to runners at any load, late.
func TestLongPromptsLeaveRoom(t *testing.T) {
	t.Run("a long prompt that can wait leaves room", func(t *testing.T) {
		assert.Equal(t, limitAfter(2*time.Second, 0), patientPromptLimit)
		assert.Equal(t, limitAfter(2*time.Second, 790*time.Millisecond), patientPromptLimit)
	})
	t.Run("a long prompt with a goal of its own kind does not", func(t *testing.T) {
		assert.Equal(t, limitAfter(600*time.Millisecond, 0), longPromptLimit)
		assert.Equal(t, limitAfter(1900*time.Millisecond, 0), longPromptLimit)
	})
	t.Run("a late long prompt leaves more", func(t *testing.T) {
		assert.Equal(t, limitAfter(2*time.Second, 810*time.Millisecond), lateLongPromptLimit)
	})
	t.Run("without other goals nothing changes", func(t *testing.T) {
		assert.Equal(t, demandOf(newPrompt(5000), 0).Limit, longPromptLimit)
	})
}
