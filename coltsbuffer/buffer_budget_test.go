package coltsbuffer

import (
	"errors"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// assertExhausted asserts that a share can't grow to size and that the budget is unchanged.
func assertExhausted(t *testing.T, s *Share, size int) {
	t.Helper()
	before := s.budget.Used()
	var exhausted *ExhaustedError
	assert.Assert(t, errors.As(s.Grow(size), &exhausted))
	assert.Equal(t, exhausted.Wanted, size)
	assert.Equal(t, s.budget.Used(), before)
}

func TestBudget(t *testing.T) {
	t.Run("a short message always fits", func(t *testing.T) {
		s := NewBudget(0).NewShare()
		assert.NilError(t, s.Grow(freeBytes))
		assertExhausted(t, s, freeBytes+1)
	})
	t.Run("a message that grows takes only what is new", func(t *testing.T) {
		b := NewBudget(1000)
		s := b.NewShare()
		assert.NilError(t, s.Grow(freeBytes+400))
		assert.NilError(t, s.Grow(freeBytes+1000))
		assert.NilError(t, s.Grow(freeBytes+500))
		assert.Equal(t, b.Used(), 1000)
		assertExhausted(t, s, freeBytes+1001)
	})
	t.Run("a released share makes room for others", func(t *testing.T) {
		b := NewBudget(1000)
		first, second := b.NewShare(), b.NewShare()
		assert.NilError(t, first.Grow(freeBytes+1000))
		assertExhausted(t, second, freeBytes+1)
		first.Release()
		first.Release()
		assert.NilError(t, second.Grow(freeBytes+1000))
	})
	t.Run("messages that grow at once never exceed the budget", func(t *testing.T) {
		b := NewBudget(5000)
		var group sync.WaitGroup
		for range 50 {
			group.Go(func() {
				s := b.NewShare()
				defer s.Release()
				for size := freeBytes; size < freeBytes+2000 && s.Grow(size) == nil; size += 100 {
					assert.Check(t, b.Used() <= 5000+50*100)
				}
			})
		}
		group.Wait()
		assert.Equal(t, b.Used(), 0)
	})
}
