package coltsstore

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsroute"
)

var now = time.Unix(1_700_000_000, 0)

func key(part string) Key { return Key{Scope: "v1", Part: part} }

func all(string) bool { return true }

func stores() []coltsroute.Service {
	return []coltsroute.Service{
		{Name: "fast", Store: &coltsroute.Store{CacheTokens: 4000, Latency: time.Millisecond}},
		{Name: "slow", Store: &coltsroute.Store{CacheTokens: 100_000, Latency: 6 * time.Millisecond, LinkBitsPerSecond: 1e9}},
	}
}

// assertHeld asserts what a follower that has seen nothing is told.
func assertHeld(t *testing.T, c *Catalogue, parts ...string) {
	t.Helper()
	changes, _, whole := c.Since(0)
	assert.Assert(t, whole)
	held := map[string]bool{}
	for _, change := range changes {
		if change.FetchableTokens > 0 {
			held[change.Key.Part] = true
		}
	}
	assert.Equal(t, len(held), len(parts), "%v", held)
	for _, p := range parts {
		assert.Assert(t, held[p], "%s is missing", p)
	}
}

// heldIn is the change by which a part has come into a store.
func heldIn(store, part string, tokens int) Change {
	return Change{Store: coltsidentity.Service(store), Key: key(part), FetchableTokens: tokens, OccupiedTokens: tokens}
}

// assertMove asserts a transfer of one part.
func assertMove(t *testing.T, got Move, store string, tokens int) {
	t.Helper()
	assert.Equal(t, got, Move{Store: coltsidentity.Service(store), Tokens: tokens})
}

func directory(changes ...Change) *Directory {
	d := NewDirectory()
	d.Confirm(now)
	for _, c := range changes {
		d.Apply(c)
	}
	return d
}

// plan plans for a prompt of some parts.
func plan(d *Directory, at time.Time, parts ...Wanted) Plan {
	return d.Plan(parts, stores(), at)
}

func TestCatalogue(t *testing.T) {
	t.Run("followers hear what changed", func(t *testing.T) {
		c := NewCatalogue()
		c.Add("s", key("a"), 10, now)
		_, upTo, _ := c.Since(0)
		c.Add("s", key("b"), 10, now)
		c.Remove("s", key("a"))
		changes, _, whole := c.Since(upTo)
		assert.Assert(t, !whole)
		assert.DeepEqual(t, changes, []Change{heldIn("s", "b", 10), {Store: "s", Key: key("a")}})
		assertHeld(t, c, "b")
	})
	t.Run("a store that starts anew holds nothing", func(t *testing.T) {
		c := NewCatalogue()
		c.Add("s", key("a"), 10, now)
		c.Reset("s")
		assertHeld(t, c)
		assert.Equal(t, c.Used("s"), 0)
	})
	t.Run("a full store retires what was not used for the longest time", func(t *testing.T) {
		c := NewCatalogue()
		c.Open("s", 100)
		for i := range 10 {
			c.Add("s", key(fmt.Sprint(i)), 10, now.Add(time.Duration(i)))
		}
		c.MarkFetched("s", key("0"), now.Add(time.Second))
		assert.Equal(t, c.Retire("s", all, now.Add(time.Second)), 0, "all were used lately")
		assert.Equal(t, c.Retire("s", all, now.Add(idleTime+time.Second)), 2)
		assertHeld(t, c, "0", "3", "4", "5", "6", "7", "8", "9")
		assert.Equal(t, c.Used("s"), 100, "what is retired keeps its room")
	})
	t.Run("a full store retires nothing while another has room", func(t *testing.T) {
		c := NewCatalogue()
		c.Open("s", 10)
		c.Open("empty", 10)
		c.Add("s", key("a"), 10, now)
		assert.Equal(t, c.Retire("s", all, now.Add(idleTime)), 0)
	})
	t.Run("what is retired is freed only after its time", func(t *testing.T) {
		c := NewCatalogue()
		c.Add("s", Key{Scope: "v0", Part: "old"}, 10, now)
		assert.Equal(t, c.Retire("s", func(scope string) bool { return scope == "v1" }, now), 1)
		assert.Equal(t, len(c.Due("s", now.Add(RetireTime-1))), 0)
		assert.Equal(t, len(c.Due("s", now.Add(RetireTime))), 1)
	})
	t.Run("what is retired is not offered again when it is reported again", func(t *testing.T) {
		c := NewCatalogue()
		c.Add("s", key("a"), 10, now)
		c.Retire("s", func(string) bool { return false }, now)
		c.Add("s", key("a"), 12, now)
		assertHeld(t, c)
	})
}

func TestBrokenOff(t *testing.T) {
	look := func(c *Catalogue, tokens int, at time.Duration) int {
		return len(c.BrokenOff("s", []Partial{{Key: key("a"), Tokens: tokens}}, now.Add(at)))
	}
	t.Run("a part that grows is being written", func(t *testing.T) {
		c := NewCatalogue()
		assert.Equal(t, look(c, 10, 0)+look(c, 20, brokenTime)+look(c, 30, 2*brokenTime), 0)
	})
	t.Run("a part that stands still has broken off", func(t *testing.T) {
		c := NewCatalogue()
		assert.Equal(t, look(c, 10, 0)+look(c, 10, brokenTime-1), 0)
		assert.Equal(t, look(c, 10, brokenTime), 1)
	})
	t.Run("a store that started anew is watched anew", func(t *testing.T) {
		c := NewCatalogue()
		assert.Equal(t, look(c, 10, 0), 0)
		c.Reset("s")
		assert.Equal(t, look(c, 10, brokenTime), 0)
	})
}

func TestPlan(t *testing.T) {
	t.Run("what a store holds is fetched from it", func(t *testing.T) {
		d := directory(heldIn("slow", "a", 500))
		assertMove(t, plan(d, now, []Wanted{{key("a"), 500}}...).Fetch[0], "slow", 500)
	})
	t.Run("a small part is saved in the fast store and a large one in the slow", func(t *testing.T) {
		got := plan(directory(), now, []Wanted{{key("a"), 500}, {key("b"), 8000}}...)
		assertMove(t, got.Save[0], "fast", 500)
		assertMove(t, got.Save[1], "slow", 8000)
		assert.Equal(t, got.Fetched(), 0)
	})
	t.Run("a part that is being saved is not saved again", func(t *testing.T) {
		d := directory()
		plan(d, now, []Wanted{{key("a"), 500}}...)
		assertMove(t, plan(d, now, []Wanted{{key("a"), 500}}...).Save[0], "", 0)
	})
	t.Run("a part that finds the stores of its kind full goes to the others", func(t *testing.T) {
		d := directory(heldIn("fast", "x", 3600))
		got := plan(d, now, []Wanted{{key("a"), 500}, {key("b"), 500}}...)
		assertMove(t, got.Save[0], "slow", 500)
		assertMove(t, got.Save[1], "slow", 500)
	})
	t.Run("full stores take nothing", func(t *testing.T) {
		d := directory(heldIn("fast", "x", 3600), heldIn("slow", "y", 92_000))
		assertMove(t, plan(d, now, []Wanted{{key("a"), 500}}...).Save[0], "", 0)
	})
	t.Run("a retired part takes its room until it is freed, and is not fetched", func(t *testing.T) {
		retired := Change{Store: "fast", Key: key("x"), OccupiedTokens: 3600}
		d := directory(heldIn("fast", "x", 3600), retired)
		assertMove(t, plan(d, now, []Wanted{{key("a"), 500}}...).Save[0], "slow", 500)
		assertMove(t, plan(d, now, []Wanted{{key("x"), 3600}}...).Fetch[0], "", 0)
		d.Apply(Change{Store: "fast", Key: key("x")})
		assertMove(t, plan(d, now, []Wanted{{key("b"), 500}}...).Save[0], "fast", 500)
	})
	t.Run("stores of one kind take every part", func(t *testing.T) {
		assertMove(t, directory().Plan([]Wanted{{key("a"), 500}}, stores()[1:], now).Save[0], "slow", 500)
	})
	t.Run("a copy that was not confirmed lately is not used", func(t *testing.T) {
		d := directory(heldIn("slow", "a", 500))
		got := plan(d, now.Add(confirmTime), []Wanted{{key("a"), 500}}...)
		assertMove(t, got.Fetch[0], "", 0)
	})
	t.Run("what left the catalogue is not fetched", func(t *testing.T) {
		d := directory(heldIn("slow", "a", 500), Change{Store: "slow", Key: key("a")})
		assertMove(t, plan(d, now, []Wanted{{key("a"), 500}}...).Fetch[0], "", 0)
		assert.Equal(t, d.Len(), 0)
	})
}

func TestNear(t *testing.T) {
	t.Run("a part is near the store that holds it, though that one is full", func(t *testing.T) {
		d := directory(heldIn("slow", "a", 500), heldIn("slow", "x", 99_500))
		assert.Equal(t, d.Near([]Wanted{{key("a"), 500}}, stores()), coltsidentity.Service("slow"))
	})
	t.Run("a part that none holds is near the store that it belongs into", func(t *testing.T) {
		assert.Equal(t, directory().Near([]Wanted{{key("a"), 500}}, stores()), coltsidentity.Service("fast"))
	})
}
