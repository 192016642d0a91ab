package coltsdeparture

// Guards against departures that are forgotten, taken back, or kept without bound.

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
)

var start = time.Unix(1_700_000_000, 0)

func process(id string, startedAt time.Time) coltsregistry.Process {
	return coltsregistry.Process{ID: coltsidentity.Upstream(id), StartedAt: startedAt}
}

// apply applies a departure and asserts the state that the process is known to have reached.
func apply(t *testing.T, r *Register, p coltsregistry.Process, s coltsregistry.State, at time.Time, want coltsregistry.State) {
	t.Helper()
	r.Apply(Departure{Process: p, State: s}, at)
	assert.Equal(t, r.StateOf(p), want)
}

func TestApply(t *testing.T) {
	first, second := process("a", start), process("a", start.Add(time.Second))
	t.Run("a process never goes back to an earlier state", func(t *testing.T) {
		r := NewRegister()
		apply(t, r, first, coltsregistry.StateGone, start, coltsregistry.StateGone)
		apply(t, r, first, coltsregistry.StateDraining, start, coltsregistry.StateGone)
		assert.Equal(t, r.Current().Revision, uint64(1))
	})
	t.Run("a later process with the same ID has not departed", func(t *testing.T) {
		r := NewRegister()
		apply(t, r, first, coltsregistry.StateGone, start, coltsregistry.StateGone)
		assert.Equal(t, r.StateOf(second), coltsregistry.StateReady)
	})
	t.Run("the start is the same in another time zone", func(t *testing.T) {
		r := NewRegister()
		apply(t, r, first, coltsregistry.StateGone, start, coltsregistry.StateGone)
		assert.Equal(t, r.StateOf(process("a", start.In(time.FixedZone("zone", 3600)))), coltsregistry.StateGone)
	})
	t.Run("a departure of an unknown process is none", func(t *testing.T) {
		r := NewRegister()
		apply(t, r, process("a", time.Time{}), coltsregistry.StateGone, start, coltsregistry.StateReady)
		apply(t, r, process("", start), coltsregistry.StateGone, start, coltsregistry.StateReady)
		assert.Equal(t, r.Current().Revision, uint64(0))
	})
	t.Run("old departures are forgotten with the next one", func(t *testing.T) {
		r := NewRegister()
		apply(t, r, first, coltsregistry.StateGone, start, coltsregistry.StateGone)
		apply(t, r, second, coltsregistry.StateGone, start.Add(retention+time.Second), coltsregistry.StateGone)
		assert.Equal(t, r.StateOf(first), coltsregistry.StateReady)
	})
	t.Run("the oldest are forgotten beyond the bound", func(t *testing.T) {
		r := NewRegister()
		for i := range maxDepartures + 1 {
			r.Apply(Departure{Process: process(fmt.Sprint(i), start), State: coltsregistry.StateGone}, start.Add(time.Duration(i)*time.Millisecond))
		}
		assert.Equal(t, len(r.Current().Departures), maxDepartures)
		assert.Equal(t, r.StateOf(process("0", start)), coltsregistry.StateReady)
		assert.Equal(t, r.StateOf(process("1", start)), coltsregistry.StateGone)
	})
	t.Run("processes that are not listed drop no departure of one that is", func(t *testing.T) {
		r := NewRegister()
		apply(t, r, first, coltsregistry.StateGone, start, coltsregistry.StateGone)
		invented := 0
		for ; r.HasRoom(start); invented++ {
			r.Apply(Departure{Process: process(fmt.Sprint(invented), start), State: coltsregistry.StateGone}, start)
		}
		assert.Assert(t, invented < maxDepartures)
		assert.Equal(t, r.StateOf(first), coltsregistry.StateGone)
		assert.Assert(t, r.HasRoom(start.Add(retention+1)))
	})
	t.Run("an imported state is the same", func(t *testing.T) {
		r, imported := NewRegister(), NewRegister()
		apply(t, r, first, coltsregistry.StateDraining, start, coltsregistry.StateDraining)
		imported.Import(r.Current())
		assert.Equal(t, imported.StateOf(first), coltsregistry.StateDraining)
		apply(t, imported, first, coltsregistry.StateGone, start, coltsregistry.StateGone)
		assert.Equal(t, r.StateOf(first), coltsregistry.StateDraining)
	})
}
