package coltsdrain

// Guards against requests that are taken late in a stop and cut off at its end.

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsattempt"
)

var stopAt = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time { return stopAt.Add(time.Duration(seconds * float64(time.Second))) }

// assertTaken asserts whether a request is taken during a stop in which requests are late from 3 s and
// must end by 8 s.
func assertTaken(t *testing.T, arrived, deadline time.Time, want bool) {
	t.Helper()
	plan := &Plan{LateFrom: at(3), EndBy: at(8)}
	refused := plan.Refusal(arrived, deadline)
	assert.Equal(t, refused == nil, want)
	if refused != nil {
		assert.Equal(t, refused.Outcome, coltsattempt.OutcomeNotRun)
	}
}

func TestPlan(t *testing.T) {
	t.Run("an early request is taken whatever its deadline", func(t *testing.T) {
		assertTaken(t, at(2.9), at(20), true)
	})
	t.Run("a late request that ends in time is taken", func(t *testing.T) {
		assertTaken(t, at(3), at(8), true)
	})
	t.Run("a late request that may last longer is refused", func(t *testing.T) {
		assertTaken(t, at(3), at(8.001), false)
	})
	t.Run("a late request without a deadline is refused", func(t *testing.T) {
		assertTaken(t, at(3), time.Time{}, false)
	})
	t.Run("an instance that is not being stopped takes every request", func(t *testing.T) {
		var plan *Plan
		assert.Assert(t, plan.Refusal(at(9), time.Time{}) == nil)
	})
}
