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

// takeRetries takes retries until the budget is used up and returns their number.
func takeRetries(w *RetryWindow, instances int, now time.Time) int {
	n := 0
	for w.Retry("llm", instances, now) {
		n++
	}
	return n
}

func TestWindow(t *testing.T) {
	t.Run("the slack is divided among the instances", func(t *testing.T) {
		assert.Equal(t, takeRetries(newTestWindow(), 1, windowStart), 16)
		assert.Equal(t, takeRetries(newTestWindow(), 4, windowStart), 4)
	})
	t.Run("requests add their share to the budget", func(t *testing.T) {
		w := newTestWindow()
		for range 100 {
			w.CountRequest("llm", windowStart)
		}
		assert.Equal(t, takeRetries(w, 4, windowStart), 20)
	})
	t.Run("services have separate budgets", func(t *testing.T) {
		w := newTestWindow()
		takeRetries(w, 1, windowStart)
		assert.Assert(t, w.Retry("app", 1, windowStart))
	})
	t.Run("used budget is restored after the window and not before", func(t *testing.T) {
		w := newTestWindow()
		takeRetries(w, 1, windowStart)
		assert.Equal(t, takeRetries(w, 1, windowStart.Add(9*time.Second)), 0)
		assert.Equal(t, takeRetries(w, 1, windowStart.Add(10*time.Second)), 16)
	})
}
