package coltsbody

// Guards against bodies that are counted as less than they take, and against whole bodies that give way.

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRoom(t *testing.T) {
	t.Run("the whole memory of a body counts", func(t *testing.T) {
		r := newRoom(1000)
		share := r.budget.NewShare()
		assert.NilError(t, r.take(share, 1000, &Body{}, time.Now))
		assert.Equal(t, r.budget.Used(), 1000)
		assert.Assert(t, r.take(r.budget.NewShare(), 1, &Body{}, time.Now) != nil)
	})
}

func TestSlow(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name string
		size int64
		age  time.Duration
		slow bool
	}{
		{"a body in its first second does not give way", 2 << 10, time.Second, false},
		{"a body without progress gives way", 2 << 10, 1100 * time.Millisecond, true},
		{"a body that arrives fast does not give way", 4 << 20, 4 * time.Second, false},
		{"a body that arrived fast and stopped gives way", 1 << 20, 2100 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, isSlow(start, c.size, start.Add(c.age)), c.slow) })
	}
}
