package coltsreplica

// Random schedules for a group that bootstraps from seeds and repairs itself by the
// rules of coltsmembership: disks are lost, machines are replaced, and processes stall
// together with their clocks. At most two disks are lost before the group is complete
// again. No committed entry may be lost, no read may be stale, and the group must become
// complete again. A machine that is replaced by plan hands its vote over before it stops, and then two
// disks may be lost at once.

import (
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsmembership"
)

const (
	groupSize  = 5
	groupSeeds = 3
	// maxLostDisks is the number of disks that may be lost until the group is complete again.
	maxLostDisks = 2
	groupSteps   = 2500
	// firstSuccessorPort and successorPorts give each successor a port that no other machine has,
	// however often it moves after that.
	firstSuccessorPort = 1000
	successorPorts     = 100
	// reconfigureEverySteps is the number of steps between two membership checks of a
	// leader.
	reconfigureEverySteps = 5
)

// groupSimulation runs one schedule for a group.
type groupSimulation struct {
	*simulation
	// machines holds the ID of the replica that currently runs on each machine.
	machines []ID
	addrs    []netip.AddrPort
	// lostSinceComplete counts the disks lost since the group was last complete.
	// wasComplete is true once the group has been complete.
	lostSinceComplete int
	wasComplete       bool
	// incarnations numbers the IDs that newIdentity returns.
	incarnations int
	// disksLost counts all disks lost in the schedule, replacements those that were planned.
	disksLost    int
	replacements int
	// successor is the replica that is to replace the one on machine leaving; empty while no
	// replacement is under way.
	successor ID
	leaving   int
}

// The rules that a schedule can disable.
const (
	ruleIdentity   = "new identity after disk loss"
	ruleReadQuorum = "quorum round before a read"
	ruleSync       = "sync before a reply"
)

func newGroupSimulation(t assert.TestingT, seed uint64, disabledRule string) *groupSimulation {
	s := &groupSimulation{simulation: newSimulation(t, seed)}
	s.disabledRule = disabledRule
	s.clocksMayStall = true
	s.changesPerMille = 0
	s.faultsPerMille = []int{1, 3, 8}[s.rng.IntN(3)]
	s.members, s.order = map[ID]*member{}, nil
	for i := range groupSize {
		s.addrs = append(s.addrs, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1))
	}
	founders := coltsmembership.Founders(s.addrs[:groupSeeds])
	for i := range groupSize {
		if i < groupSeeds {
			s.machines = append(s.machines, founders[i])
			s.start(founders[i], Configuration{Voters: founders})
			continue
		}
		s.machines = append(s.machines, s.newIdentity(i))
		s.start(s.machines[i], Configuration{})
	}
	return s
}

// newIdentity returns an ID for a new incarnation at a machine's address.
func (s *groupSimulation) newIdentity(machine int) ID {
	s.incarnations++
	return coltsmembership.ReplicaID(s.addrs[machine], fmt.Sprint("n", s.incarnations))
}

func (s *groupSimulation) start(id ID, first Configuration) {
	m := &member{id: id, disk: disk{snapshot: Snapshot{Configuration: first}}}
	s.members[id] = m
	s.order = append(s.order, id)
	s.boot(m)
}

// groupStep runs one step of the simulation and injects random faults into the group.
func (s *groupSimulation) groupStep(i int) {
	s.step()
	machine := s.rng.IntN(groupSize)
	m := s.members[s.machines[machine]]
	switch {
	case s.wasComplete && s.successor == "" && s.lostSinceComplete < maxLostDisks && s.chance(10):
		s.loseDisk(machine)
	case s.wasComplete && s.successor == "" && s.lostSinceComplete == 0 && s.chance(30):
		s.beginReplacement(machine)
	case s.chance(2 * s.faultsPerMille):
		m.paused = !m.paused
	case m.paused && s.faultFree:
		m.paused = false
	}
	if m.paused && s.rng.IntN(2) == 0 {
		m.clockLag += 10 * time.Millisecond
	}
	s.runLeaders(i)
}

// loseDisk restarts a machine with an empty disk, sometimes at a new address as its
// replacement.
func (s *groupSimulation) loseDisk(machine int) {
	s.lostSinceComplete++
	old := s.machines[machine]
	s.order = slices.DeleteFunc(s.order, func(id ID) bool { return id == old })
	delete(s.members, old)
	if s.rng.IntN(3) == 0 {
		s.addrs[machine] = netip.AddrPortFrom(s.addrs[machine].Addr().Next(), s.addrs[machine].Port()+1)
	}
	id := s.newIdentity(machine)
	if s.disabledRule == ruleIdentity {
		id = old
	}
	s.machines[machine] = id
	s.start(id, Configuration{})
	s.disksLost++
}

// beginReplacement starts the successor of a machine, which is going to stop.
func (s *groupSimulation) beginReplacement(machine int) {
	s.addrs[machine] = netip.AddrPortFrom(s.addrs[machine].Addr(), uint16(firstSuccessorPort+successorPorts*s.incarnations))
	s.successor, s.leaving = s.newIdentity(machine), machine
	s.start(s.successor, Configuration{})
}

// endReplacement stops the machine that is being replaced for good, once a leader has committed that it
// has no vote any more.
func (s *groupSimulation) endReplacement(leader *member) {
	if s.successor == "" {
		return
	}
	old, n := s.machines[s.leaving], leader.replica
	if !n.ConfigurationCommitted() || n.Configuration().IsVoter(old) || !n.Configuration().IsVoter(s.successor) {
		return
	}
	s.order = slices.DeleteFunc(s.order, func(id ID) bool { return id == old })
	delete(s.members, old)
	s.machines[s.leaving], s.successor = s.successor, ""
	s.replacements++
}

// isLeaving reports whether a replica runs on the machine that is being replaced.
func (s *groupSimulation) isLeaving(id ID) bool {
	return s.successor != "" && s.machines[s.leaving] == id
}

// runLeaders lets every leader read, update the membership and admit new members.
func (s *groupSimulation) runLeaders(i int) {
	for _, id := range slices.Clone(s.order) {
		m, exists := s.members[id]
		if !exists || m.down || m.paused || m.replica.Role() != RoleLeader {
			continue
		}
		if s.rng.IntN(10) == 0 {
			s.readFrom(m)
		}
		if i%reconfigureEverySteps == 0 {
			s.reconfigure(m)
			s.admitMember(m)
			s.endReplacement(m)
		}
		s.recordIfComplete(m)
	}
}

// readFrom reads from a leader. The read waits for a quorum round unless ruleReadQuorum
// is disabled.
func (s *groupSimulation) readFrom(m *member) {
	if s.disabledRule != ruleReadQuorum {
		s.read(m)
		return
	}
	for i := range s.committed {
		assert.Assert(s.t, i <= m.replica.CommitIndex(),
			"%s read at index %d after index %d was committed", m.id, m.replica.CommitIndex(), i)
	}
}

// admitMember lets a leader add the first machine that is running and connected but not
// yet a member.
func (s *groupSimulation) admitMember(leader *member) {
	if s.partitioned[leader.id] {
		return
	}
	for _, id := range append(slices.Clone(s.machines), s.successor) {
		m, exists := s.members[id]
		if !exists {
			continue
		}
		if !m.down && !m.paused && !s.partitioned[id] &&
			!slices.Contains(leader.replica.Configuration().Members(), id) {
			_ = leader.replica.AddLearner(id)
			return
		}
	}
}

// reconfigure makes the membership change that is due, if any.
func (s *groupSimulation) reconfigure(leader *member) {
	n := leader.replica
	configuration := n.Configuration()
	members := []coltsmembership.GroupMember{{
		ID: leader.id, Voter: configuration.IsVoter(leader.id), CaughtUp: true, Leaving: s.isLeaving(leader.id),
	}}
	for _, p := range n.Followers() {
		members = append(members, coltsmembership.GroupMember{
			ID: p.ID, Voter: configuration.IsVoter(p.ID), HeardAt: p.LastReplyAt,
			CaughtUp: p.MatchIndex >= n.CommitIndex(), Leaving: s.isLeaving(p.ID),
		})
	}
	group := coltsmembership.Group{Self: leader.id, Voters: coltsmembership.RequiredVoters(maxLostDisks)}
	change := group.NextChange(members, leader.localTime(s.now))
	switch change.Step {
	case coltsmembership.StepPromote:
		_ = n.Promote(change.Member)
	case coltsmembership.StepRemove:
		_ = n.Remove(change.Member)
	}
}

// recordIfComplete records that the group is complete: all running machines are voters
// and have every committed entry.
func (s *groupSimulation) recordIfComplete(leader *member) {
	configuration := leader.replica.Configuration()
	if len(configuration.Voters) != groupSize || leader.replica.log.configurationIndex > leader.replica.CommitIndex() {
		return
	}
	upToDate := 1
	for _, p := range leader.replica.Followers() {
		if slices.Contains(s.machines, p.ID) && configuration.IsVoter(p.ID) && p.MatchIndex >= leader.replica.CommitIndex() {
			upToDate++
		}
	}
	term, _ := leader.replica.TermAt(leader.replica.CommitIndex())
	if upToDate == groupSize && slices.Contains(s.machines, leader.id) && term == leader.replica.Term() {
		s.lostSinceComplete, s.wasComplete = 0, true
	}
}

// healGroup ends all faults and asserts that the group becomes complete and continues to
// commit.
func (s *groupSimulation) healGroup() {
	s.faultFree = true
	s.partitioned = map[ID]bool{}
	s.wasComplete, s.lostSinceComplete = false, 0
	highest := uint64(0)
	for i := range s.committed {
		highest = max(highest, i)
	}
	for i := range simHealSteps {
		s.groupStep(i)
		if s.wasComplete && s.appliedBeyond(highest) {
			return
		}
	}
	assert.Assert(s.t, false,
		"the group did not become complete after all faults ended; committed up to %d", highest)
}

func runGroup(t assert.TestingT, seed uint64, disabledRule string) *groupSimulation {
	s := newGroupSimulation(t, seed, disabledRule)
	for i := range groupSteps {
		s.groupStep(i)
	}
	s.assertCommittedKept()
	s.healGroup()
	s.assertCommittedKept()
	return s
}

func TestGroupSimulation(t *testing.T) {
	disksLost, replacements := 0, 0
	for i := range *schedules / 3 {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := runGroup(t, seed, "")
			disksLost += s.disksLost
			replacements += s.replacements
		})
	}
	assert.Assert(t, replacements > *schedules/6, "only %d machines were replaced by plan", replacements)
	assert.Assert(t, disksLost > *schedules/6, "only %d disks were lost", disksLost)
}

// recorder replaces testing.T for runs that are expected to fail.
type recorder struct{ failed bool }

// Fail records a failure.
func (r *recorder) Fail() { r.failed = true }

// FailNow records a failure and ends the schedule.
func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}

// Log discards its arguments.
func (r *recorder) Log(...any) {}

// assertRuleNeeded asserts that some schedule fails if the rule is disabled.
func assertRuleNeeded(t *testing.T, rule string) {
	t.Helper()
	for seed := range uint64(3000) {
		r := &recorder{}
		done := make(chan struct{})
		go func() {
			defer close(done)
			runGroup(r, seed+1, rule)
		}()
		<-done
		if r.failed {
			return
		}
	}
	t.Fatalf("no schedule fails without the rule %q", rule)
}

func TestRulesAreNeeded(t *testing.T) {
	for _, rule := range []string{ruleIdentity, ruleReadQuorum, ruleSync} {
		t.Run(rule, func(t *testing.T) { assertRuleNeeded(t, rule) })
	}
}
