package coltssystem

// The whole path, end to end over TCP, as callers see it.

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltscache"
	"coltsfootstall/coltscaller"
	"coltsfootstall/coltsstandin"
)

// startSystem starts a small fast system that ends with the test.
func startSystem(t *testing.T, change func(*Config)) *System {
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
	if change != nil {
		change(&cfg)
	}
	s, err := Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(s.Stop)
	return s
}

// promptOf returns a prompt of some whole pieces; name makes it its own.
func promptOf(name string, pieces int) coltscaller.Prompt {
	text := name + strings.Repeat(" seed paper for the market day", pieces*coltscache.PieceBytes/30+1)
	return coltscaller.Prompt{
		Model:     ModelName,
		Messages:  []coltscaller.Message{{Role: "user", Content: text}},
		MaxTokens: 8,
	}
}

// expectedAnswer returns the answer that any runner gives.
func expectedAnswer(p coltscaller.Prompt) string {
	var text []byte
	for _, m := range p.Messages {
		text = append(text, m.Role...)
		text = append(text, 0)
		text = append(text, m.Content...)
		text = append(text, 0)
	}
	return coltsstandin.Answer(text, p.MaxTokens)
}

// assertWhole asserts that a reply is the whole answer to its own prompt.
func assertWhole(t *testing.T, p coltscaller.Prompt, r coltscaller.Reply, err error) {
	t.Helper()
	assert.NilError(t, err)
	assert.Equal(t, r.Refusal, "")
	assert.Assert(t, r.Whole)
	assert.Equal(t, r.Text, expectedAnswer(p))
}

func TestWholePath(t *testing.T) {
	s := startSystem(t, nil)
	client := coltscaller.New(coltscaller.Config{Key: KeySeedPaper})

	t.Run("a streamed answer comes whole", func(t *testing.T) {
		p := promptOf("one", 2)
		r, err := client.Stream(s.Entries[0].CallerAddr(), p)
		assertWhole(t, p, r, err)
	})

	t.Run("a second turn goes back to the runner that holds its pieces", func(t *testing.T) {
		p := promptOf("two", 3)
		first, err := client.Stream(s.Entries[0].CallerAddr(), p)
		assertWhole(t, p, first, err)
		before := s.computed()
		p.Messages = append(p.Messages, coltscaller.Message{Role: "user", Content: "and the next batch"})
		second, err := client.Stream(s.Entries[1].CallerAddr(), p)
		assertWhole(t, p, second, err)
		assert.Equal(t, second.Upstream, first.Upstream)
		assert.Assert(t, s.computed()-before < coltscache.PieceTokens+100)
	})

	t.Run("a booking sent twice runs once", func(t *testing.T) {
		call := coltscaller.Call{Service: ServiceName, Path: "runs", Key: "booking-1", Body: []byte(`{"sheets":5}`)}
		first, err := client.Call(s.Entries[0].CallerAddr(), call)
		assert.NilError(t, err)
		second, err := client.Call(s.Entries[1].CallerAddr(), call)
		assert.NilError(t, err)
		assert.Equal(t, first.Status, 200)
		assert.Equal(t, string(second.Body), string(first.Body))
		assert.Assert(t, second.Replayed)
		assert.Equal(t, s.runs("booking-1"), 1)
	})
}

// computed returns the prompt tokens that all runners have computed.
func (s *System) computed() int64 {
	var sum int64
	for _, r := range s.Runners {
		sum += r.Computed()
	}
	return sum
}

// runs returns how often all services have run a key.
func (s *System) runs(key string) int {
	sum := 0
	for _, service := range s.Services {
		sum += service.Runs()[key]
	}
	return sum
}
