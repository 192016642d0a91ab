package coltsreplica

// The replica is the root of the aggregate. It is used by one goroutine, its
// driver, and so needs no lock.

import (
	"fmt"
	"time"
)

const (
	// maxEntriesPerMessage and maxBytesPerMessage bound an append.
	maxEntriesPerMessage = 256
	maxBytesPerMessage   = 1 << 20
	// maxInFlight bounds the appends to one replica that are not answered.
	maxInFlight = 16
	// maxUncommitted bounds the entries that a leader takes ahead of the quorum.
	maxUncommitted = 4096
	// snapshotRetry is after how many heartbeats a snapshot is sent again.
	snapshotRetry = 20
)

// Config says what a replica is made of.
type Config struct {
	ID ID
	// HeartbeatEvery is the time between a leader's heartbeats.
	HeartbeatEvery time.Duration
	// ElectionAfter is the least time without a leader before an election; the
	// time is up to twice as long, by chance.
	ElectionAfter time.Duration
	// ClockMargin is taken off a leader's lease for clocks that run apart.
	ClockMargin time.Duration
	// Leaseless says that nobody relies on a leader's lease, only on rounds with a
	// quorum. A replica that starts then need not keep what it may have promised before,
	// and stands for election without waiting for a whole ElectionAfter.
	Leaseless bool
	// Random returns a number from 0 to n-1.
	Random func(n int64) int64
	// LoadSnapshot returns the newest snapshot that the driver has saved.
	LoadSnapshot func() Snapshot
}

// Restored is what a driver has read back from its disk.
type Restored struct {
	HardState HardState
	// Snapshot is the newest one; its Index is 0 if there is none, and its
	// Configuration is then the one to begin with.
	Snapshot Snapshot
	// Entries are those after the snapshot.
	Entries []Entry
}

// Role says what a replica is doing.
type Role int

// The roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// Replica is one member of the group.
type Replica struct {
	cfg       Config
	hard      HardState
	persisted HardState
	log       replicaLog
	commit    uint64
	// handedOut is the last committed entry that an Output held.
	handedOut uint64
	role      Role
	leader    ID
	// electionAt is when an election begins unless a leader is heard; a leader
	// checks its quorum then.
	electionAt time.Time
	// leaseUntil is until when a voter helps no other candidate, because it has
	// heard a leader.
	leaseUntil  time.Time
	heartbeatAt time.Time
	votes       map[ID]bool
	followers   map[ID]*follower
	round       uint64
	// beats are the rounds that no quorum has answered yet, the oldest first, and
	// leadUntil is until when a quorum has promised to help nobody else.
	beats     []sentBeat
	leadUntil time.Time
	reads     []pendingRead
	out       Output
	// clock is the newest time that a step was given.
	clock time.Time
}

// sentBeat is when a round of heartbeats was sent.
type sentBeat struct {
	round  uint64
	sentAt time.Time
}

// follower is what a leader knows of another replica.
type follower struct {
	match uint64
	next  uint64
	// probing says that it is not known from where the logs match, so that one
	// append at a time is sent.
	probing  bool
	inFlight int
	// snapshotAt is the index of a snapshot under way; 0 for none. sentBeats
	// counts the heartbeats since it was sent.
	snapshotAt uint64
	sentBeats  int
	// heard says that it has answered since the quorum was last checked.
	heard bool
	// heardAt is when it last answered, or when it became a follower.
	heardAt time.Time
	round   uint64
}

type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// NotLeaderError reports that only the leader can do this.
type NotLeaderError struct {
	// Leader is who leads; empty if that is not known.
	Leader ID
}

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "no leader is known"
	}
	return fmt.Sprintf("%s leads", e.Leader)
}

// BusyError reports that the quorum is too far behind to take more.
type BusyError struct {
	Uncommitted int
}

// Error gives the number of entries that wait.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%d entries wait for the quorum", e.Uncommitted)
}

// New returns a replica as its disk left it.
func New(cfg Config, r Restored, now time.Time) *Replica {
	n := &Replica{cfg: cfg, hard: r.HardState, persisted: r.HardState}
	n.log.install(r.Snapshot)
	n.log.append(r.Entries...)
	n.log.persisted = n.log.last()
	n.log.unsent = n.log.last() + 1
	n.commit = r.Snapshot.Index
	n.handedOut = r.Snapshot.Index
	n.followers = map[ID]*follower{}
	n.clock = now
	n.resetElection(now)
	if cfg.Leaseless {
		n.electionAt = now.Add(cfg.HeartbeatEvery + time.Duration(cfg.Random(int64(cfg.ElectionAfter/2))))
	} else {
		// What this voter promised before a restart is forgotten, so it is kept as if
		// it had been promised just now.
		n.leaseUntil = now.Add(cfg.ElectionAfter)
	}
	neverRan := r.HardState == HardState{}
	if neverRan && len(n.log.configuration.Voters) == 1 && n.log.configuration.IsVoter(cfg.ID) {
		// Nobody else could lead, and nothing was promised to anybody.
		n.electionAt = now
	}
	return n
}

// InTouchUntil returns until when what this replica has committed counts as
// recent: it leads, or has heard the leader a moment ago.
func (n *Replica) InTouchUntil(now time.Time) time.Time {
	switch {
	case n.role == RoleLeader:
		return now.Add(2 * n.cfg.ElectionAfter)
	case n.leader != "":
		return n.leaseUntil.Add(n.cfg.ElectionAfter)
	}
	return time.Time{}
}

// LeaseUntil returns until when this replica alone can be leader, the margin for
// clocks taken off; the zero time if it does not lead. A quorum that answered a
// heartbeat helps no other candidate for ElectionAfter from then on.
func (n *Replica) LeaseUntil() time.Time {
	if n.role != RoleLeader || n.cfg.Leaseless {
		return time.Time{}
	}
	return n.leadUntil
}

// Leader returns who leads; empty if that is not known.
func (n *Replica) Leader() ID { return n.leader }

// Role returns what the replica is doing.
func (n *Replica) Role() Role { return n.role }

// Term returns the current term.
func (n *Replica) Term() uint64 { return n.hard.Term }

// CommitIndex returns the index up to which the log is committed.
func (n *Replica) CommitIndex() uint64 { return n.commit }

// Last returns the index of the last entry.
func (n *Replica) Last() uint64 { return n.log.last() }

// Configuration returns the newest configuration of the log.
func (n *Replica) Configuration() Configuration { return n.log.configuration }

// WakeAt returns when Tick has something to do.
func (n *Replica) WakeAt() time.Time {
	if n.role == RoleLeader && n.heartbeatAt.Before(n.electionAt) {
		return n.heartbeatAt
	}
	return n.electionAt
}

// Tick takes in that time has passed.
func (n *Replica) Tick(now time.Time) {
	n.clock = now
	if n.role == RoleLeader && !now.Before(n.heartbeatAt) {
		n.beat(now)
	}
	if now.Before(n.electionAt) {
		return
	}
	if n.role == RoleLeader {
		n.checkQuorum(now)
		return
	}
	n.resetElection(now)
	if n.mayCampaign() {
		n.campaign(RolePreCandidate, now)
	}
}

// appendOwn appends an entry of the leader's.
func (n *Replica) appendOwn(e Entry) {
	e.Term = n.hard.Term
	e.Index = n.log.last() + 1
	n.log.append(e)
}

// Propose appends commands and returns the index of the first.
func (n *Replica) Propose(commands [][]byte) (uint64, error) {
	if n.role != RoleLeader {
		return 0, &NotLeaderError{Leader: n.leader}
	}
	if waiting := int(n.log.last() - n.commit); waiting+len(commands) > maxUncommitted {
		return 0, &BusyError{Uncommitted: waiting}
	}
	first := n.log.last() + 1
	for _, data := range commands {
		n.appendOwn(Entry{Kind: EntryCommand, Data: data})
	}
	n.replicate()
	return first, nil
}

// Read asks for a barrier: an Output holds it once a quorum has confirmed that
// this replica still leads.
func (n *Replica) Read(token uint64, now time.Time) error {
	term, _ := n.log.term(n.commit)
	if n.role != RoleLeader || term != n.hard.Term {
		return &NotLeaderError{Leader: n.leader}
	}
	n.reads = append(n.reads, pendingRead{token: token, index: n.commit, round: n.round + 1})
	n.beat(now)
	return nil
}

// send queues a message that is sent after what is to be persisted.
func (n *Replica) send(m Message) {
	m.From = n.cfg.ID
	n.out.Messages = append(n.out.Messages, m)
}

// Take returns what the steps so far ask for, and begins anew.
func (n *Replica) Take() Output {
	out := n.out
	n.out = Output{}
	out.Entries = n.log.takeUnpersisted()
	if n.hard != n.persisted {
		hard := n.hard
		out.HardState = &hard
		n.persisted = hard
	}
	if out.HardState != nil {
		// Nothing may be said in a term that could be forgotten.
		out.Messages = append(out.Early, out.Messages...)
		out.Early = nil
	}
	out.Committed = n.log.between(n.handedOut, n.commit)
	n.handedOut = max(n.handedOut, n.commit)
	return out
}

// Persisted takes in that the entries up to an index are on disk.
func (n *Replica) Persisted(index, term uint64) {
	known, held := n.log.term(index)
	if !held || known != term {
		return
	}
	n.log.persisted = max(n.log.persisted, index)
	if n.role == RoleLeader {
		n.commitByQuorum()
	}
}

// ConfigurationAt returns the configuration as of an index, for a snapshot.
func (n *Replica) ConfigurationAt(index uint64) Configuration {
	return n.log.configurationUpTo(index)
}

// Progress is a follower as its leader knows it.
type Progress struct {
	ID ID
	// Match is the index up to which its log is known to match.
	Match uint64
	// HeardAt is when it last answered, or when it became a follower.
	HeardAt time.Time
}

// Followers returns what a leader knows of the others, in the order of their names;
// nil for one that does not lead.
func (n *Replica) Followers() []Progress {
	if n.role != RoleLeader {
		return nil
	}
	all := make([]Progress, 0, len(n.followers))
	for id, f := range n.sorted() {
		all = append(all, Progress{ID: id, Match: f.match, HeardAt: f.heardAt})
	}
	return all
}

// TermAt returns the term of an entry, or false if the log does not hold it.
func (n *Replica) TermAt(index uint64) (uint64, bool) {
	return n.log.term(index)
}

// Retained returns the entries that the log holds after its base.
func (n *Replica) Retained() []Entry {
	return n.log.between(n.log.base, n.log.last())
}

// Compact drops the entries up to an index, which a saved snapshot covers.
func (n *Replica) Compact(upTo uint64) {
	if upTo <= n.handedOut {
		n.log.compact(upTo)
	}
}
