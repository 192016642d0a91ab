package coltsforward

// Guards against scopes of different weights, generations or organisations with the same text.

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsroute"
)

// assertScopeText asserts the text of a scope, and that the scope is read back from it.
func assertScopeText(t *testing.T, s CacheScope, text string) {
	t.Helper()
	assert.Equal(t, s.String(), text)
	parsed, valid := ParseCacheScope(text)
	assert.Assert(t, valid)
	assert.Equal(t, parsed, s)
}

func TestCacheScopeText(t *testing.T) {
	private := func(name coltsidentity.Organisation) CacheScope {
		return CacheScope{Weights: 1, CacheScope: coltsroute.CacheScope{Private: true, Organisation: name}}
	}
	t.Run("the common scope of the first generation has no number", func(t *testing.T) {
		assertScopeText(t, CacheScope{Weights: 1}, "v1")
	})
	t.Run("later ones have", func(t *testing.T) {
		assertScopeText(t, CacheScope{Weights: 12, CacheScope: coltsroute.CacheScope{Generation: 3}}, "v12-g3")
	})
	t.Run("private ones have a name, whatever it is", func(t *testing.T) {
		assertScopeText(t, private("wall"), "v1/wall")
		assertScopeText(t, private("a/b-g2"), "v1/a/b-g2")
		assertScopeText(t, private(""), "v1/")
	})
	for _, text := range []string{"", "v", "w1", "v1-g", "v1-gx", "vx/wall", "s1"} {
		t.Run("other text is none: "+text, func(t *testing.T) {
			_, valid := ParseCacheScope(text)
			assert.Assert(t, !valid)
		})
	}
}
