package coltsbuffer

// Guards against messages that are refused though the budget has room for them.

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRefusedMessages(t *testing.T) {
	t.Run("a message that does not fit takes no room from one that does", func(t *testing.T) {
		b := New(Config{Limit: 1000})
		done := make(chan struct{})
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() {
				long := b.NewShare()
				for {
					select {
					case <-done:
						return
					default:
						_ = long.Grow(1001)
					}
				}
			})
		}
		short, failed := b.NewShare(), 0
		for range 20_000 {
			if short.Grow(10) != nil {
				failed++
			}
			short.Release()
		}
		close(done)
		group.Wait()
		assert.Equal(t, failed, 0)
	})
}
