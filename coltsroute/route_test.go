package coltsroute

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
)

// table returns a valid table after applying change, which may be nil.
func table(change func(t *Table)) Table {
	t := Table{
		Version:  7,
		Services: []Service{{Name: "app"}, {Name: "llm", Engine: &Engine{Slots: 2}}},
		Routes: []Route{
			{Name: "all", HostName: "a.example", Prefix: "/", Timeout: time.Second, Targets: []Target{{Service: "app", Weight: 1}}},
			{Name: "deep", HostName: "A.example", Prefix: "/x/y/", Timeout: time.Second, Targets: []Target{{Service: "llm", Weight: 1}}},
			{Name: "mid", HostName: "a.example", Prefix: "/x/", Timeout: time.Second, Targets: []Target{{Service: "app", Weight: 3}, {Service: "llm", Weight: 1}}},
		},
		Organisations: []Organisation{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}},
		RequiresKey:   true,
	}
	if change != nil {
		change(&t)
	}
	return t
}

func assertInvalid(t *testing.T, table Table, reason string) {
	t.Helper()
	var invalid *InvalidError
	err := table.Validate()
	assert.Assert(t, errors.As(err, &invalid), "got %v", err)
	assert.Assert(t, strings.Contains(invalid.Error(), reason), "%s", invalid.Error())
}

func assertMatch(t *testing.T, ix *Index, hostName, path, want string) {
	t.Helper()
	r, found := ix.Match(hostName, path)
	assert.Equal(t, found, want != "")
	assert.Equal(t, r.Name, want)
}

func TestValidate(t *testing.T) {
	t.Run("a complete table is valid", func(t *testing.T) {
		assert.NilError(t, table(nil).Validate())
	})
	t.Run("a key listed twice by one organisation is valid", func(t *testing.T) {
		assert.NilError(t, table(func(t *Table) { t.Organisations[0].Keys = []string{"k1", "k1"} }).Validate())
	})
	cases := []struct {
		name   string
		reason string
		change func(t *Table)
	}{
		{"an unknown service", "unknown service", func(t *Table) { t.Routes[0].Targets[0].Service = "gone" }},
		{"no service", "add up to 0", func(t *Table) { t.Routes[0].Targets = nil }},
		{"weights that add up to zero", "add up to 0", func(t *Table) { t.Routes[0].Targets[0].Weight = 0 }},
		{"a negative weight", "negative weight", func(t *Table) { t.Routes[2].Targets[1].Weight = -1 }},
		{"no timeout", "timeout", func(t *Table) { t.Routes[1].Timeout = 0 }},
		{"two routes with the same host and prefix", "share host", func(t *Table) { t.Routes[1].Prefix = "/x/" }},
		{"a shared key", "share a key", func(t *Table) { t.Organisations[1].Keys = []string{"k2"} }},
		{"a prefix without a trailing slash", "begin and end", func(t *Table) { t.Routes[1].Prefix = "/x/y" }},
	}
	for _, c := range cases {
		t.Run(c.name+" is invalid", func(t *testing.T) { assertInvalid(t, table(c.change), c.reason) })
	}
}

func TestIndex(t *testing.T) {
	ix := NewIndex(table(nil))
	t.Run("the longest prefix wins", func(t *testing.T) {
		assertMatch(t, ix, "a.example", "/x/y/z", "deep")
		assertMatch(t, ix, "a.example", "/x/yz", "mid")
		assertMatch(t, ix, "a.example", "/", "all")
	})
	t.Run("host names are case-insensitive and paths are not", func(t *testing.T) {
		assertMatch(t, ix, "A.EXAMPLE", "/X/y/", "all")
	})
	t.Run("an unknown host name has no route", func(t *testing.T) {
		assertMatch(t, ix, "b.example", "/x/", "")
	})
	t.Run("a path is matched without decoding or cleaning", func(t *testing.T) {
		assertMatch(t, ix, "a.example", "/%78/y/", "all")
		assertMatch(t, ix, "a.example", "/x/../x/y/", "mid")
	})
	t.Run("a key identifies its organisation", func(t *testing.T) {
		o, known := ix.OrganisationByKey("k2")
		assert.Assert(t, known)
		assert.Equal(t, o.Name, coltsidentity.Organisation("one"))
		_, known = ix.OrganisationByKey("k9")
		assert.Assert(t, !known)
	})
	t.Run("requests are split in proportion to the weights", func(t *testing.T) {
		r, _ := ix.Match("a.example", "/x/")
		counts := map[coltsidentity.Service]int{}
		for i := range 4000 {
			counts[r.ChooseService(time.Duration(i).String())]++
		}
		assert.Assert(t, counts["app"] > 2800 && counts["app"] < 3200, "%v", counts)
	})
}

func TestRegister(t *testing.T) {
	r := NewRegister()
	t.Run("is empty at first", func(t *testing.T) {
		assert.Assert(t, r.Current() == nil)
		assert.Equal(t, r.Version(), Version(0))
	})
	t.Run("accepts only higher versions", func(t *testing.T) {
		assert.Assert(t, r.Put(table(nil)))
		assert.Assert(t, !r.Put(table(func(t *Table) { t.Routes = nil })))
		assert.Assert(t, !r.Put(table(func(t *Table) { t.Version = 6 })))
		assert.Equal(t, len(r.Current().Table.Routes), 3)
		assert.Assert(t, r.Put(table(func(t *Table) { t.Version = 9 })))
		assert.Equal(t, r.Version(), Version(9))
	})
}
