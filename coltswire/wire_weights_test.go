package coltswire

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsstate"
	"coltsfootstall/coltsweights"
)

// The failure guarded against: an instance that started from a snapshot knew only the newest version of each model, and
// gateways that asked it counted the time to load an earlier one from that.
func TestVersionsInSnapshot(t *testing.T) {
	m := coltsstate.NewMachine()
	for i := range 3 {
		m.Apply(coltsstate.Command{
			Kind: coltsstate.CommandWeights, At: now.Add(time.Duration(i) * time.Second),
			Weights: coltsweights.NamedVersion{Weights: coltsweights.Weights{Model: "m", Number: coltsweights.Number(i + 2)}},
		})
	}
	copied := reloaded(t, m)
	for i := range 3 {
		at := now.Add(time.Duration(i) * time.Second)
		assert.Equal(t, copied.Weights.NamedAsOf("m", at), m.Weights.NamedAsOf("m", at))
		assert.Equal(t, copied.Weights.NamedAsOf("m", at), coltsweights.Number(i+2))
	}
	assert.Equal(t, copied.Weights.Wanted("m").Number, coltsweights.Number(4))
}
