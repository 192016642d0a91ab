package coltsreplica

// Random schedules of the step function: messages are lost, doubled, delayed and
// reordered, replicas crash at every point between persisting, sending and
// applying, the configuration changes, and logs are compacted. After each step the
// rules of agreement are checked. A schedule follows from its seed alone.
//
// CI runs a few hundred schedules; the full run is
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
	simSteps       = 1500
	simHeartbeat   = 100 * time.Millisecond
	simElection    = 500 * time.Millisecond
	simMaxDelay    = 300 * time.Millisecond
	simHealSteps   = 4000
	simCompactSpan = 10
)

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// disk is what a replica keeps over a crash.
type disk struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

// clone returns a copy that later writes leave alone.
func (d *disk) clone() disk {
	return disk{hard: d.hard, snapshot: d.snapshot, entries: slices.Clone(d.entries)}
}

// persist takes in what an output asks to keep.
func (d *disk) persist(out Output) {
	if out.InstallSnapshot != nil {
		d.snapshot = *out.InstallSnapshot
		d.entries = nil
	}
	if out.HardState != nil {
		d.hard = *out.HardState
	}
	for _, e := range out.Entries {
		if e.Index <= d.snapshot.Index {
			continue
		}
		d.entries = append(d.entries[:e.Index-d.snapshot.Index-1:e.Index-d.snapshot.Index-1], e)
	}
}

// member is a replica with its disk and its state machine.
type member struct {
	id      ID
	replica *Replica
	disk    disk
	// applied is the state: the commands in order.
	applied   []string
	appliedAt uint64
	down      bool
	// frozen says that it does nothing; lag is how far its clock is behind, since a
	// clock may stand still with its process.
	frozen bool
	lag    time.Duration
	// reads holds what was committed anywhere when each read barrier was asked for.
	reads map[uint64]uint64
}

// clock is the member's own time.
func (m *member) clock(now time.Time) time.Time { return now.Add(-m.lag) }

// envelope is a message under way.
type envelope struct {
	at      time.Time
	message Message
}

// simulation is one schedule.
type simulation struct {
	t       assert.TestingT
	rng     *rand.Rand
	now     time.Time
	members map[ID]*member
	order   []ID
	network []envelope
	calm    bool
	// changes is how often the group changes, in thousandths of the steps: in
	// some schedules so often that several changes are under way at once, if
	// nothing forbids it.
	changes int
	cut     map[ID]bool
	// leaders holds who led each term, committed what is committed at each index.
	leaders   map[uint64]ID
	committed map[uint64]Entry
	proposed  int
	// faults is how often a member goes down or is cut off, in thousandths of steps.
	faults int
	// clocksStop says that clocks may stand still, in which case no lease is relied on.
	clocksStop bool
	// without is a rule that the schedule leaves out, to show that it is needed.
	without string
	token   uint64
}

func newSimulation(t assert.TestingT, seed uint64) *simulation {
	s := &simulation{
		t:         t,
		rng:       rand.New(rand.NewPCG(seed, 7)),
		now:       simStart,
		members:   map[ID]*member{},
		cut:       map[ID]bool{},
		leaders:   map[uint64]ID{},
		committed: map[uint64]Entry{},
		faults:    8,
	}
	s.changes = []int{5, 50, 300}[s.rng.IntN(3)]
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

// boot starts a member from its disk.
func (s *simulation) boot(m *member) {
	m.down = false
	m.applied = decodeState(m.disk.snapshot.Data)
	m.appliedAt = m.disk.snapshot.Index
	m.replica = New(Config{
		ID:             m.id,
		HeartbeatInterval: simHeartbeat,
		ElectionTimeout:  simElection,
		ClockMargin:    simHeartbeat,
		DisableLeases:      s.clocksStop,
		Random:         s.rng.Int64N,
		LoadSnapshot:   func() Snapshot { return m.disk.snapshot },
	}, RestoredState{HardState: m.disk.hard, Snapshot: m.disk.snapshot, Entries: slices.Clone(m.disk.entries)}, s.now)
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

// chance says yes in a share of cases, and never in calm.
func (s *simulation) chance(perMille int) bool {
	return !s.calm && s.rng.IntN(1000) < perMille
}

// step does one random thing.
func (s *simulation) step() {
	s.now = s.now.Add(time.Duration(s.rng.Int64N(int64(20 * time.Millisecond))))
	m := s.members[s.order[s.rng.IntN(len(s.order))]]
	switch {
	case s.chance(s.faults):
		m.down = true
	case s.chance(s.faults):
		s.cut[m.id] = !s.cut[m.id]
	case m.down && (s.calm || s.chance(100)):
		s.boot(m)
	}
	if s.chance(s.changes) {
		s.changeMembership()
	}
	s.deliver()
	for _, id := range s.order {
		s.work(s.members[id])
	}
}

// deliver hands out the messages that are due, in a random order.
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
		if to == nil || to.frozen {
			continue
		}
		if !to.down && !s.cut[to.id] && !s.cut[e.message.From] {
			to.replica.Step(e.message, to.clock(s.now))
			s.check(to)
		}
	}
}

// work lets a member tick, propose, and do what its outputs ask for.
func (s *simulation) work(m *member) {
	if m.down || m.frozen {
		return
	}
	m.replica.Tick(m.clock(s.now))
	if m.replica.Role() == RoleLeader && s.rng.IntN(4) == 0 {
		s.proposed++
		_, _ = m.replica.Propose([][]byte{fmt.Appendf(nil, "c%d", s.proposed)})
	}
	for range 10 {
		out := m.replica.TakeOutput()
		if out.Empty() {
			return
		}
		if !s.carryOut(m, out) {
			m.down = true
			return
		}
	}
}

// carryOut does what an output asks for; it returns false if the member crashes
// on the way.
func (s *simulation) carryOut(m *member, out Output) bool {
	s.send(out.EarlyMessages)
	if s.chance(2) {
		return false
	}
	before := m.disk.clone()
	m.disk.persist(out)
	if s.without == ruleSync {
		// The power goes after the answer, before what was written is on the disk.
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
		m.appliedAt = out.InstallSnapshot.Index
	}
	for _, e := range out.Committed {
		s.apply(m, e)
	}
	s.checkReads(m, out.Reads)
	s.compact(m)
	return true
}

// loseWrites is a loss of power while what an output asks for is written: the frame that
// holds it is there whole, or was torn and is passed over, and a new snapshot is there
// under its name or not.
func (s *simulation) loseWrites(d *disk, before disk) {
	written := d.clone()
	*d = before
	if s.rng.IntN(2) == 0 {
		d.hard, d.entries = written.hard, written.entries
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

// apply checks that every member applies the same at each index.
func (s *simulation) apply(m *member, e Entry) {
	assert.Equal(s.t, e.Index, m.appliedAt+1, "%s skips an entry", m.id)
	m.appliedAt = e.Index
	known, seen := s.committed[e.Index]
	if seen {
		assert.Equal(s.t, known.Term, e.Term, "%s applies another entry at %d", m.id, e.Index)
		assert.Equal(s.t, string(known.Data), string(e.Data), "%s applies another command at %d", m.id, e.Index)
	}
	s.committed[e.Index] = e
	if e.Kind == EntryCommand {
		m.applied = append(m.applied, string(e.Data))
	}
}

// compact saves a snapshot now and then and drops the log before it.
func (s *simulation) compact(m *member) {
	if m.appliedAt < m.disk.snapshot.Index+simCompactSpan || s.rng.IntN(5) > 0 {
		return
	}
	term, known := m.replica.TermAt(m.appliedAt)
	if !known {
		return
	}
	old := m.disk.snapshot.Index
	m.disk.snapshot = Snapshot{
		Index:         m.appliedAt,
		Term:          term,
		Configuration: m.replica.ConfigurationAt(m.appliedAt),
		Data:          encodeState(m.applied),
	}
	m.disk.entries = slices.Clone(m.disk.entries[min(m.appliedAt-old, uint64(len(m.disk.entries))):])
	m.replica.Compact(m.appliedAt)
}

// changeMembership asks every leader, also one that does not know yet that it is
// deposed, for a random change.
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

// check asserts the rules that hold after every step.
func (s *simulation) check(m *member) {
	if m.replica.Role() == RoleLeader {
		leader, known := s.leaders[m.replica.Term()]
		assert.Assert(s.t, !known || leader == m.id, "term %d has leaders %s and %s", m.replica.Term(), leader, m.id)
		s.leaders[m.replica.Term()] = m.id
	}
	s.checkLeases()
}

// read asks a leader for a read barrier and remembers what it must not be older than.
func (s *simulation) read(m *member) {
	s.token++
	if m.replica.Read(s.token, m.clock(s.now)) != nil {
		return
	}
	if m.reads == nil {
		m.reads = map[uint64]uint64{}
	}
	for i := range s.committed {
		m.reads[s.token] = max(m.reads[s.token], i)
	}
}

// checkReads asserts that a confirmed read is as new as what was committed before it.
func (s *simulation) checkReads(m *member, reads []ReadBarrier) {
	for _, r := range reads {
		if !r.Failed {
			assert.Assert(s.t, r.Index >= m.reads[r.Token], "%s reads %d after %d was committed", m.id, r.Index, m.reads[r.Token])
		}
		delete(m.reads, r.Token)
	}
}

// checkLeases asserts that at most one member holds a lease.
func (s *simulation) checkLeases() {
	if s.clocksStop {
		return
	}
	holders := 0
	for _, m := range s.members {
		if !m.down && s.now.Before(m.replica.LeaseUntil()) {
			holders++
		}
	}
	assert.Assert(s.t, holders <= 1, "%d members hold a lease", holders)
}

// assertCommittedKept asserts that no committed entry is missing from the members
// that have applied beyond it, and that a quorum can still produce it.
func (s *simulation) assertCommittedKept() {
	for _, id := range s.order {
		m := s.members[id]
		var want []string
		for i := uint64(1); i <= m.appliedAt; i++ {
			if e := s.committed[i]; e.Kind == EntryCommand {
				want = append(want, string(e.Data))
			}
		}
		assert.DeepEqual(s.t, m.applied, want)
	}
}

// heal ends all faults and asserts that the group then agrees and goes on.
func (s *simulation) heal() {
	s.calm = true
	s.cut = map[ID]bool{}
	highest := uint64(0)
	for i := range s.committed {
		highest = max(highest, i)
	}
	for range simHealSteps {
		s.step()
		if s.agreedBeyond(highest) {
			return
		}
	}
	assert.Assert(s.t, false, "the group did not go on after it was healed; committed %d", highest)
}

// agreedBeyond says whether every voter of the leader's configuration has applied
// more than what was committed before.
func (s *simulation) agreedBeyond(index uint64) bool {
	for _, id := range s.order {
		leader := s.members[id]
		if leader.down || leader.replica.Role() != RoleLeader {
			continue
		}
		for _, voter := range leader.replica.Configuration().Voters {
			if m := s.members[voter]; m == nil || m.appliedAt <= index {
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
