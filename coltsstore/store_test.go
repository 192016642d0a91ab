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

// offeredUntil is the time on the stores' clock until which the slow store of a directory is offered.
var offeredUntil = time.UnixMilli(90_000)

func key(part string) Key { return Key{Scope: "v1", Part: part} }

func anyScope(string) bool { return true }

// noLimit is a limit that no delta reaches.
const noLimit = 1 << 30

type capacities = map[coltsidentity.Service]int

func stores() []coltsroute.Service {
	return []coltsroute.Service{
		{Name: "fast", Store: &coltsroute.Store{CacheTokens: 4000, Latency: time.Millisecond}},
		{Name: "slow", Store: &coltsroute.Store{CacheTokens: 100_000, Latency: 6 * time.Millisecond, LinkBitsPerSecond: 1e9}},
	}
}

// assertFetchable asserts which parts a new follower may fetch.
func assertFetchable(t *testing.T, c *Catalogue, parts ...string) {
	t.Helper()
	delta := c.Since(Position{}, noLimit)
	assert.Assert(t, delta.IsStart)
	fetchable := map[string]bool{}
	for _, change := range delta.Changes {
		if change.FetchableTokens > 0 {
			fetchable[change.Key.Part] = true
		}
	}
	assert.Equal(t, len(fetchable), len(parts), "%v", fetchable)
	for _, p := range parts {
		assert.Assert(t, fetchable[p], "%s is missing", p)
	}
}

// added returns the change that adds a part to a store.
func added(store, part string, tokens int) Change {
	return Change{Store: coltsidentity.Service(store), Key: key(part), FetchableTokens: tokens, OccupiedTokens: tokens}
}

// assertTransfer asserts a transfer of one part.
func assertTransfer(t *testing.T, got Transfer, store string, tokens int) {
	t.Helper()
	assert.Equal(t, got, Transfer{Store: coltsidentity.Service(store), Tokens: tokens})
}

// directory returns a confirmed directory to which some changes were applied.
func directory(changes ...Change) *Directory {
	d := NewDirectory()
	d.SetOffers([]Offer{{Store: "fast", TakesParts: true}, {Store: "slow", TakesParts: true, FetchUntil: offeredUntil}})
	d.Receive(Delta{IsStart: true, Changes: changes}, now)
	return d
}

// plan returns the plan at a time for a prompt with the given parts.
func plan(d *Directory, at time.Time, parts ...PromptPart) Plan {
	return d.Plan(parts, stores(), at)
}

func TestCatalogue(t *testing.T) {
	t.Run("followers receive the changes", func(t *testing.T) {
		c := NewCatalogue()
		c.Add("s", key("a"), 10, now)
		start := c.Since(Position{}, noLimit)
		c.Add("s", key("b"), 10, now)
		c.Remove("s", key("a"))
		delta := c.Since(start.Position, noLimit)
		assert.Assert(t, !delta.IsStart)
		assert.DeepEqual(t, delta.Changes, []Change{added("s", "b", 10), {Store: "s", Key: key("a")}})
		assertFetchable(t, c, "b")
	})
	t.Run("a store that restarted holds nothing", func(t *testing.T) {
		c := NewCatalogue()
		c.Follow(capacities{"s": 100})
		c.Add("s", key("a"), 10, now)
		c.Reset("s", now)
		assertFetchable(t, c)
		assert.Equal(t, c.UsedTokens("s"), 0)
	})
	t.Run("a full store retires the least recently used parts", func(t *testing.T) {
		c := NewCatalogue()
		c.Follow(capacities{"s": 100})
		c.SetListed("s", Listing{}, now)
		for i := range 10 {
			c.Add("s", key(fmt.Sprint(i)), 10, now.Add(time.Duration(i)))
		}
		c.MarkFetched("s", key("0"), now.Add(time.Second))
		assert.Equal(t, c.Retire("s", anyScope, now.Add(time.Second)), 0, "all were used recently")
		assert.Equal(t, c.Retire("s", anyScope, now.Add(minIdleTime+time.Second)), 2)
		assertFetchable(t, c, "0", "3", "4", "5", "6", "7", "8", "9")
		assert.Equal(t, c.UsedTokens("s"), 100, "retired parts still occupy space")
	})
	t.Run("a full store retires nothing while another has room", func(t *testing.T) {
		c := NewCatalogue()
		c.Follow(capacities{"s": 10, "empty": 10})
		c.SetListed("s", Listing{Parts: map[Key]int{key("a"): 10}}, now)
		c.SetListed("empty", Listing{}, now)
		assert.Equal(t, c.Retire("s", anyScope, now.Add(minIdleTime)), 0)
	})
	t.Run("a store that is gone or does not answer has no room", func(t *testing.T) {
		c := NewCatalogue()
		c.Follow(capacities{"s": 10, "gone": 10, "dead": 10})
		c.SetListed("s", Listing{Parts: map[Key]int{key("a"): 10}}, now)
		c.SetListed("gone", Listing{}, now)
		c.SetListed("dead", Listing{}, now)
		c.Follow(capacities{"s": 10, "dead": 10})
		c.MarkFailed("dead", now)
		assert.Equal(t, c.Retire("s", anyScope, now.Add(minIdleTime)), 1)
	})
	t.Run("it is complete once every store has been listed or has failed", func(t *testing.T) {
		c := NewCatalogue()
		assert.Assert(t, !c.Complete(), "the stores are not known")
		c.Follow(capacities{"a": 10, "b": 10})
		c.SetListed("a", Listing{}, now)
		assert.Assert(t, !c.Complete())
		c.MarkFailed("b", now)
		assert.Assert(t, c.Complete())
		offers := c.Offers(now)
		assert.Equal(t, len(offers), 1)
		assert.Equal(t, offers[0].Store, coltsidentity.Service("a"))
		c.Reset("a", now)
		assert.Assert(t, !c.Complete(), "it restarted")
		c.Abandon()
		assert.Assert(t, !c.Complete(), "another instance leads")
	})
	t.Run("a listing changes only what differs", func(t *testing.T) {
		c := NewCatalogue()
		c.Follow(capacities{"s": 100})
		c.SetListed("s", Listing{Parts: map[Key]int{key("a"): 10, key("b"): 10}}, now)
		position := c.Since(Position{}, noLimit).Position
		c.SetListed("s", Listing{Parts: map[Key]int{key("b"): 10, key("c"): 10}}, now)
		changes := c.Since(position, noLimit).Changes
		assert.DeepEqual(t, changes, []Change{{Store: "s", Key: key("a")}, added("s", "c", 10)})
	})
	t.Run("a retired part is freed only after the delay", func(t *testing.T) {
		c := NewCatalogue()
		c.Add("s", Key{Scope: "v0", Part: "old"}, 10, now)
		assert.Equal(t, c.Retire("s", func(scope string) bool { return scope == "v1" }, now), 1)
		assert.Equal(t, len(c.Freeable("s", now.Add(RetireDelay-1))), 0)
		assert.Equal(t, len(c.Freeable("s", now.Add(RetireDelay))), 1)
	})
	t.Run("a retired part stays retired when its store reports it again", func(t *testing.T) {
		c := NewCatalogue()
		c.Add("s", key("a"), 10, now)
		c.Retire("s", func(string) bool { return false }, now)
		c.Add("s", key("a"), 12, now)
		assertFetchable(t, c)
	})
}

func TestBrokenOff(t *testing.T) {
	countAborted := func(c *Catalogue, tokens int, at time.Duration) int {
		return len(c.AbortedParts("s", []Partial{{Key: key("a"), Tokens: tokens}}, now.Add(at)))
	}
	t.Run("a part that grows is being written", func(t *testing.T) {
		c := NewCatalogue()
		assert.Equal(t, countAborted(c, 10, 0)+countAborted(c, 20, stallTimeout)+countAborted(c, 30, 2*stallTimeout), 0)
	})
	t.Run("a part that does not grow was aborted", func(t *testing.T) {
		c := NewCatalogue()
		assert.Equal(t, countAborted(c, 10, 0)+countAborted(c, 10, stallTimeout-1), 0)
		assert.Equal(t, countAborted(c, 10, stallTimeout), 1)
	})
	t.Run("a reset forgets the progress of partial parts", func(t *testing.T) {
		c := NewCatalogue()
		assert.Equal(t, countAborted(c, 10, 0), 0)
		c.Reset("s", now)
		assert.Equal(t, countAborted(c, 10, stallTimeout), 0)
	})
}

func TestPlan(t *testing.T) {
	t.Run("what a store holds is fetched from it", func(t *testing.T) {
		d := directory(added("slow", "a", 500))
		assertTransfer(t, plan(d, now, []PromptPart{{key("a"), 500}}...).Fetch[0], "slow", 500)
	})
	t.Run("a fetch ends while the store is offered", func(t *testing.T) {
		d := directory(added("slow", "a", 500), added("fast", "b", 500))
		assert.Equal(t, plan(d, now, PromptPart{key("a"), 500}, PromptPart{key("b"), 500}).FetchUntil, offeredUntil)
		assert.Assert(t, plan(d, now, PromptPart{key("b"), 500}).FetchUntil.IsZero(), "the fast store gives no time")
	})
	t.Run("a small part is saved to the fast store and a large one to the slow store", func(t *testing.T) {
		got := plan(directory(), now, []PromptPart{{key("a"), 500}, {key("b"), 8000}}...)
		assertTransfer(t, got.Save[0], "fast", 500)
		assertTransfer(t, got.Save[1], "slow", 8000)
		assert.Equal(t, got.FetchedTokens(), 0)
	})
	t.Run("a part that is being saved is not saved again", func(t *testing.T) {
		d := directory()
		plan(d, now, []PromptPart{{key("a"), 500}}...)
		assertTransfer(t, plan(d, now, []PromptPart{{key("a"), 500}}...).Save[0], "", 0)
	})
	t.Run("a part is saved to the other kind of store if those of its preferred kind are full", func(t *testing.T) {
		d := directory(added("fast", "x", 3600))
		got := plan(d, now, []PromptPart{{key("a"), 500}, {key("b"), 500}}...)
		assertTransfer(t, got.Save[0], "slow", 500)
		assertTransfer(t, got.Save[1], "slow", 500)
	})
	t.Run("nothing is saved to full stores", func(t *testing.T) {
		d := directory(added("fast", "x", 3600), added("slow", "y", 92_000))
		assertTransfer(t, plan(d, now, []PromptPart{{key("a"), 500}}...).Save[0], "", 0)
	})
	t.Run("a retired part is not fetched and occupies space until it is freed", func(t *testing.T) {
		retired := Change{Store: "fast", Key: key("x"), OccupiedTokens: 3600}
		d := directory(added("fast", "x", 3600), retired)
		assertTransfer(t, plan(d, now, []PromptPart{{key("a"), 500}}...).Save[0], "slow", 500)
		assertTransfer(t, plan(d, now, []PromptPart{{key("x"), 3600}}...).Fetch[0], "", 0)
		d.Apply(Change{Store: "fast", Key: key("x")})
		assertTransfer(t, plan(d, now, []PromptPart{{key("b"), 500}}...).Save[0], "fast", 500)
	})
	t.Run("if there is only one kind of store, it gets parts of every size", func(t *testing.T) {
		assertTransfer(t, directory().Plan([]PromptPart{{key("a"), 500}}, stores()[1:], now).Save[0], "slow", 500)
	})
	t.Run("a copy that was not confirmed recently is not used", func(t *testing.T) {
		d := directory(added("slow", "a", 500))
		got := plan(d, now.Add(confirmationTTL), []PromptPart{{key("a"), 500}}...)
		assertTransfer(t, got.Fetch[0], "", 0)
	})
	t.Run("a part that was removed from the catalogue is not fetched", func(t *testing.T) {
		d := directory(added("slow", "a", 500), Change{Store: "slow", Key: key("a")})
		assertTransfer(t, plan(d, now, []PromptPart{{key("a"), 500}}...).Fetch[0], "", 0)
		assert.Equal(t, d.Len(), 0)
	})
}

func TestNear(t *testing.T) {
	t.Run("the store that holds a part is preferred even if it is full", func(t *testing.T) {
		d := directory(added("slow", "a", 500), added("slow", "x", 99_500))
		assert.Equal(t, d.PreferredStore([]PromptPart{{key("a"), 500}}, stores()), coltsidentity.Service("slow"))
	})
	t.Run("the store to which a part would be saved is preferred if none holds it", func(t *testing.T) {
		assert.Equal(t, directory().PreferredStore([]PromptPart{{key("a"), 500}}, stores()), coltsidentity.Service("fast"))
	})
}

func TestReceive(t *testing.T) {
	part := PromptPart{Key: key("a"), Tokens: 1000}
	other := PromptPart{Key: key("b"), Tokens: 1000}
	t.Run("a directory keeps its content until the whole of a new catalogue has arrived", func(t *testing.T) {
		d := directory(added("fast", "a", 1000))
		d.Receive(Delta{IsStart: true, More: true, Changes: []Change{added("fast", "b", 1000)}}, now)
		assertTransfer(t, plan(d, now, part).Fetch[0], "fast", 1000)
		d.Receive(Delta{Changes: []Change{added("fast", "c", 1000)}}, now)
		assert.Equal(t, plan(d, now, part).FetchedTokens(), 0)
		assertTransfer(t, plan(d, now, other).Fetch[0], "fast", 1000)
		assert.Equal(t, d.Len(), 2)
	})
	t.Run("content that is being replaced is not confirmed by the deltas of the new catalogue", func(t *testing.T) {
		d := directory(added("fast", "a", 1000))
		later := now.Add(confirmationTTL)
		d.Receive(Delta{IsStart: true, More: true, Changes: []Change{added("fast", "b", 1000)}}, later)
		assert.Equal(t, plan(d, later, part).FetchedTokens(), 0)
	})
	t.Run("an empty directory uses what has arrived and saves nothing before the rest has", func(t *testing.T) {
		d := directory()
		d.Receive(Delta{IsStart: true, More: true, Changes: []Change{added("fast", "b", 1000)}}, now)
		assertTransfer(t, plan(d, now, other).Fetch[0], "fast", 1000)
		assert.Equal(t, plan(d, now, part).SavedTokens(), 0)
		d.Receive(Delta{}, now)
		assertTransfer(t, plan(d, now, part).Save[0], "fast", 1000)
	})
	t.Run("a catalogue that begins anew before it was received replaces what arrived of it", func(t *testing.T) {
		d := directory(added("fast", "a", 1000))
		d.Receive(Delta{IsStart: true, More: true, Changes: []Change{added("fast", "b", 1000)}}, now)
		d.Receive(Delta{IsStart: true, Changes: []Change{added("fast", "c", 1000)}}, now)
		assert.Equal(t, d.Len(), 1)
	})
}
