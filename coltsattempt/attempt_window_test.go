package coltsattempt

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var windowStart = time.Unix(1_700_000_000, 0)

func newTestWindow() *RetryWindow {
	return NewWindow(WindowConfig{Ratio: 0.2, Slack: 20, Window: 10 * time.Second})
}

// retriesOf takes retries until the budget is used up and returns their number.
func retriesOf(w *RetryWindow, instances int, now time.Time) int {
	n := 0
	for w.Retry("llm", instances, now) {
		n++
	}
	return n
}

func TestWindow(t *testing.T) {
	t.Run("the fixed number is shared", func(t *testing.T) {
		assert.Equal(t, retriesOf(newTestWindow(), 1, windowStart), 16)
		assert.Equal(t, retriesOf(newTestWindow(), 4, windowStart), 4)
	})
	t.Run("requests earn their share", func(t *testing.T) {
		w := newTestWindow()
		for range 100 {
			w.CountRequest("llm", windowStart)
		}
		assert.Equal(t, retriesOf(w, 4, windowStart), 20)
	})
	t.Run("services don't share", func(t *testing.T) {
		w := newTestWindow()
		retriesOf(w, 1, windowStart)
		assert.Assert(t, w.Retry("app", 1, windowStart))
	})
	t.Run("what was used comes back after the window and not before", func(t *testing.T) {
		w := newTestWindow()
		retriesOf(w, 1, windowStart)
		assert.Equal(t, retriesOf(w, 1, windowStart.Add(9*time.Second)), 0)
		assert.Equal(t, retriesOf(w, 1, windowStart.Add(10*time.Second)), 16)
	})
}
