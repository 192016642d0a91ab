package coltswire

// Guards against departures that are lost in the log or in a snapshot.

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsdeparture"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltsstate"
)

func TestDepartures(t *testing.T) {
	p := coltsregistry.Process{ID: "a", StartedAt: now.Add(-time.Hour)}
	m := coltsstate.NewMachine()
	bytes, err := MarshalCommand(coltsstate.Command{
		Kind: coltsstate.CommandDeparture, At: now, Departure: coltsdeparture.Departure{Process: p, State: coltsregistry.StateGone},
	})
	assert.NilError(t, err)
	command, err := UnmarshalCommand(bytes)
	assert.NilError(t, err)
	assert.NilError(t, m.Apply(command).Err)
	t.Run("a departure survives in the log and in a snapshot", func(t *testing.T) {
		want := coltsdeparture.State{Revision: 1, Departures: []coltsdeparture.Departure{{Process: p, State: coltsregistry.StateGone, At: now}}}
		for _, m := range []*coltsstate.Machine{m, reloaded(t, m)} {
			assert.DeepEqual(t, m.Departures.Current(), want)
			assert.Equal(t, m.Departures.StateOf(p), coltsregistry.StateGone)
		}
	})
	t.Run("no departure takes no bytes in a snapshot", func(t *testing.T) {
		assert.Assert(t, EncodeDepartures(coltsdeparture.State{}) == nil)
	})
}
