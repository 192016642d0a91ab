package coltsreplica

// Random schedules of a group that forms from seeds and mends itself by the rules of
// coltsmembership: disks are lost, machines are replaced, processes stand still together
// with their clocks. At the most two disks are lost until the group is whole again.
// Nothing committed may be lost, no read may be old, and the group must become whole.

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
	groupSize   = 5
	groupSeeds  = 3
	groupLosses = 2
	groupSteps  = 2500
	// mendEvery is in how many steps a leader looks after the group.
	mendEvery = 5
)

// groupSimulation is one schedule of a group.
type groupSimulation struct {
	*simulation
	// machines are the identities that run now, by machine.
	machines []ID
	addrs    []netip.AddrPort
	// lost counts the disks that were lost since the group was last whole; formed
	// says that it was whole once.
	lost    int
	formed  bool
	born    int
	rebuilt int
}

// The rules that a schedule may leave out.
const (
	ruleIdentity = "a new identity after a loss"
	ruleRound    = "a round before a read"
	ruleSync     = "a sync before an answer"
)

func newGroupSimulation(t assert.TestingT, seed uint64, without string) *groupSimulation {
	s := &groupSimulation{simulation: newSimulation(t, seed)}
	s.without = without
	s.clocksStop = true
	s.changes = 0
	s.faults = []int{1, 3, 8}[s.rng.IntN(3)]
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

// newIdentity names a new incarnation at a machine's address.
func (s *groupSimulation) newIdentity(machine int) ID {
	s.born++
	return coltsmembership.ReplicaID(s.addrs[machine], fmt.Sprint("n", s.born))
}

func (s *groupSimulation) start(id ID, first Configuration) {
	m := &member{id: id, disk: disk{snapshot: Snapshot{Configuration: first}}}
	s.members[id] = m
	s.order = append(s.order, id)
	s.boot(m)
}

// groupStep does one random thing to the group.
func (s *groupSimulation) groupStep(i int) {
	s.step()
	machine := s.rng.IntN(groupSize)
	m := s.members[s.machines[machine]]
	switch {
	case s.formed && s.lost < groupLosses && s.chance(10):
		s.loseDisk(machine)
	case s.chance(2 * s.faults):
		m.frozen = !m.frozen
	case m.frozen && s.calm:
		m.frozen = false
	}
	if m.frozen && s.rng.IntN(2) == 0 {
		m.lag += 10 * time.Millisecond
	}
	s.everyLeader(i)
}

// loseDisk has a machine come back with an empty disk, or replaces it.
func (s *groupSimulation) loseDisk(machine int) {
	s.lost++
	old := s.machines[machine]
	s.order = slices.DeleteFunc(s.order, func(id ID) bool { return id == old })
	delete(s.members, old)
	if s.rng.IntN(3) == 0 {
		s.addrs[machine] = netip.AddrPortFrom(s.addrs[machine].Addr().Next(), s.addrs[machine].Port()+1)
	}
	id := s.newIdentity(machine)
	if s.without == ruleIdentity {
		id = old
	}
	s.machines[machine] = id
	s.start(id, Configuration{})
	s.rebuilt++
}

// everyLeader has leaders look after the group and read, and everyone else join.
func (s *groupSimulation) everyLeader(i int) {
	for _, id := range slices.Clone(s.order) {
		m := s.members[id]
		if m.down || m.frozen || m.replica.Role() != RoleLeader {
			continue
		}
		if s.rng.IntN(10) == 0 {
			s.readFrom(m)
		}
		if i%mendEvery == 0 {
			s.mend(m)
			s.takeIn(m)
		}
		s.noteWhole(m)
	}
}

// readFrom reads at a leader, behind a round with a quorum unless that is left out.
func (s *groupSimulation) readFrom(m *member) {
	if s.without != ruleRound {
		s.read(m)
		return
	}
	for i := range s.committed {
		assert.Assert(s.t, i <= m.replica.CommitIndex(), "%s reads %d after %d was committed", m.id, m.replica.CommitIndex(), i)
	}
}

// takeIn has a leader take in whoever runs, is not cut off and has no place.
func (s *groupSimulation) takeIn(leader *member) {
	if s.cut[leader.id] {
		return
	}
	for _, id := range s.machines {
		m := s.members[id]
		if !m.down && !m.frozen && !s.cut[id] && !slices.Contains(leader.replica.Configuration().Members(), id) {
			_ = leader.replica.AddLearner(id)
			return
		}
	}
}

// mend makes the change of the group that is due.
func (s *groupSimulation) mend(leader *member) {
	n := leader.replica
	configuration := n.Configuration()
	members := []coltsmembership.Standing{{ID: leader.id, Voter: configuration.IsVoter(leader.id), CaughtUp: true}}
	for _, p := range n.Followers() {
		members = append(members, coltsmembership.Standing{
			ID: p.ID, Voter: configuration.IsVoter(p.ID), HeardAt: p.HeardAt,
			CaughtUp: p.Match >= n.CommitIndex(),
		})
	}
	group := coltsmembership.Group{Self: leader.id, Voters: coltsmembership.RequiredVoters(groupLosses)}
	change := group.Next(members, leader.clock(s.now))
	switch change.Step {
	case coltsmembership.StepPromote:
		_ = n.Promote(change.Member)
	case coltsmembership.StepRemove:
		_ = n.Remove(change.Member)
	}
}

// noteWhole takes in that all that run are voters and hold all that is committed.
func (s *groupSimulation) noteWhole(leader *member) {
	configuration := leader.replica.Configuration()
	if len(configuration.Voters) != groupSize || leader.replica.log.configurationAt > leader.replica.CommitIndex() {
		return
	}
	held := 1
	for _, p := range leader.replica.Followers() {
		if slices.Contains(s.machines, p.ID) && configuration.IsVoter(p.ID) && p.Match >= leader.replica.CommitIndex() {
			held++
		}
	}
	term, _ := leader.replica.TermAt(leader.replica.CommitIndex())
	if held == groupSize && slices.Contains(s.machines, leader.id) && term == leader.replica.Term() {
		s.lost, s.formed = 0, true
	}
}

// healGroup ends all faults and asserts that the group becomes whole and goes on.
func (s *groupSimulation) healGroup() {
	s.calm = true
	s.cut = map[ID]bool{}
	s.formed, s.lost = false, 0
	highest := uint64(0)
	for i := range s.committed {
		highest = max(highest, i)
	}
	for i := range simHealSteps {
		s.groupStep(i)
		if s.formed && s.agreedBeyond(highest) {
			return
		}
	}
	assert.Assert(s.t, false, "the group did not become whole after it was healed; committed %d", highest)
}

func runGroup(t assert.TestingT, seed uint64, without string) *groupSimulation {
	s := newGroupSimulation(t, seed, without)
	for i := range groupSteps {
		s.groupStep(i)
	}
	s.assertCommittedKept()
	s.healGroup()
	s.assertCommittedKept()
	return s
}

func TestGroupSimulation(t *testing.T) {
	rebuilt := 0
	for i := range *schedules / 3 {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			rebuilt += runGroup(t, seed, "").rebuilt
		})
	}
	assert.Assert(t, rebuilt > *schedules/6, "only %d disks were lost", rebuilt)
}

// recorder takes the place of a test that is meant to fail.
type recorder struct{ failed bool }

// Fail takes in a failure.
func (r *recorder) Fail() { r.failed = true }

// FailNow takes in a failure and ends the schedule.
func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}

// Log keeps quiet.
func (r *recorder) Log(...any) {}

// assertNeeded asserts that schedules without a rule break a promise.
func assertNeeded(t *testing.T, rule string) {
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
	t.Fatalf("no schedule without %q breaks a promise", rule)
}

func TestRulesAreNeeded(t *testing.T) {
	for _, rule := range []string{ruleIdentity, ruleRound, ruleSync} {
		t.Run(rule, func(t *testing.T) { assertNeeded(t, rule) })
	}
}
