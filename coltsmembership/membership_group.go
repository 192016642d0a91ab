package coltsmembership

// A replication group manages its own membership: it is configured with the number of
// failures that it must tolerate, not with a list of its members. The rules in this file
// decide which instances its leader adds and removes, one change at a time.
//
// When a disk is lost, the votes and promises stored on it are lost too. A process that
// starts with an empty disk at the same address therefore gets a new identity and joins as
// a new member. The old identity can never return, so its vote is removed.

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"coltsfootstall/coltsidentity"
)

const (
	// aliveTimeout is how long after its last message a member counts as alive, and a voter
	// as able to vote. It covers several heartbeats of the group.
	aliveTimeout = 1200 * time.Millisecond
	// voterLostTimeout is how long after its last message a voter counts as lost and may
	// be replaced by another instance. It is longer than a restart takes.
	voterLostTimeout = 3 * time.Second
	// nonVoterLostTimeout is how long after its last message a member without a vote is
	// removed.
	nonVoterLostTimeout = 10 * time.Second
	// identitySeparator separates address and incarnation in an identity.
	identitySeparator = "/"
	// founder is the incarnation of the first voters of a group.
	founder = "founder"
)

// ReplicaID returns the identity of one incarnation of a control instance. addr is where
// the other members reach it; a process that lost its disk has a new incarnation.
func ReplicaID(addr netip.AddrPort, incarnation string) coltsidentity.Instance {
	return coltsidentity.Instance(addr.String() + identitySeparator + incarnation)
}

// Founders returns the first voters of a new group, sorted and without duplicates. They
// depend only on the addresses, so that all instances agree on them without communicating.
func Founders(addrs []netip.AddrPort) []coltsidentity.Instance {
	ids := make([]coltsidentity.Instance, 0, len(addrs))
	for _, addr := range addrs {
		ids = append(ids, ReplicaID(addr, founder))
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// AddrOf returns the address in an identity, or false if it contains none.
func AddrOf(id coltsidentity.Instance) (netip.AddrPort, bool) {
	text, _, found := strings.Cut(string(id), identitySeparator)
	if !found {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(text)
	return addr, err == nil
}

// GroupMember is a member of the group as its leader sees it.
type GroupMember struct {
	ID    coltsidentity.Instance
	Voter bool
	// CaughtUp is true if its log contains all committed entries.
	CaughtUp bool
	// HeardAt is when the leader last received a message from it.
	HeardAt time.Time
	// Leaving is set if it is stopping.
	Leaving bool
}

// Step is a kind of membership change.
type Step int

// The kinds of membership change.
const (
	// StepNone changes nothing.
	StepNone Step = iota
	// StepPromote makes a member a voter.
	StepPromote
	// StepRemove removes a member from the group.
	StepRemove
)

// Change is a change of the membership of the group. The zero value changes nothing.
type Change struct {
	Step   Step
	Member coltsidentity.Instance
	// Reason explains the change in the log.
	Reason string
}

// Group decides the membership changes of one group.
type Group struct {
	// Self is the leader, which always counts as alive.
	Self coltsidentity.Instance
	// Voters is the number of voters that the group should have.
	Voters int
}

// RequiredVoters returns the number of voters that tolerates a number of failures.
func RequiredVoters(failures int) int {
	return 2*failures + 1
}

// NextChange returns the change that the leader should make now.
func (g Group) NextChange(members []GroupMember, now time.Time) Change {
	for _, rule := range []func([]GroupMember, time.Time) Change{
		g.removeReplaced, g.promote, g.replaceLeaving, g.removeLost, g.addExtraVoter, g.removeLostNonVoter,
	} {
		if change := rule(members, now); change.Step != StepNone {
			return change
		}
	}
	return Change{}
}

// removeReplaced removes a voter that is not alive if another incarnation runs at its address.
func (g Group) removeReplaced(members []GroupMember, now time.Time) Change {
	for _, m := range members {
		if !m.Voter || g.isAlive(m, now) {
			continue
		}
		for _, other := range members {
			if !other.Voter && g.isAlive(other, now) && sameAddr(m.ID, other.ID) {
				return g.removeIfQuorumRemains(m, members, now, "another incarnation runs at its address")
			}
		}
	}
	return Change{}
}

// promote makes a ready member a voter if the group has too few voters.
func (g Group) promote(members []GroupMember, now time.Time) Change {
	if count(members, isVoter) >= g.Voters {
		return Change{}
	}
	for _, m := range members {
		if g.isReady(m, now) {
			return Change{Step: StepPromote, Member: m.ID, Reason: "the group is short of voters"}
		}
	}
	return Change{}
}

// replaceLeaving passes the vote of a voter that is stopping to a spare member. The spare gets its vote
// first, so that the group tolerates as many losses meanwhile.
func (g Group) replaceLeaving(members []GroupMember, now time.Time) Change {
	for _, m := range members {
		if !m.Voter || !m.Leaving {
			continue
		}
		if count(members, isVoter) > g.Voters {
			return g.removeIfQuorumRemains(m, members, now, "it is stopping, and another instance has its place")
		}
		if spare := g.findSpare(members, now); spare != nil {
			return Change{Step: StepPromote, Member: spare.ID, Reason: "a voter is stopping"}
		}
	}
	return Change{}
}

// CanReplace reports whether a member that is stopping has a vote that a spare member can take over.
func (g Group) CanReplace(id coltsidentity.Instance, members []GroupMember, now time.Time) bool {
	isVoting := slices.ContainsFunc(members, func(m GroupMember) bool { return m.ID == id && m.Voter })
	return isVoting && (g.findSpare(members, now) != nil || count(members, isVoter) > g.Voters)
}

// removeLost removes a lost voter if a spare member is ready to replace it or has already
// been given a vote. The lost voter may still come back, so it is kept until the remaining
// voters can tolerate one more failure without it.
func (g Group) removeLost(members []GroupMember, now time.Time) Change {
	if g.findSpare(members, now) == nil && count(members, isVoter) <= g.Voters {
		return Change{}
	}
	for _, m := range members {
		if !g.isLost(m, now) {
			continue
		}
		total, alive := g.votersWithout(m, members, now)
		if alive > total/2+1 {
			return Change{Step: StepRemove, Member: m.ID, Reason: "it is silent and another instance has or can have its place"}
		}
	}
	return Change{}
}

// addExtraVoter gives a vote to a spare member, beyond the intended number of voters, if there
// are lost voters that can't be removed yet.
func (g Group) addExtraVoter(members []GroupMember, now time.Time) Change {
	spare := g.findSpare(members, now)
	lost := count(members, func(m GroupMember) bool { return g.isLost(m, now) })
	if spare == nil || count(members, isVoter) >= g.Voters+lost {
		return Change{}
	}
	return Change{Step: StepPromote, Member: spare.ID, Reason: "voters are silent that can't be put out yet"}
}

// isLost reports whether a member is a voter that has sent nothing for voterLostTimeout.
func (g Group) isLost(m GroupMember, now time.Time) bool {
	return m.Voter && m.ID != g.Self && now.Sub(m.HeardAt) >= voterLostTimeout
}

// findSpare returns a ready member without a vote, or nil if there is none. A new
// incarnation of a voter at the same address is not a spare: it replaces only that voter.
func (g Group) findSpare(members []GroupMember, now time.Time) *GroupMember {
	for i, m := range members {
		replacesVoter := slices.ContainsFunc(members, func(o GroupMember) bool {
			return o.Voter && sameAddr(o.ID, m.ID)
		})
		if g.isReady(m, now) && !replacesVoter {
			return &members[i]
		}
	}
	return nil
}

// removeLostNonVoter removes a member without a vote that has sent nothing for
// nonVoterLostTimeout.
func (g Group) removeLostNonVoter(members []GroupMember, now time.Time) Change {
	for _, m := range members {
		if !m.Voter && now.Sub(m.HeardAt) >= nonVoterLostTimeout {
			return Change{Step: StepRemove, Member: m.ID, Reason: "it is silent and has no vote"}
		}
	}
	return Change{}
}

// removeIfQuorumRemains removes a voter unless the remaining live voters would not be a quorum.
func (g Group) removeIfQuorumRemains(m GroupMember, members []GroupMember, now time.Time, reason string) Change {
	total, alive := g.votersWithout(m, members, now)
	if alive < total/2+1 {
		return Change{}
	}
	return Change{Step: StepRemove, Member: m.ID, Reason: reason}
}

// votersWithout returns how many voters would remain without m, and how many of them are alive.
func (g Group) votersWithout(m GroupMember, members []GroupMember, now time.Time) (total, alive int) {
	alive = count(members, func(o GroupMember) bool { return o.Voter && o.ID != m.ID && g.isAlive(o, now) })
	return count(members, isVoter) - 1, alive
}

func (g Group) isAlive(m GroupMember, now time.Time) bool {
	return m.ID == g.Self || now.Sub(m.HeardAt) < aliveTimeout
}

// isReady reports whether a member has no vote and could be given one.
func (g Group) isReady(m GroupMember, now time.Time) bool {
	return !m.Voter && !m.Leaving && m.CaughtUp && g.isAlive(m, now)
}

func isVoter(m GroupMember) bool { return m.Voter }

func count(members []GroupMember, matches func(GroupMember) bool) int {
	n := 0
	for _, m := range members {
		if matches(m) {
			n++
		}
	}
	return n
}

// sameAddr reports whether two identities contain the same address.
func sameAddr(a, b coltsidentity.Instance) bool {
	addrA, hasA := AddrOf(a)
	addrB, hasB := AddrOf(b)
	return hasA && hasB && addrA == addrB
}
