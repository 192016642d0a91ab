package coltsrouting

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltscache"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsidentity"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// candidates returns n idle runners.
func candidates(n int) []coltsfleet.Candidate {
	var list []coltsfleet.Candidate
	for i := range n {
		list = append(list, coltsfleet.Candidate{
			Announcement:     coltsfleet.Announcement{ID: coltsidentity.Upstream(fmt.Sprintf("runner-%d", i))},
			PrefillPerSecond: 20_000,
		})
	}
	return list
}

func policy(t *testing.T, name string) *Policy {
	t.Helper()
	p, known := New(name)
	assert.Assert(t, known)
	return p
}

// choose returns the name of the upstream that the policy chooses.
func choose(t *testing.T, p *Policy, r Request, c []coltsfleet.Candidate) coltsidentity.Upstream {
	t.Helper()
	choice, found := p.Choose(r, c, start)
	assert.Assert(t, found)
	return choice.Candidate.Announcement.ID
}

func TestEveryPolicy(t *testing.T) {
	for _, name := range Names() {
		t.Run(name+" excludes draining upstreams and those of earlier attempts", func(t *testing.T) {
			c := candidates(4)
			c[0].Draining = true
			tried := []coltsidentity.Upstream{"runner-1", "runner-2"}
			for range 8 {
				assert.Equal(t, choose(t, policy(t, name), Request{Tried: tried}, c), coltsidentity.Upstream("runner-3"))
			}
		})
		t.Run(name+" chooses ejected upstreams only if there is no other", func(t *testing.T) {
			c := candidates(2)
			c[0].Ejected = true
			assert.Equal(t, choose(t, policy(t, name), Request{}, c), coltsidentity.Upstream("runner-1"))
			c[1].Ejected = true
			choose(t, policy(t, name), Request{}, c)
		})
		t.Run(name+" returns false if there is no candidate", func(t *testing.T) {
			_, found := policy(t, name).Choose(Request{}, nil, start)
			assert.Assert(t, !found)
		})
	}
}

func TestExpected(t *testing.T) {
	p := policy(t, "expected-first-token")
	t.Run("among equal upstreams every Policy value chooses the same home", func(t *testing.T) {
		r := Request{HomeKey: coltscache.Piece{1}, PromptTokens: 100}
		first := choose(t, p, r, candidates(9))
		assert.Equal(t, choose(t, policy(t, "expected-first-token"), r, candidates(9)), first)
	})
	t.Run("an upstream that holds pieces is preferred to idle ones", func(t *testing.T) {
		r := Request{PromptTokens: 20_000, Holdings: []coltscache.Holding{{Upstream: "runner-3", Pieces: 9}}}
		assert.Equal(t, choose(t, p, r, candidates(9)), coltsidentity.Upstream("runner-3"))
	})
	t.Run("an upstream that holds pieces is not chosen if its queue is longer than the prompt", func(t *testing.T) {
		r := Request{PromptTokens: 20_000, Holdings: []coltscache.Holding{{Upstream: "runner-3", Pieces: 9}}}
		c := candidates(9)
		c[3].QueuedTokens = 100_000
		assert.Assert(t, choose(t, p, r, c) != "runner-3")
	})
}

func TestLongWork(t *testing.T) {
	p := policy(t, "expected-first-token")
	long, short := map[coltsidentity.Upstream]bool{}, map[coltsidentity.Upstream]bool{}
	chooseMany := func(tokens int64, used map[coltsidentity.Upstream]bool) {
		for i := range 200 {
			used[choose(t, p, Request{HomeKey: coltscache.Piece{byte(i)}, PromptTokens: tokens}, candidates(18))] = true
		}
	}
	t.Run("without long prefills short requests use all runners", func(t *testing.T) {
		chooseMany(2000, short)
		assert.Assert(t, len(short) > 12)
	})
	t.Run("long prefills use only the reserved runners", func(t *testing.T) {
		chooseMany(100_000, long)
		assert.Assert(t, len(long) <= 7)
	})
	t.Run("short requests then avoid the reserved runners", func(t *testing.T) {
		clear(short)
		chooseMany(2000, short)
		for id := range short {
			assert.Assert(t, !long[id])
		}
	})
	t.Run("short requests use the reserved runners if all others are too busy", func(t *testing.T) {
		c := candidates(18)
		for i := range c {
			if !long[c[i].Announcement.ID] {
				c[i].QueuedTokens = 100_000
			}
		}
		assert.Assert(t, long[choose(t, p, Request{PromptTokens: 2000}, c)])
	})
	t.Run("a long prompt whose pieces are held is not a long prefill", func(t *testing.T) {
		r := Request{PromptTokens: 100_000}
		for _, c := range candidates(18) {
			if !long[c.Announcement.ID] {
				r.Holdings = append(r.Holdings, coltscache.Holding{Upstream: c.Announcement.ID, Pieces: 49})
			}
		}
		assert.Assert(t, !long[choose(t, p, r, candidates(18))])
	})
}
