package coltsmembership

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
)

var now = time.Unix(1_700_000_000, 0)

// newMember returns a member that has caught up and last sent a message some time ago.
func newMember(id string, voter bool, ago time.Duration) GroupMember {
	return GroupMember{ID: coltsidentity.Instance(id), Voter: voter, CaughtUp: true, HeardAt: now.Add(-ago)}
}

// voters returns a group of five voters. The ones listed in silentIDs have sent nothing
// for some time.
func voters(silence time.Duration, silentIDs ...string) []GroupMember {
	var members []GroupMember
	for _, id := range []string{"10.0.0.1:7/a", "10.0.0.2:7/b", "10.0.0.3:7/c", "10.0.0.4:7/d", "10.0.0.5:7/e"} {
		ago := time.Duration(0)
		for _, s := range silentIDs {
			if s == id {
				ago = silence
			}
		}
		members = append(members, newMember(id, true, ago))
	}
	return members
}

// withLeaving marks a member as stopping.
func withLeaving(members []GroupMember, id string) []GroupMember {
	for i := range members {
		members[i].Leaving = members[i].Leaving || members[i].ID == coltsidentity.Instance(id)
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
	t.Run("a complete group is not changed", func(t *testing.T) {
		assertChange(t, voters(0), StepNone, "")
	})
	t.Run("a lost voter is kept while there is no replacement", func(t *testing.T) {
		assertChange(t, voters(time.Minute, "10.0.0.2:7/b"), StepNone, "")
	})
	t.Run("a group with too few voters promotes a ready member", func(t *testing.T) {
		assertChange(t, append(voters(0)[:3], newMember("10.0.0.9:7/n", false, 0)), StepPromote, "10.0.0.9:7/n")
	})
	t.Run("a member that has not caught up is not promoted", func(t *testing.T) {
		behind := newMember("10.0.0.9:7/n", false, 0)
		behind.CaughtUp = false
		assertChange(t, append(voters(0)[:3], behind), StepNone, "")
	})
	t.Run("a voter that lost its disk is removed if a new incarnation runs at its address", func(t *testing.T) {
		members := append(voters(2*time.Second, "10.0.0.2:7/b", "10.0.0.3:7/c"), newMember("10.0.0.2:7/n", false, 0))
		assertChange(t, members, StepRemove, "10.0.0.2:7/b")
	})
	t.Run("a voter that has been silent only briefly is kept", func(t *testing.T) {
		members := append(voters(2*time.Second, "10.0.0.2:7/b"), newMember("10.0.0.9:7/n", false, 0))
		assertChange(t, members, StepNone, "")
	})
	t.Run("a lost voter is removed if a spare member is ready", func(t *testing.T) {
		members := append(voters(5*time.Second, "10.0.0.2:7/b"), newMember("10.0.0.9:7/n", false, 0))
		assertChange(t, members, StepRemove, "10.0.0.2:7/b")
	})
	t.Run("a new incarnation of another voter does not replace a lost voter", func(t *testing.T) {
		members := append(voters(5*time.Second, "10.0.0.3:7/c"), newMember("10.0.0.2:7/n", false, 0))
		assertChange(t, members, StepNone, "")
	})
	t.Run("of two lost voters none is removed before a spare member has a vote", func(t *testing.T) {
		members := append(voters(5*time.Second, "10.0.0.2:7/b", "10.0.0.3:7/c"), newMember("10.0.0.9:7/n", false, 0))
		assertChange(t, members, StepPromote, "10.0.0.9:7/n")
		members[5].Voter = true
		assertChange(t, members, StepRemove, "10.0.0.2:7/b")
	})
	t.Run("no voter is removed if the remaining live voters would not be a quorum", func(t *testing.T) {
		silent := []string{"10.0.0.2:7/b", "10.0.0.3:7/c", "10.0.0.4:7/d"}
		assertChange(t, append(voters(5*time.Second, silent...), newMember("10.0.0.2:7/n", false, 0)), StepNone, "")
	})
	t.Run("a voter that is stopping is replaced by a spare member, which gets its vote first", func(t *testing.T) {
		members := append(withLeaving(voters(0), "10.0.0.2:7/b"), newMember("10.0.0.9:7/n", false, 0))
		assertChange(t, members, StepPromote, "10.0.0.9:7/n")
		members[5].Voter = true
		assertChange(t, members, StepRemove, "10.0.0.2:7/b")
	})
	t.Run("a leader that is stopping is replaced too", func(t *testing.T) {
		members := append(withLeaving(voters(0), "10.0.0.1:7/a"), newMember("10.0.0.9:7/n", false, 0))
		members[5].Voter = true
		assertChange(t, members, StepRemove, "10.0.0.1:7/a")
	})
	t.Run("a voter that is stopping keeps its vote while no other member can have it", func(t *testing.T) {
		assertChange(t, withLeaving(voters(0), "10.0.0.2:7/b"), StepNone, "")
	})
	t.Run("a member that is stopping gets no vote", func(t *testing.T) {
		members := append(voters(5*time.Second, "10.0.0.2:7/b"), newMember("10.0.0.9:7/n", false, 0))
		assertChange(t, withLeaving(members, "10.0.0.9:7/n"), StepNone, "")
	})
	t.Run("a vote can be passed on while there is a spare member", func(t *testing.T) {
		group := Group{Self: "10.0.0.1:7/a", Voters: 5}
		members := withLeaving(voters(0), "10.0.0.2:7/b")
		assert.Assert(t, !group.CanReplace("10.0.0.2:7/b", members, now))
		members = append(members, newMember("10.0.0.9:7/n", false, 0))
		assert.Assert(t, group.CanReplace("10.0.0.2:7/b", members, now))
		assert.Assert(t, !group.CanReplace("10.0.0.9:7/n", members, now), "it has no vote")
	})
	t.Run("a silent member without a vote is removed", func(t *testing.T) {
		assertChange(t, append(voters(0), newMember("10.0.0.9:7/n", false, time.Minute)), StepRemove, "10.0.0.9:7/n")
	})
}

func TestReplicaID(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:7")
	t.Run("an ID contains the address", func(t *testing.T) {
		got, known := AddrOf(ReplicaID(addr, "x"))
		assert.Assert(t, known)
		assert.Equal(t, got, addr)
	})
	t.Run("a plain name contains no address", func(t *testing.T) {
		_, known := AddrOf("control-1")
		assert.Assert(t, !known)
	})
	t.Run("founders are the same for any order of the addresses", func(t *testing.T) {
		other := netip.MustParseAddrPort("10.0.0.2:7")
		assert.DeepEqual(t, Founders([]netip.AddrPort{addr, other}), Founders([]netip.AddrPort{other, addr, addr}))
	})
}
