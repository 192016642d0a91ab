package coltsadvice

// Schedules of pauses, their ends and restarts, without a network.

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	born  = start.Add(-time.Minute)
)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// paused returns the advice of a process that wants a pause of two seconds from start on.
func paused() *Advice {
	a := &Advice{startedAt: born}
	a.Pause(born, at(2), start)
	return a
}

func assertAdmits(t *testing.T, a *Advice, now time.Time, want bool) {
	t.Helper()
	assert.Equal(t, a.Admits(now), want, "at %v", now.Sub(start))
}

func TestPause(t *testing.T) {
	t.Run("nothing is sent before its end", func(t *testing.T) {
		assertAdmits(t, paused(), at(0), false)
		assertAdmits(t, paused(), at(1.999), false)
		assertAdmits(t, paused(), at(2), true)
		assert.Equal(t, paused().PausedUntil(at(1)), at(2))
	})
	t.Run("of a hundred answers the longest counts", func(t *testing.T) {
		a := &Advice{startedAt: born}
		news := 0
		for i := range 100 {
			if a.Pause(born, at(float64(i%7)), at(0.001*float64(i))) {
				news++
			}
		}
		assert.Equal(t, a.PausedUntil(at(1)), at(6))
		assert.Equal(t, news, 6)
	})
	t.Run("one that is over, or without end, is none or bounded", func(t *testing.T) {
		a := &Advice{startedAt: born}
		assert.Assert(t, !a.Pause(born, start, start))
		assert.Assert(t, !a.Pause(born, at(-5), start))
		assertAdmits(t, a, start, true)
		assert.Assert(t, a.Pause(born, start.Add(1e6*time.Hour), start))
		assert.Equal(t, a.PausedUntil(start), start.Add(maxPause))
	})
}

func TestEndOfPause(t *testing.T) {
	t.Run("the first request goes alone, the others follow its outcome", func(t *testing.T) {
		a := paused()
		assert.Assert(t, a.Sent(at(2)))
		assertAdmits(t, a, at(2.1), false)
		a.TrialEnded()
		assertAdmits(t, a, at(2.2), true)
		assert.Assert(t, !a.Sent(at(2.2)))
	})
	t.Run("an outcome from before the end is not waited for", func(t *testing.T) {
		a := paused()
		a.TrialEnded()
		assert.Assert(t, a.Sent(at(2)))
		assertAdmits(t, a, at(2.1), false)
	})
	t.Run("without an outcome another one goes after a while", func(t *testing.T) {
		a := paused()
		a.Sent(at(2))
		assertAdmits(t, a, at(2).Add(trialTimeout), true)
		assert.Assert(t, a.Sent(at(2).Add(trialTimeout)))
	})
	t.Run("a herd at each end sends one request in all", func(t *testing.T) {
		a, sent := paused(), 0
		for ms := range 10_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for range 100 {
				if a.Admits(now) {
					a.Sent(now)
					sent++
					a.Pause(born, now.Add(2*time.Second), now)
					a.TrialEnded()
				}
			}
		}
		assert.Equal(t, sent, 4)
	})
}

func TestLeaving(t *testing.T) {
	t.Run("a process that leaves gets nothing, whatever it reports later", func(t *testing.T) {
		a := &Advice{startedAt: born}
		assert.Assert(t, a.Leave(born))
		assert.Assert(t, !a.Leave(born))
		a.Restart(born)
		assertAdmits(t, a, at(60), false)
	})
	t.Run("a new process is free of it, and of a pause", func(t *testing.T) {
		a := paused()
		a.Leave(born)
		a.Restart(start)
		assertAdmits(t, a, at(1), true)
	})
	t.Run("what an earlier process says late is ignored", func(t *testing.T) {
		a := &Advice{startedAt: start}
		assert.Assert(t, !a.Leave(born))
		assert.Assert(t, !a.Pause(born, at(5), start))
		assertAdmits(t, a, at(1), true)
	})
}
