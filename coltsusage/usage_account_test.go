package coltsusage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func batch(number uint64, started time.Time) Batch {
	return Batch{Instance: "entry-1", Started: started, Number: number,
		Lines: []Line{{Organisation: "acme", Item: "writer", Amounts: Amounts{Requests: 1, Micros: 5}}}}
}

func assertRequests(t *testing.T, a *Account, want int64) {
	t.Helper()
	var sum int64
	for _, line := range a.Spend() {
		sum += line.Amounts.Requests
	}
	assert.Equal(t, sum, want)
}

func TestAccount(t *testing.T) {
	t.Run("a batch sent twice counts once", func(t *testing.T) {
		a := NewAccount()
		assert.Assert(t, a.AddBatch(batch(1, start)))
		assert.Assert(t, !a.AddBatch(batch(1, start)))
		assertRequests(t, a, 1)
	})
	t.Run("a restarted process begins anew", func(t *testing.T) {
		a := NewAccount()
		a.AddBatch(batch(1, start))
		assert.Assert(t, a.AddBatch(batch(1, start.Add(time.Second))))
		assert.Assert(t, !a.AddBatch(batch(2, start)), "a late batch of the old process")
		assertRequests(t, a, 2)
	})
	t.Run("an import gives the same state", func(t *testing.T) {
		a, copied := NewAccount(), NewAccount()
		a.AddBatch(batch(1, start))
		copied.Import(a.Export())
		assert.Assert(t, !copied.AddBatch(batch(1, start)))
		assert.DeepEqual(t, copied.Spend(), a.Spend())
	})
}

func TestBatcher(t *testing.T) {
	m := NewMeter()
	b := NewBatcher(m, Source{Instance: "entry-1", Started: start})
	_, more := b.Next()
	assert.Assert(t, !more)
	m.Add(batch(0, start).Lines[0])
	first, more := b.Next()
	assert.Assert(t, more)
	m.Add(batch(0, start).Lines[0])

	t.Run("a batch stays the same until it is acknowledged", func(t *testing.T) {
		again, _ := b.Next()
		assert.DeepEqual(t, again, first)
	})
	t.Run("then the next one follows", func(t *testing.T) {
		b.Acknowledge(first.Number)
		next, more := b.Next()
		assert.Assert(t, more)
		assert.Equal(t, next.Number, first.Number+1)
		assert.Equal(t, next.Lines[0].Amounts.Requests, int64(1))
	})
}
