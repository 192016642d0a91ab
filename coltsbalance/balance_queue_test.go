package coltsbalance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// later is the dispatch deadline of requests that can still meet their goal.
var later = now.Add(300 * time.Millisecond)

// assertFirst asserts that first is the next ticket to be sent at a given time, and the
// others are not.
func assertFirst(t *testing.T, q *Queue, at time.Time, first *Ticket, others ...*Ticket) {
	t.Helper()
	assert.Assert(t, q.IsFirst(first, at), "the ticket is not the next one")
	for _, other := range others {
		assert.Assert(t, !q.IsFirst(other, at), "another ticket is the next one as well")
	}
}

func TestQueue(t *testing.T) {
	t.Run("requests of equal priority are sent in order of arrival", func(t *testing.T) {
		q := NewQueue()
		first, second := q.Join("llm", 2, later), q.Join("llm", 2, later)
		assertFirst(t, q, now, first, second)
		q.Leave(first)
		assertFirst(t, q, now, second, first)
	})
	t.Run("a higher priority is sent first", func(t *testing.T) {
		q := NewQueue()
		low, high := q.Join("llm", 2, later), q.Join("llm", 1, later)
		assertFirst(t, q, now, high, low)
	})
	t.Run("a request that can meet its goal is sent before one that cannot", func(t *testing.T) {
		q := NewQueue()
		late, onTime := q.Join("llm", 1, now), q.Join("llm", 2, later)
		assertFirst(t, q, now, onTime, late)
		assertFirst(t, q, later, late, onTime)
	})
	t.Run("leaving twice changes nothing", func(t *testing.T) {
		q := NewQueue()
		first, second := q.Join("llm", 2, later), q.Join("llm", 2, later)
		q.Leave(first)
		q.Leave(first)
		assert.Equal(t, q.Len("llm"), 1)
		assertFirst(t, q, now, second)
	})
	t.Run("a new request waits only behind those that can meet their goal", func(t *testing.T) {
		q := NewQueue()
		q.Join("llm", 1, later)
		assert.Assert(t, q.MustWait("llm", 1, now))
		assert.Assert(t, !q.MustWait("llm", 0, now))
		assert.Assert(t, !q.MustWait("app", 1, now))
		assert.Assert(t, !q.MustWait("llm", 1, later))
	})
}
