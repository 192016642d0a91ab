package coltsstore

// Cold start with full stores: many followers receive a long catalogue in steps while it changes.

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// follower is a follower's copy of the catalogue.
type follower struct {
	position Position
	parts    map[Key]int
	starts   int
}

// receive applies one delta and returns it.
func (f *follower) receive(l *changeLog, limit int) Delta {
	d := l.since(f.position, limit)
	if d.IsStart {
		f.parts = map[Key]int{}
		f.starts++
	}
	for _, c := range d.Changes {
		delete(f.parts, c.Key)
		if c.OccupiedTokens > 0 {
			f.parts[c.Key] = c.OccupiedTokens
		}
	}
	f.position = d.Position
	return d
}

// receiveAll applies deltas until no more are due.
func (f *follower) receiveAll(l *changeLog, limit int) {
	for f.receive(l, limit).More {
	}
}

// assertSame asserts that a follower has exactly the given parts.
func assertSame(t *testing.T, f *follower, parts map[Key]int) {
	t.Helper()
	assert.DeepEqual(t, f.parts, parts)
}

func TestChangeLog(t *testing.T) {
	t.Run("a long catalogue is received in steps of bounded length", func(t *testing.T) {
		l, want := newChangeLog(), map[Key]int{}
		for i := range 1000 {
			k := key(fmt.Sprint(i))
			want[k] = i + 1
			l.append(added("s", k.Part, i+1))
		}
		f, steps := &follower{}, 0
		for more := true; more; steps++ {
			d := f.receive(&l, 300)
			assert.Assert(t, len(d.Changes) <= 300)
			more = d.More
		}
		assert.Equal(t, steps, 4)
		assert.Equal(t, f.starts, 1)
		assertSame(t, f, want)
		assert.Equal(t, len(f.receive(&l, 300).Changes), 0)
	})
	t.Run("a part that changed often is received once", func(t *testing.T) {
		l := newChangeLog()
		l.append(added("s", "first", 1))
		f := &follower{}
		f.receiveAll(&l, 10)
		for i := range 50 {
			l.append(added("s", "a", i+1))
		}
		assert.Equal(t, len(f.receive(&l, 10).Changes), 1)
	})
	t.Run("a follower that missed dropped removals starts anew", func(t *testing.T) {
		l := newChangeLog()
		l.append(added("s", "kept", 1))
		f := &follower{}
		f.receiveAll(&l, 10)
		for i := range 3 * maxRemovals {
			l.append(added("s", fmt.Sprint(i), 1))
			l.append(Change{Store: "s", Key: key(fmt.Sprint(i))})
		}
		f.receiveAll(&l, 1000)
		assert.Equal(t, f.starts, 2)
		assertSame(t, f, map[Key]int{key("kept"): 1})
		assert.Assert(t, len(l.changes) <= 4*maxRemovals, "%d changes are kept", len(l.changes))
	})
	t.Run("followers end up with the catalogue whatever changes in between", func(t *testing.T) {
		for seed := range uint64(5) {
			random := rand.New(rand.NewPCG(seed, 0))
			l, want := newChangeLog(), map[Key]int{}
			followers := []*follower{{}, {}, {}}
			for range 40_000 {
				k := key(fmt.Sprint(random.IntN(3000)))
				if random.IntN(2) == 0 {
					want[k] = 1 + random.IntN(100)
					l.append(added("s", k.Part, want[k]))
				} else {
					delete(want, k)
					l.append(Change{Store: "s", Key: k})
				}
				if random.IntN(200) == 0 {
					followers[random.IntN(len(followers))].receive(&l, 1+random.IntN(500))
				}
			}
			for _, f := range followers {
				f.receiveAll(&l, 200)
				assertSame(t, f, want)
			}
		}
	})
}
