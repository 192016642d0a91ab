package coltsbalance

import (
	"testing"

	"gotest.tools/v3/assert"
)

// assertTurn asserts whether a ticket is the first.
func assertTurn(t *testing.T, ticket *Ticket, want bool) {
	t.Helper()
	select {
	case <-ticket.Turn():
		assert.Assert(t, want, "it is not its turn")
	default:
		assert.Assert(t, !want, "it is its turn")
	}
}

func TestQueue(t *testing.T) {
	t.Run("the first has its turn at once, the next when it leaves", func(t *testing.T) {
		q := NewQueue()
		first, second := q.Join("llm", 2), q.Join("llm", 2)
		assertTurn(t, first, true)
		assertTurn(t, second, false)
		q.Leave(first)
		assertTurn(t, second, true)
	})
	t.Run("a better rank goes before all but the first", func(t *testing.T) {
		q := NewQueue()
		first, worse, better := q.Join("llm", 2), q.Join("llm", 2), q.Join("llm", 1)
		q.Leave(first)
		assertTurn(t, better, true)
		assertTurn(t, worse, false)
	})
	t.Run("one that leaves from the middle changes nothing", func(t *testing.T) {
		q := NewQueue()
		first, second, third := q.Join("llm", 2), q.Join("llm", 2), q.Join("llm", 2)
		q.Leave(second)
		assertTurn(t, third, false)
		q.Leave(first)
		assertTurn(t, third, true)
		q.Leave(third)
		q.Leave(third)
		assert.Equal(t, q.Len("llm"), 0)
	})
	t.Run("only a better rank passes who waits", func(t *testing.T) {
		q := NewQueue()
		q.Join("llm", 1)
		assert.Assert(t, q.Waits("llm", 1))
		assert.Assert(t, !q.Waits("llm", 0))
		assert.Assert(t, !q.Waits("app", 1))
	})
}
