package coltscontrol

// Guards against parts in stores that no request may use any more and that are kept for ever, and against
// parts that are given up while requests use them.

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltsweights"
)

var scopeNow = time.Unix(1_700_000_000, 0)

// assertScopes asserts which cache scopes are in use in the second generation of the common scope, once
// a weights version has been named some time ago; 0 for none.
func assertScopes(t *testing.T, named coltsweights.Number, ago time.Duration, want map[string]bool) {
	t.Helper()
	c := &Control{machine: coltsstate.NewMachine()}
	c.routes.Store(&coltsroute.EncodedTable{Version: 1, CacheGeneration: 2})
	if named > 0 {
		c.machine.Weights.SetNamed(coltsweights.NamedVersion{Weights: coltsweights.Weights{Model: "m", Number: named}, NamedAt: scopeNow.Add(-ago)})
	}
	inUse := c.scopeFilter(scopeNow)
	for scope, used := range want {
		assert.Equal(t, inUse(scope), used, "%s", scope)
	}
}

func TestScopes(t *testing.T) {
	t.Run("the common scopes of earlier generations are given up at once", func(t *testing.T) {
		assertScopes(t, 0, 0, map[string]bool{"v1": false, "v1-g1": false, "v1-g2": true, "v1/acme": true})
		assertScopes(t, 2, 0, map[string]bool{"v1": false, "v1-g2": true, "v2-g1": false})
	})
	t.Run("one of a later generation is that of an instance that knows more", func(t *testing.T) {
		assertScopes(t, 0, 0, map[string]bool{"v1-g3": true})
	})
	t.Run("scopes of weights that were replaced a while ago are given up", func(t *testing.T) {
		assertScopes(t, 2, scopeGrace, map[string]bool{"v1-g2": false, "v1/acme": false, "v2-g2": true, "v2/acme": true})
	})
	t.Run("unknown scopes are given up once weights have been named", func(t *testing.T) {
		assertScopes(t, 0, 0, map[string]bool{"s1": true})
		assertScopes(t, 2, scopeGrace, map[string]bool{"s1": false})
	})
}
