package coltsroute

// Guards against an organisation's cached parts that others can still find once it is isolated, and
// against shared parts that are read again without need.

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
)

type names = []coltsidentity.Organisation

// members returns the members of a table with organisations a to c, of which some are isolated.
func members(isolated ...coltsidentity.Organisation) *CacheMembers {
	t := Table{}
	for _, name := range (names{"a", "b", "c"}) {
		o := Organisation{Name: name}
		for _, i := range isolated {
			o.Isolated = o.Isolated || i == name
		}
		t.Organisations = append(t.Organisations, o)
	}
	m := t.CacheMembers()
	return &m
}

// assertGeneration asserts the generation after tables with the given members, and who has shared in it.
func assertGeneration(t *testing.T, from CacheSharing, generation CacheGeneration, sharers names, tables ...*CacheMembers) CacheSharing {
	t.Helper()
	for _, m := range tables {
		from = from.Next(m)
	}
	assert.Equal(t, from.Generation, generation)
	assert.DeepEqual(t, from.Sharers, sharers)
	return from
}

// scopeIn returns the scope of an organisation by a table with isolated organisations.
func scopeIn(name coltsidentity.Organisation, isolated ...coltsidentity.Organisation) CacheScope {
	t := Table{CacheGeneration: 3}
	for _, n := range members(isolated...).Sharing {
		t.Organisations = append(t.Organisations, Organisation{Name: n})
	}
	for _, n := range isolated {
		t.Organisations = append(t.Organisations, Organisation{Name: n, Isolated: true})
	}
	return NewIndex(t).CacheScope(name)
}

func TestCacheSharing(t *testing.T) {
	empty := CacheSharing{}
	t.Run("tables that isolate nobody anew stay in one generation", func(t *testing.T) {
		assertGeneration(t, empty, 0, names{"a", "b", "c"}, members(), members())
		assertGeneration(t, empty, 0, names{"a", "b"}, members("c"), members("c"))
	})
	t.Run("another generation begins when an organisation becomes isolated", func(t *testing.T) {
		assertGeneration(t, empty, 1, names{"a", "b"}, members(), members("c"))
		assertGeneration(t, empty, 2, names{"a"}, members(), members("c"), members("b", "c"))
	})
	t.Run("an organisation that shares again and is isolated again ends its second generation", func(t *testing.T) {
		again := assertGeneration(t, empty, 1, names{"a", "b", "c"}, members(), members("c"), members())
		assertGeneration(t, again, 2, names{"a", "b"}, members("c"))
	})
	t.Run("one that was left out meanwhile is remembered", func(t *testing.T) {
		assertGeneration(t, empty, 1, names{"a", "b"}, members(), &CacheMembers{Sharing: names{"a", "b"}}, members("c"))
	})
	t.Run("one that was isolated from the first table on ends nothing", func(t *testing.T) {
		assertGeneration(t, empty, 0, names{"a", "b"}, &CacheMembers{Sharing: names{"a", "b"}}, members("c"))
	})
	t.Run("who shared by tables of earlier releases is not known", func(t *testing.T) {
		unknown := assertGeneration(t, empty, 0, names{"a", "b", "c"}, nil, members())
		assertGeneration(t, unknown, 1, names{"a", "b"}, &CacheMembers{Sharing: names{"a", "b"}, Isolated: names{"d"}}, members("d", "c"))
	})
	t.Run("the organisations that are remembered are bounded", func(t *testing.T) {
		s := CacheSharing{Sharers: make(names, maxSharers)}
		for i := range s.Sharers {
			s.Sharers[i] = coltsidentity.Organisation(rune('d' + i))
		}
		assertGeneration(t, s, 1, names{"a", "b", "c"}, members())
	})
}

func TestCacheScope(t *testing.T) {
	common := CacheScope{Generation: 3}
	t.Run("organisations that aren't isolated, and requests without one, use the common scope", func(t *testing.T) {
		assert.Equal(t, scopeIn("a", "c"), common)
		assert.Equal(t, scopeIn("", "c"), common)
	})
	t.Run("an isolated one, and one that the table no longer lists, share nothing", func(t *testing.T) {
		assert.Equal(t, scopeIn("c", "c"), CacheScope{Private: true, Organisation: "c"})
		assert.Equal(t, scopeIn("gone"), CacheScope{Private: true, Organisation: "gone"})
	})
	t.Run("nobody shares anything by a table that is not confirmed", func(t *testing.T) {
		r := NewRegister()
		r.Put(Table{Version: 1, Organisations: []Organisation{{Name: "a"}}, CacheGeneration: 3, Unconfirmed: true})
		assert.Equal(t, r.Current().CacheScope("a"), CacheScope{Private: true, Organisation: "a"})
		assert.Equal(t, r.Current().CacheScope(""), CacheScope{Private: true})
		r.Confirm()
		assert.Equal(t, r.Current().CacheScope("a"), common)
	})
}
