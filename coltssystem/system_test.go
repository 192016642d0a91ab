package coltssystem

// End-to-end tests over TCP from the caller's side.

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltscache"
	"coltsfootstall/coltscaller"
	"coltsfootstall/coltsstandin"
)

// startSystem starts a small, fast system and stops it at the end of the test.
// configure, if not nil, changes the default configuration.
func startSystem(t *testing.T, configure func(*Config)) *System {
	t.Helper()
	cfg := Config{
		DataFolder: t.TempDir(),
		Entries:    2,
		Runners:    3,
		Stores:     1,
		Services:   2,
		Runner: coltsstandin.RunnerConfig{
			PrefillPerSecond: 200_000,
			TokenPeriod:      time.Millisecond,
			MemoryPieces:     1000,
		},
		Store:   coltsstandin.StoreConfig{PiecesPerSecond: 2000, CapacityPieces: 10_000},
		Service: coltsstandin.ServiceConfig{Duration: time.Millisecond},
	}
	if configure != nil {
		configure(&cfg)
	}
	s, err := Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(s.Stop)
	return s
}

// newPrompt returns a prompt that fills at least the given number of cache pieces.
// Prompts with different names share no pieces.
func newPrompt(name string, pieces int) coltscaller.Prompt {
	text := name + strings.Repeat(" seed paper for the market day", pieces*coltscache.PieceBytes/30+1)
	return coltscaller.Prompt{
		Model:     ModelName,
		Messages:  []coltscaller.Message{{Role: "user", Content: text}},
		MaxTokens: 8,
	}
}

// expectedAnswer returns the answer that every simulated runner gives to a prompt.
func expectedAnswer(p coltscaller.Prompt) string {
	var conversation []byte
	for _, m := range p.Messages {
		conversation = append(conversation, m.Role...)
		conversation = append(conversation, 0)
		conversation = append(conversation, m.Content...)
		conversation = append(conversation, 0)
	}
	return coltsstandin.Answer(conversation, p.MaxTokens)
}

// assertComplete asserts that a reply is the complete answer to its prompt.
func assertComplete(t *testing.T, p coltscaller.Prompt, r coltscaller.Reply, err error) {
	t.Helper()
	assert.NilError(t, err)
	assert.Equal(t, r.Refusal, "")
	assert.Assert(t, r.Complete)
	assert.Equal(t, r.Text, expectedAnswer(p))
}

func TestWholePath(t *testing.T) {
	s := startSystem(t, nil)
	client := coltscaller.New(coltscaller.Config{Key: KeySeedPaper})

	t.Run("a streamed answer is complete", func(t *testing.T) {
		p := newPrompt("one", 2)
		r, err := client.Stream(s.Entries[0].CallerAddr(), p)
		assertComplete(t, p, r, err)
	})

	t.Run("a second turn is routed to the runner that caches its pieces", func(t *testing.T) {
		p := newPrompt("two", 3)
		first, err := client.Stream(s.Entries[0].CallerAddr(), p)
		assertComplete(t, p, first, err)
		before := s.computedTokens()
		p.Messages = append(p.Messages, coltscaller.Message{Role: "user", Content: "and the next batch"})
		second, err := client.Stream(s.Entries[1].CallerAddr(), p)
		assertComplete(t, p, second, err)
		assert.Equal(t, second.Upstream, first.Upstream)
		assert.Assert(t, s.computedTokens()-before < coltscache.PieceTokens+100)
	})

	t.Run("a booking sent twice runs once", func(t *testing.T) {
		call := coltscaller.Call{Service: ServiceName, Path: "runs", IdempotencyKey: "booking-1", Body: []byte(`{"sheets":5}`)}
		first, err := client.Call(s.Entries[0].CallerAddr(), call)
		assert.NilError(t, err)
		second, err := client.Call(s.Entries[1].CallerAddr(), call)
		assert.NilError(t, err)
		assert.Equal(t, first.Status, 200)
		assert.Equal(t, string(second.Body), string(first.Body))
		assert.Assert(t, second.Replayed)
		assert.Equal(t, s.runCount("booking-1"), 1)
	})
}

// computedTokens returns the number of prompt tokens that all runners have computed.
func (s *System) computedTokens() int64 {
	var sum int64
	for _, r := range s.Runners {
		sum += r.ComputedTokens()
	}
	return sum
}

// runCount returns how often the services have run the call with this key.
func (s *System) runCount(key string) int {
	sum := 0
	for _, service := range s.Services {
		sum += service.Runs()[key]
	}
	return sum
}
