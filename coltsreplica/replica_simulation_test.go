package coltsreplica

// Random schedules for the replicas: messages are lost, duplicated, delayed and
// reordered, replicas crash at every point between persisting, sending and applying, the
// configuration changes, and logs are compacted. Raft's safety rules are checked after
// each step. A schedule is fully determined by its seed.
//
// CI runs a few hundred schedules. The full run is
//
//	go test ./coltsreplica -run Simulation -schedules 10000

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	schedules = flag.Int("schedules", 300, "number of random schedules")
	firstSeed = flag.Uint64("seed", 1, "seed of the first schedule")
)

const (
	// simSteps is the number of steps of a schedule before its faults end.
	simSteps     = 1500
	simHeartbeat = 100 * time.Millisecond
	simElection  = 500 * time.Millisecond
	simMaxDelay  = 300 * time.Millisecond
	// simHealSteps is the number of steps within which a group must recover after that.
	simHealSteps = 4000
	// simCompactEntries is the minimum number of entries between two snapshots.
	simCompactEntries = 10
)

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// disk holds the state of a replica that survives a crash.
type disk struct {
	hardState HardState
	snapshot  Snapshot
	entries   []Entry
}

// clone returns a copy that is unaffected by later writes.
func (d *disk) clone() disk {
	return disk{hardState: d.hardState, snapshot: d.snapshot, entries: slices.Clone(d.entries)}
}

// persist writes what an output says must be persisted.
func (d *disk) persist(out Output) {
	if out.InstallSnapshot != nil {
		d.snapshot = *out.InstallSnapshot
		d.entries = nil
	}
	if out.HardState != nil {
		d.hardState = *out.HardState
	}
	for _, e := range out.Entries {
		if e.Index <= d.snapshot.Index {
			continue
		}
		d.entries = append(d.entries[:e.Index-d.snapshot.Index-1:e.Index-d.snapshot.Index-1], e)
	}
}

// member is a replica with its disk and state machine.
type member struct {
	id      ID
	replica *Replica
	disk    disk
	// applied is the state: the applied commands in order.
	applied      []string
	appliedIndex uint64
	// down is true after a crash, until the member is booted again.
	down bool
	// paused is true while the process is stopped. clockLag is how far its clock is
	// behind, since a clock may stop together with its process.
	paused   bool
	clockLag time.Duration
	// reads maps each read token to the highest index that any member had applied when
	// the read was requested.
	reads map[uint64]uint64
}

// localTime returns the member's own time.
func (m *member) localTime(now time.Time) time.Time { return now.Add(-m.clockLag) }

// envelope is a message in transit, to be delivered at a given time.
type envelope struct {
	at      time.Time
	message Message
}

// simulation runs one schedule.
type simulation struct {
	t       assert.TestingT
	rng     *rand.Rand
	now     time.Time
	members map[ID]*member
	// order holds the member IDs in a fixed order, so that schedules are reproducible.
	order   []ID
	network []envelope
	// faultFree is true while no faults are injected and down members restart.
	faultFree bool
	// changesPerMille is the share of steps that change the configuration, in
	// thousandths. It is so high in some schedules that several changes would overlap if
	// the replicas allowed it.
	changesPerMille int
	// partitioned holds the members that are cut off from the network.
	partitioned map[ID]bool
	// leaders maps each term to its leader, and committed maps each index to the entry
	// that was committed there.
	leaders   map[uint64]ID
	committed map[uint64]Entry
	proposed  int
	// faultsPerMille is the share of steps in which a member crashes, and of those in
	// which it is partitioned or reconnected, in thousandths.
	faultsPerMille int
	// clocksMayStall is true if clocks may stop. Leases are not used in that case.
	clocksMayStall bool
	// disabledRule is the rule that the schedule does not follow, to show that the rule
	// is needed. It is empty if all rules apply.
	disabledRule string
	token        uint64
}

func newSimulation(t assert.TestingT, seed uint64) *simulation {
	s := &simulation{
		t:              t,
		rng:            rand.New(rand.NewPCG(seed, 7)),
		now:            simStart,
		members:        map[ID]*member{},
		partitioned:    map[ID]bool{},
		leaders:        map[uint64]ID{},
		committed:      map[uint64]Entry{},
		faultsPerMille: 8,
	}
	s.changesPerMille = []int{5, 50, 300}[s.rng.IntN(3)]
	first := Configuration{}
	for i := range 1 + 2*s.rng.IntN(3) {
		first.Voters = append(first.Voters, ID(fmt.Sprintf("r%d", i)))
	}
	for i := range 6 {
		id := ID(fmt.Sprintf("r%d", i))
		m := &member{id: id, disk: disk{snapshot: Snapshot{Configuration: first}}}
		s.members[id] = m
		s.order = append(s.order, id)
		s.boot(m)
	}
	return s
}

// boot starts a member with the state on its disk.
func (s *simulation) boot(m *member) {
	m.down = false
	m.applied = decodeState(m.disk.snapshot.Data)
	m.appliedIndex = m.disk.snapshot.Index
	m.replica = New(Config{
		ID:                m.id,
		HeartbeatInterval: simHeartbeat,
		ElectionTimeout:   simElection,
		ClockMargin:       simHeartbeat,
		DisableLeases:     s.clocksMayStall,
		Random:            s.rng.Int64N,
		LoadSnapshot:      func() Snapshot { return m.disk.snapshot },
	}, RestoredState{
		HardState: m.disk.hardState,
		Snapshot:  m.disk.snapshot,
		Entries:   slices.Clone(m.disk.entries),
	}, s.now)
}

func encodeState(commands []string) []byte {
	var b []byte
	for _, c := range commands {
		b = append(b, c...)
		b = append(b, '\n')
	}
	return b
}

func decodeState(b []byte) []string {
	var commands []string
	for len(b) > 0 {
		i := slices.Index(b, '\n')
		commands = append(commands, string(b[:i]))
		b = b[i+1:]
	}
	return commands
}

// chance returns true with the given probability in thousandths, and always false when
// faultFree is set.
func (s *simulation) chance(perMille int) bool {
	return !s.faultFree && s.rng.IntN(1000) < perMille
}

// step advances the time, injects random faults, and lets every member run once.
func (s *simulation) step() {
	s.now = s.now.Add(time.Duration(s.rng.Int64N(int64(20 * time.Millisecond))))
	m := s.members[s.order[s.rng.IntN(len(s.order))]]
	switch {
	case s.chance(s.faultsPerMille):
		m.down = true
	case s.chance(s.faultsPerMille):
		s.partitioned[m.id] = !s.partitioned[m.id]
	case m.down && (s.faultFree || s.chance(100)):
		s.boot(m)
	}
	if s.chance(s.changesPerMille) {
		s.changeMembership()
	}
	s.deliver()
	for _, id := range s.order {
		s.runMember(s.members[id])
	}
}

// deliver delivers the messages that are due, in random order.
func (s *simulation) deliver() {
	var due, later []envelope
	for _, e := range s.network {
		if e.at.After(s.now) {
			later = append(later, e)
		} else {
			due = append(due, e)
		}
	}
	s.network = later
	s.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, e := range due {
		to := s.members[e.message.To]
		if to == nil || to.paused {
			continue
		}
		if !to.down && !s.partitioned[to.id] && !s.partitioned[e.message.From] {
			to.replica.Step(e.message, to.localTime(s.now))
			s.check(to)
		}
	}
}

// runMember lets a member tick and propose, and processes its outputs.
func (s *simulation) runMember(m *member) {
	if m.down || m.paused {
		return
	}
	m.replica.Tick(m.localTime(s.now))
	if m.replica.Role() == RoleLeader && s.rng.IntN(4) == 0 {
		s.proposed++
		_, _ = m.replica.Propose([][]byte{fmt.Appendf(nil, "c%d", s.proposed)})
	}
	for range 10 {
		out := m.replica.TakeOutput()
		if out.Empty() {
			return
		}
		if !s.processOutput(m, out) {
			m.down = true
			return
		}
	}
}

// processOutput carries out the work that an output lists. It returns false if the member
// crashes before the end.
func (s *simulation) processOutput(m *member, out Output) bool {
	s.send(out.EarlyMessages)
	if s.chance(2) {
		return false
	}
	before := m.disk.clone()
	m.disk.persist(out)
	if s.disabledRule == ruleSync {
		// Power fails after the reply is sent but before the writes reach the disk.
		defer func() {
			if m.down || s.chance(2) {
				m.disk, m.down = before, true
			}
		}()
	} else if s.chance(1) {
		s.loseWrites(&m.disk, before)
		return false
	}
	if n := len(out.Entries); n > 0 {
		m.replica.MarkPersisted(out.Entries[n-1].Index, out.Entries[n-1].Term)
	}
	if s.chance(2) {
		return false
	}
	s.send(out.Messages)
	if s.chance(2) {
		return false
	}
	if out.InstallSnapshot != nil {
		m.applied = decodeState(out.InstallSnapshot.Data)
		m.appliedIndex = out.InstallSnapshot.Index
	}
	for _, e := range out.Committed {
		s.apply(m, e)
	}
	s.checkReads(m, out.Reads)
	s.compact(m)
	return true
}

// loseWrites simulates a power failure during the writes of an output. The log frame is
// either written completely or torn and therefore ignored, and a new snapshot file
// exists under its final name or not.
func (s *simulation) loseWrites(d *disk, before disk) {
	written := d.clone()
	*d = before
	if s.rng.IntN(2) == 0 {
		d.hardState, d.entries = written.hardState, written.entries
		d.snapshot = written.snapshot
	}
}

func (s *simulation) send(messages []Message) {
	for _, message := range messages {
		copies := 1
		if s.chance(50) {
			copies = 0
		}
		if s.chance(20) {
			copies = 2
		}
		for range copies {
			delay := time.Duration(s.rng.Int64N(int64(10 * time.Millisecond)))
			if s.chance(30) {
				delay = time.Duration(s.rng.Int64N(int64(simMaxDelay)))
			}
			s.network = append(s.network, envelope{at: s.now.Add(delay), message: message})
		}
	}
}

// apply applies an entry and asserts that all members apply the same entry at each
// index.
func (s *simulation) apply(m *member, e Entry) {
	assert.Equal(s.t, e.Index, m.appliedIndex+1, "%s skips an entry", m.id)
	m.appliedIndex = e.Index
	known, seen := s.committed[e.Index]
	if seen {
		assert.Equal(s.t, known.Term, e.Term, "%s applies a different entry at %d", m.id, e.Index)
		assert.Equal(s.t, string(known.Data), string(e.Data), "%s applies a different command at %d", m.id, e.Index)
	}
	s.committed[e.Index] = e
	if e.Kind == EntryCommand {
		m.applied = append(m.applied, string(e.Data))
	}
}

// compact occasionally saves a snapshot and drops the log entries that it covers.
func (s *simulation) compact(m *member) {
	if m.appliedIndex < m.disk.snapshot.Index+simCompactEntries || s.rng.IntN(5) > 0 {
		return
	}
	term, known := m.replica.TermAt(m.appliedIndex)
	if !known {
		return
	}
	old := m.disk.snapshot.Index
	m.disk.snapshot = Snapshot{
		Index:         m.appliedIndex,
		Term:          term,
		Configuration: m.replica.ConfigurationAt(m.appliedIndex),
		Data:          encodeState(m.applied),
	}
	m.disk.entries = slices.Clone(m.disk.entries[min(m.appliedIndex-old, uint64(len(m.disk.entries))):])
	m.replica.Compact(m.appliedIndex, Retention{})
}

// changeMembership requests a random configuration change from every leader, including a
// deposed one that has not noticed yet.
func (s *simulation) changeMembership() {
	for _, id := range s.order {
		m := s.members[id]
		if m.down || m.replica.Role() != RoleLeader {
			continue
		}
		other := s.order[s.rng.IntN(len(s.order))]
		switch s.rng.IntN(3) {
		case 0:
			_ = m.replica.AddLearner(other)
		case 1:
			_ = m.replica.Promote(other)
		case 2:
			if len(m.replica.Configuration().Voters) > 1 {
				_ = m.replica.Remove(other)
			}
		}
	}
}

// check asserts the rules that must hold after every step.
func (s *simulation) check(m *member) {
	if m.replica.Role() == RoleLeader {
		leader, known := s.leaders[m.replica.Term()]
		assert.Assert(s.t, !known || leader == m.id, "term %d has leaders %s and %s", m.replica.Term(), leader, m.id)
		s.leaders[m.replica.Term()] = m.id
	}
	s.checkLeases()
}

// read requests a read barrier from a leader and records the highest index that any member
// has applied. The confirmed read must see all entries up to that index.
func (s *simulation) read(m *member) {
	s.token++
	if m.replica.Read(s.token, m.localTime(s.now)) != nil {
		return
	}
	if m.reads == nil {
		m.reads = map[uint64]uint64{}
	}
	for i := range s.committed {
		m.reads[s.token] = max(m.reads[s.token], i)
	}
}

// checkReads asserts that a confirmed read sees every entry that was committed before it
// was requested.
func (s *simulation) checkReads(m *member, reads []ReadBarrier) {
	for _, r := range reads {
		if !r.Failed {
			assert.Assert(s.t, r.Index >= m.reads[r.Token],
				"%s read at index %d after index %d was committed", m.id, r.Index, m.reads[r.Token])
		}
		delete(m.reads, r.Token)
	}
}

// checkLeases asserts that at most one member holds a leader lease.
func (s *simulation) checkLeases() {
	if s.clocksMayStall {
		return
	}
	holders := 0
	for _, m := range s.members {
		if !m.down && s.now.Before(m.replica.LeaseUntil()) {
			holders++
		}
	}
	assert.Assert(s.t, holders <= 1, "%d members hold a leader lease", holders)
}

// assertCommittedKept asserts that every member's state contains exactly the commands
// committed up to the index that it has applied.
func (s *simulation) assertCommittedKept() {
	for _, id := range s.order {
		m := s.members[id]
		var want []string
		for i := uint64(1); i <= m.appliedIndex; i++ {
			if e := s.committed[i]; e.Kind == EntryCommand {
				want = append(want, string(e.Data))
			}
		}
		assert.DeepEqual(s.t, m.applied, want)
	}
}

// heal ends all faults and asserts that the group then agrees and continues to commit.
func (s *simulation) heal() {
	s.faultFree = true
	s.partitioned = map[ID]bool{}
	highest := uint64(0)
	for i := range s.committed {
		highest = max(highest, i)
	}
	for range simHealSteps {
		s.step()
		if s.appliedBeyond(highest) {
			return
		}
	}
	assert.Assert(s.t, false, "the group made no progress after all faults ended; committed up to %d", highest)
}

// appliedBeyond reports whether every voter of the leader's configuration has applied
// entries beyond an index.
func (s *simulation) appliedBeyond(index uint64) bool {
	for _, id := range s.order {
		leader := s.members[id]
		if leader.down || leader.replica.Role() != RoleLeader {
			continue
		}
		for _, voter := range leader.replica.Configuration().Voters {
			if m := s.members[voter]; m == nil || m.appliedIndex <= index {
				return false
			}
		}
		return true
	}
	return false
}

func TestSimulation(t *testing.T) {
	for i := range *schedules {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := newSimulation(t, seed)
			for range simSteps {
				s.step()
			}
			s.assertCommittedKept()
			s.heal()
			s.assertCommittedKept()
		})
	}
}
