package coltsmembership

// A group that forms itself must also mend itself: it is told how many losses it
// has to bear and nothing of who belongs to it. These are the rules by which its
// leader takes instances in and puts them out, one change at a time.
//
// A disk that was lost took votes and promises with it, so the process that comes
// back at its address has a new identity and joins as a new member. The old identity
// can't come back then, and gives up its place.

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"coltsfootstall/coltsidentity"
)

const (
	// silentAfter is how long a voter may give no sign of life and still count as
	// able to vote: several heartbeats of the group.
	silentAfter = 1200 * time.Millisecond
	// replaceAfter is the silence after which a voter gives its place to another
	// instance that is ready for it: longer than a restart takes.
	replaceAfter = 3 * time.Second
	// forgetAfter is the silence after which an instance without a vote is put out.
	forgetAfter = 10 * time.Second
	// identitySeparator stands between address and incarnation in an identity.
	identitySeparator = "/"
	// founder is the incarnation of those that the group began with.
	founder = "founder"
)

// ReplicaID names an incarnation of a control instance: a process with its disk, at
// the address where the others reach it.
func ReplicaID(addr netip.AddrPort, incarnation string) coltsidentity.Instance {
	return coltsidentity.Instance(addr.String() + identitySeparator + incarnation)
}

// Founders returns the first voters of a group that begins at some addresses. They
// follow from the addresses alone, so that all can agree on them without a message.
func Founders(addrs []netip.AddrPort) []coltsidentity.Instance {
	ids := make([]coltsidentity.Instance, 0, len(addrs))
	for _, addr := range addrs {
		ids = append(ids, ReplicaID(addr, founder))
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// AddrOf returns the address in an identity, or false if it holds none.
func AddrOf(id coltsidentity.Instance) (netip.AddrPort, bool) {
	text, _, found := strings.Cut(string(id), identitySeparator)
	if !found {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(text)
	return addr, err == nil
}

// Standing is a member of the group as its leader sees it.
type Standing struct {
	ID    coltsidentity.Instance
	Voter bool
	// CaughtUp says that it holds all that is committed.
	CaughtUp bool
	// HeardAt is when it last gave a sign of life.
	HeardAt time.Time
}

// Step is a kind of change of the group.
type Step int

// The steps.
const (
	// StepNone changes nothing.
	StepNone Step = iota
	StepPromote
	StepRemove
)

// Change is one change of the group.
type Change struct {
	Step   Step
	Member coltsidentity.Instance
	// Reason says why, for the log.
	Reason string
}

// Group holds the rules of one group.
type Group struct {
	// Self is the leader, which is always alive.
	Self coltsidentity.Instance
	// Voters is the number of voters that the group should have.
	Voters int
}

// RequiredVoters returns how many voters bear a number of losses.
func RequiredVoters(losses int) int {
	return 2*losses + 1
}

// Next returns the change that is due.
func (g Group) Next(members []Standing, now time.Time) Change {
	for _, rule := range []func([]Standing, time.Time) Change{g.putOutReplaced, g.promote, g.putOutSilent, g.grow, g.forget} {
		if change := rule(members, now); change.Step != StepNone {
			return change
		}
	}
	return Change{}
}

// putOutReplaced removes a voter whose address another incarnation has taken.
func (g Group) putOutReplaced(members []Standing, now time.Time) Change {
	for _, m := range members {
		if !m.Voter || g.alive(m, now) {
			continue
		}
		for _, other := range members {
			if !other.Voter && g.alive(other, now) && sameAddr(m.ID, other.ID) {
				return g.remove(m, members, now, "another incarnation runs at its address")
			}
		}
	}
	return Change{}
}

// promote gives a vote to one that is ready for it if the group is short of voters.
func (g Group) promote(members []Standing, now time.Time) Change {
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

// putOutSilent removes a voter that has been silent for long if another instance is ready
// for its place, or has taken it. It may come back, so it is kept until the rest can bear
// one more loss without it.
func (g Group) putOutSilent(members []Standing, now time.Time) Change {
	if g.spare(members, now) == nil && count(members, isVoter) <= g.Voters {
		return Change{}
	}
	for _, m := range members {
		if !g.isLost(m, now) {
			continue
		}
		left, alive := g.without(m, members, now)
		if alive > left/2+1 {
			return Change{Step: StepRemove, Member: m.ID, Reason: "it is silent and another instance has or can have its place"}
		}
	}
	return Change{}
}

// grow gives a vote to a spare instance where silent voters can't be put out yet.
func (g Group) grow(members []Standing, now time.Time) Change {
	spare := g.spare(members, now)
	lost := count(members, func(m Standing) bool { return g.isLost(m, now) })
	if spare == nil || count(members, isVoter) >= g.Voters+lost {
		return Change{}
	}
	return Change{Step: StepPromote, Member: spare.ID, Reason: "voters are silent that can't be put out yet"}
}

// isLost says whether a voter has been silent for long.
func (g Group) isLost(m Standing, now time.Time) bool {
	return m.Voter && m.ID != g.Self && now.Sub(m.HeardAt) >= replaceAfter
}

// spare returns an instance that is ready for a vote and is not the successor of a voter
// at its own address; nil if there is none.
func (g Group) spare(members []Standing, now time.Time) *Standing {
	for i, m := range members {
		succeeds := slices.ContainsFunc(members, func(o Standing) bool { return o.Voter && sameAddr(o.ID, m.ID) })
		if g.isReady(m, now) && !succeeds {
			return &members[i]
		}
	}
	return nil
}

// forget removes one without a vote that has been silent for long.
func (g Group) forget(members []Standing, now time.Time) Change {
	for _, m := range members {
		if !m.Voter && now.Sub(m.HeardAt) >= forgetAfter {
			return Change{Step: StepRemove, Member: m.ID, Reason: "it is silent and has no vote"}
		}
	}
	return Change{}
}

// remove removes a voter unless the rest could then decide nothing.
func (g Group) remove(m Standing, members []Standing, now time.Time, reason string) Change {
	left, alive := g.without(m, members, now)
	if alive < left/2+1 {
		return Change{}
	}
	return Change{Step: StepRemove, Member: m.ID, Reason: reason}
}

// without returns how many voters there are without one, and how many of them are alive.
func (g Group) without(m Standing, members []Standing, now time.Time) (left, alive int) {
	alive = count(members, func(o Standing) bool { return o.Voter && o.ID != m.ID && g.alive(o, now) })
	return count(members, isVoter) - 1, alive
}

func (g Group) alive(m Standing, now time.Time) bool {
	return m.ID == g.Self || now.Sub(m.HeardAt) < silentAfter
}

func (g Group) isReady(m Standing, now time.Time) bool {
	return !m.Voter && m.CaughtUp && g.alive(m, now)
}

func isVoter(m Standing) bool { return m.Voter }

func count(members []Standing, is func(Standing) bool) int {
	n := 0
	for _, m := range members {
		if is(m) {
			n++
		}
	}
	return n
}

func sameAddr(a, b coltsidentity.Instance) bool {
	x, known := AddrOf(a)
	y, alsoKnown := AddrOf(b)
	return known && alsoKnown && x == y
}
