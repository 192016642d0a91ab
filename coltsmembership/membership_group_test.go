package coltsmembership

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
)

var now = time.Unix(1_700_000_000, 0)

// standing returns a member that was heard a time ago.
func standing(id string, voter bool, ago time.Duration) GroupMember {
	return GroupMember{ID: coltsidentity.Instance(id), Voter: voter, CaughtUp: true, HeardAt: now.Add(-ago)}
}

// five returns a group of five, of which some have been silent for a time.
func five(silent time.Duration, ids ...string) []GroupMember {
	var members []GroupMember
	for _, id := range []string{"10.0.0.1:7/a", "10.0.0.2:7/b", "10.0.0.3:7/c", "10.0.0.4:7/d", "10.0.0.5:7/e"} {
		ago := time.Duration(0)
		for _, s := range ids {
			if s == id {
				ago = silent
			}
		}
		members = append(members, standing(id, true, ago))
	}
	return members
}

func assertChange(t *testing.T, members []GroupMember, step Step, member string) {
	t.Helper()
	got := Group{Self: "10.0.0.1:7/a", Voters: 5}.NextChange(members, now)
	assert.Equal(t, got.Step, step, "%s", got.Reason)
	assert.Equal(t, got.Member, coltsidentity.Instance(member))
}

func TestGroup(t *testing.T) {
	t.Run("a whole group stays as it is", func(t *testing.T) {
		assertChange(t, five(0), StepNone, "")
	})
	t.Run("a silent voter stays while nobody can take its place", func(t *testing.T) {
		assertChange(t, five(time.Minute, "10.0.0.2:7/b"), StepNone, "")
	})
	t.Run("a group that is short takes in who is ready", func(t *testing.T) {
		assertChange(t, append(five(0)[:3], standing("10.0.0.9:7/n", false, 0)), StepPromote, "10.0.0.9:7/n")
	})
	t.Run("one that has not caught up waits", func(t *testing.T) {
		behind := standing("10.0.0.9:7/n", false, 0)
		behind.CaughtUp = false
		assertChange(t, append(five(0)[:3], behind), StepNone, "")
	})
	t.Run("a wiped voter gives its place to the incarnation at its address", func(t *testing.T) {
		members := append(five(2*time.Second, "10.0.0.2:7/b", "10.0.0.3:7/c"), standing("10.0.0.2:7/n", false, 0))
		assertChange(t, members, StepRemove, "10.0.0.2:7/b")
	})
	t.Run("a voter that just paused keeps its place", func(t *testing.T) {
		members := append(five(2*time.Second, "10.0.0.2:7/b"), standing("10.0.0.9:7/n", false, 0))
		assertChange(t, members, StepNone, "")
	})
	t.Run("a voter that is gone for long gives its place to a successor", func(t *testing.T) {
		members := append(five(5*time.Second, "10.0.0.2:7/b"), standing("10.0.0.9:7/n", false, 0))
		assertChange(t, members, StepRemove, "10.0.0.2:7/b")
	})
	t.Run("a successor at another's address does not cost a paused voter its place", func(t *testing.T) {
		members := append(five(5*time.Second, "10.0.0.3:7/c"), standing("10.0.0.2:7/n", false, 0))
		assertChange(t, members, StepNone, "")
	})
	t.Run("of two that are gone none is put out before a successor has a vote", func(t *testing.T) {
		members := append(five(5*time.Second, "10.0.0.2:7/b", "10.0.0.3:7/c"), standing("10.0.0.9:7/n", false, 0))
		assertChange(t, members, StepPromote, "10.0.0.9:7/n")
		members[5].Voter = true
		assertChange(t, members, StepRemove, "10.0.0.2:7/b")
	})
	t.Run("no voter is put out if the rest could not decide", func(t *testing.T) {
		silent := []string{"10.0.0.2:7/b", "10.0.0.3:7/c", "10.0.0.4:7/d"}
		assertChange(t, append(five(5*time.Second, silent...), standing("10.0.0.2:7/n", false, 0)), StepNone, "")
	})
	t.Run("a silent instance without a vote is forgotten", func(t *testing.T) {
		assertChange(t, append(five(0), standing("10.0.0.9:7/n", false, time.Minute)), StepRemove, "10.0.0.9:7/n")
	})
}

func TestReplicaID(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:7")
	t.Run("holds the address", func(t *testing.T) {
		got, known := AddrOf(ReplicaID(addr, "x"))
		assert.Assert(t, known)
		assert.Equal(t, got, addr)
	})
	t.Run("a plain name holds none", func(t *testing.T) {
		_, known := AddrOf("control-1")
		assert.Assert(t, !known)
	})
	t.Run("founders are the same in any order", func(t *testing.T) {
		other := netip.MustParseAddrPort("10.0.0.2:7")
		assert.DeepEqual(t, Founders([]netip.AddrPort{addr, other}), Founders([]netip.AddrPort{other, addr, addr}))
	})
}
