package coltswire

// Guards against evacuations that are lost in a snapshot, and against bytes for evacuations where none
// was ever ordered.

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootstall/coltsevacuation"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltswire/coltspb"
)

var now = time.Unix(1_700_000_000, 123)

// applyOrder sends an order to a machine through the encoding of the log.
func applyOrder(t *testing.T, m *coltsstate.Machine, at time.Time, o coltsevacuation.Order) error {
	t.Helper()
	bytes, err := MarshalCommand(coltsstate.Command{Kind: coltsstate.CommandEvacuation, At: at, Evacuation: o})
	assert.NilError(t, err)
	command, err := UnmarshalCommand(bytes)
	assert.NilError(t, err)
	return m.Apply(command).Err
}

// reloaded returns a machine with the state of another one, through the encoding of snapshots.
func reloaded(t *testing.T, m *coltsstate.Machine) *coltsstate.Machine {
	t.Helper()
	bytes, err := MarshalSnapshot(m.Export())
	assert.NilError(t, err)
	state, err := UnmarshalSnapshot(bytes)
	assert.NilError(t, err)
	copied := coltsstate.NewMachine()
	copied.Import(state)
	return copied
}

func TestEvacuations(t *testing.T) {
	m := coltsstate.NewMachine()
	assert.NilError(t, applyOrder(t, m, now, coltsevacuation.Order{DataCentre: "z1"}))
	assert.NilError(t, applyOrder(t, m, now.Add(time.Second), coltsevacuation.Order{DataCentre: "z2"}))
	assert.NilError(t, applyOrder(t, m, now.Add(2*time.Second), coltsevacuation.Order{DataCentre: "z1", Ends: true}))
	assert.NilError(t, applyOrder(t, m, now.Add(2*time.Second), coltsevacuation.Order{DataCentre: "z3", Ends: true}))
	t.Run("orders in the log keep their time and survive in a snapshot", func(t *testing.T) {
		want := coltsevacuation.State{Revision: 3, Newest: 4, NewestUnlisted: 4, Evacuations: []coltsevacuation.Evacuation{
			{DataCentre: "z1", Ended: true, ChangedAt: now.Add(2 * time.Second), Order: 3},
			{DataCentre: "z2", ChangedAt: now.Add(time.Second), Order: 2},
		}}
		assert.DeepEqual(t, m.Evacuations.Current(), want)
		assert.DeepEqual(t, reloaded(t, m).Evacuations.Current(), want)
	})
	t.Run("a copy of an order that was overtaken is told apart, also by a restored instance", func(t *testing.T) {
		after := coltsevacuation.OrderNumber(2)
		late := coltsevacuation.Order{DataCentre: "z1", After: &after}
		want := &coltsevacuation.SupersededError{DataCentre: "z1", Newest: 4}
		for _, m := range []*coltsstate.Machine{m, reloaded(t, m)} {
			err := applyOrder(t, m, now, late)
			assert.DeepEqual(t, err, want)
			assert.DeepEqual(t, DecodeRefusal(EncodeRefusal(err)), want)
		}
	})
	t.Run("the refusal of an order keeps its type and fields", func(t *testing.T) {
		err := applyOrder(t, m, now, coltsevacuation.Order{DataCentre: coltsidentity.DataCentre("z\n")})
		assert.DeepEqual(t, DecodeRefusal(EncodeRefusal(err)), err)
	})
	t.Run("a reader with another clock gets the age of each change", func(t *testing.T) {
		reader := now.Add(-time.Hour)
		s := DecodeEvacuationsWithAges(EncodeEvacuationsWithAges(m.Evacuations.Current(), now.Add(5*time.Second)), reader)
		assert.Equal(t, s.Evacuations[0].ChangedAt, reader.Add(-3*time.Second))
		assert.Equal(t, s.Evacuations[1].ChangedAt, reader.Add(-4*time.Second))
	})
	t.Run("without an order nothing is added to snapshots and replies", func(t *testing.T) {
		empty := coltsstate.NewMachine()
		with, err := MarshalSnapshot(empty.Export())
		assert.NilError(t, err)
		var decoded coltspb.Snapshot
		assert.NilError(t, proto.Unmarshal(with, &decoded))
		assert.Assert(t, decoded.Evacuations == nil)
		assert.Assert(t, EncodeEvacuationsWithAges(empty.Evacuations.Current(), now) == nil)
		assert.DeepEqual(t, reloaded(t, empty).Evacuations.Current(), coltsevacuation.State{})
	})
}
