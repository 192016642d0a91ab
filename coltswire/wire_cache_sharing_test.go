package coltswire

// Guards against common cache scopes of which a restarted or upgraded instance no longer knows who has
// shared in them.

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltswire/coltspb"
)

// applyTable sends a table to a machine through the encoding of the log and returns the generation of
// its common cache scope.
func applyTable(t *testing.T, m *coltsstate.Machine, version coltsroute.Version, members *coltsroute.CacheMembers) coltsroute.CacheGeneration {
	t.Helper()
	table := coltsroute.EncodedTable{Version: version, Source: []byte("{}"), CacheMembers: members}
	bytes, err := MarshalCommand(coltsstate.Command{Kind: coltsstate.CommandRoutes, At: now, Routes: table})
	assert.NilError(t, err)
	command, err := UnmarshalCommand(bytes)
	assert.NilError(t, err)
	m.Apply(command)
	return m.Routes().CacheGeneration
}

// assertReloaded asserts that a machine that is restored from a snapshot gives a table the same
// generation as the machine itself, and the wanted one.
func assertReloaded(t *testing.T, m *coltsstate.Machine, version coltsroute.Version, members *coltsroute.CacheMembers, want coltsroute.CacheGeneration) {
	t.Helper()
	copied := reloaded(t, m)
	assert.Equal(t, copied.Routes().CacheGeneration, m.Routes().CacheGeneration)
	assert.Equal(t, applyTable(t, copied, version, members), want)
	assert.Equal(t, applyTable(t, m, version, members), want)
}

func TestCacheGenerations(t *testing.T) {
	type names = []coltsidentity.Organisation
	shared := &coltsroute.CacheMembers{Sharing: names{"a", "b"}}
	walled := &coltsroute.CacheMembers{Sharing: names{"a"}, Isolated: names{"b"}}
	t.Run("a restored instance knows who has shared", func(t *testing.T) {
		m := coltsstate.NewMachine()
		applyTable(t, m, 1, shared)
		assertReloaded(t, m, 2, walled, 1)
		assertReloaded(t, m, 3, walled, 1)
		assertReloaded(t, m, 4, shared, 1)
		assertReloaded(t, m, 5, walled, 2)
	})
	t.Run("a table that is overtaken has never shared", func(t *testing.T) {
		m := coltsstate.NewMachine()
		applyTable(t, m, 5, walled)
		assert.Equal(t, applyTable(t, m, 4, shared), coltsroute.CacheGeneration(0))
		assertReloaded(t, m, 6, walled, 0)
	})
	t.Run("who has shared is unknown after commands of an earlier release", func(t *testing.T) {
		m := coltsstate.NewMachine()
		applyTable(t, m, 1, nil)
		assertReloaded(t, m, 2, walled, 1)
	})
	t.Run("who has shared is unknown after a snapshot of an earlier release", func(t *testing.T) {
		bytes, err := proto.Marshal(&coltspb.Snapshot{Routes: &coltspb.RoutesText{Version: 1, Source: []byte("{}")}})
		assert.NilError(t, err)
		state, err := UnmarshalSnapshot(bytes)
		assert.NilError(t, err)
		m := coltsstate.NewMachine()
		m.Import(state)
		assertReloaded(t, m, 2, walled, 1)
	})
}
