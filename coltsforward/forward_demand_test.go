package coltsforward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsroute"
)

// prompt returns a request whose prompt has some tokens, 100 of them shared.
func prompt(tokens int) *Life {
	return &Life{
		Asked:   InboundRequest{PromptTokens: tokens, OutputTokens: 10, Parts: []Part{{ID: "a", Tokens: 100}, {ID: "own", Tokens: tokens - 100}}},
		Route:   coltsroute.Route{Sticky: true, Goal: time.Second},
		Service: "llm",
		Arrived: now,
	}
}

// demand is what a request asks of runners with room for 10,000 tokens.
func demand(l *Life, held int) coltsbalance.Demand {
	return l.Demand(DemandInputs{Service: coltsroute.Service{Name: "llm", Engine: &coltsroute.Engine{CacheTokens: 10_000}}, CachedTokens: held, Near: "z"}, now)
}

func TestDemand(t *testing.T) {
	t.Run("a request of a plain service weighs one", func(t *testing.T) {
		d := prompt(500).Demand(DemandInputs{Service: coltsroute.Service{Name: "app"}}, now)
		assert.Equal(t, d.Weight, 1.0)
		assert.Equal(t, d.Limit, 0.0)
		assert.Equal(t, len(d.Affinity), 0)
	})
	t.Run("a prompt weighs what it takes of a runner's memory", func(t *testing.T) {
		d := demand(prompt(300), 0)
		assert.Equal(t, d.Weight, 310.0)
		assert.Equal(t, d.Capacity, 10_000.0)
	})
	t.Run("a long prompt waits for room and a short one does not", func(t *testing.T) {
		assert.Equal(t, demand(prompt(300), 0).Limit, 0.0)
		assert.Equal(t, demand(prompt(5000), 0).Limit, fullShare)
	})
	t.Run("what can be fetched is not read", func(t *testing.T) {
		assert.Equal(t, demand(prompt(300), 0).Reading, 300.0)
		assert.Equal(t, demand(prompt(300), 100).Reading, 200.0)
	})
	t.Run("it is drawn to where its parts are", func(t *testing.T) {
		d := demand(prompt(300), 100)
		assert.Equal(t, string(d.Affinity), "a")
		assert.Equal(t, string(d.Near), "z")
	})
}
