package coltsobjective

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsdocument"
)

func TestBurn(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	objectives := []coltsdocument.Objective{{Name: "first-token", MaxTimeToFirstToken: time.Second, PerMille: 950}}
	r := NewRecorder()
	for i := range 100 {
		timeToFirstToken := time.Millisecond
		if i < 10 {
			timeToFirstToken = 2 * time.Second
		}
		r.RecordFirstToken(objectives, "acme", "writer", timeToFirstToken, start)
	}
	counts := func(now time.Time) [len(Windows)]Counts { return r.Rows(now)[0].Counts }

	t.Run("every window counts a new request", func(t *testing.T) {
		for _, c := range counts(start) {
			assert.Equal(t, c, Counts{Good: 90, Bad: 10})
		}
	})
	t.Run("a burn rate of one consumes the budget exactly", func(t *testing.T) {
		assert.Equal(t, BurnRate(Counts{Good: 95, Bad: 5}, 950), 1.0)
		assert.Equal(t, BurnRate(counts(start)[0], 950), 2.0)
		assert.Equal(t, BurnRate(Counts{}, 950), 0.0)
	})
	t.Run("requests older than a window are not counted in it", func(t *testing.T) {
		later := counts(start.Add(10 * time.Minute))
		assert.Equal(t, later[0], Counts{})
		assert.Equal(t, later[1], Counts{Good: 90, Bad: 10})
	})
	t.Run("rows of several instances are summed", func(t *testing.T) {
		rows := r.Rows(start)
		assert.Equal(t, Merge(rows, rows)[0].Counts[0], Counts{Good: 180, Bad: 20})
	})
}
