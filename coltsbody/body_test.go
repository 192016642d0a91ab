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
