package coltsreplica

// Replica is the aggregate root. A single goroutine, its driver, calls its methods, so
// it needs no lock.

import (
	"fmt"
	"time"
)

const (
	// maxEntriesPerMessage and maxBytesPerMessage limit the size of one append message.
	maxEntriesPerMessage = 256
	maxBytesPerMessage   = 1 << 20
	// maxInFlightAppends limits the unanswered append messages to one follower.
	maxInFlightAppends = 16
	// maxUncommittedEntries limits the entries that a leader accepts before a quorum has
	// persisted them.
	maxUncommittedEntries = 4096
	// snapshotRetryHeartbeats is the number of heartbeats after which an unanswered
	// snapshot is sent again.
	snapshotRetryHeartbeats = 20
)

// Config configures a Replica.
type Config struct {
	ID ID
	// HeartbeatInterval is the interval between a leader's heartbeats.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum election timeout. The actual timeout is randomized
	// and up to twice as long.
	ElectionTimeout time.Duration
	// ClockMargin is subtracted from a leader's lease to allow for clock drift between
	// replicas.
	ClockMargin time.Duration
	// DisableLeases is true if leader leases are not used, so that every read needs a quorum
	// round. After a restart, a replica then doesn't have to honour a lease that it may
	// have granted before, and it can start an election before a whole ElectionTimeout
	// has passed.
	DisableLeases bool
	// Random returns a random number from 0 to n-1.
	Random func(n int64) int64
	// LoadSnapshot returns the newest snapshot that the driver has saved.
	LoadSnapshot func() Snapshot
}

// RestoredState is the state that the driver has read from its disk.
type RestoredState struct {
	HardState HardState
	// Snapshot is the newest snapshot. If there is none, its Index is 0 and its
	// Configuration is the initial configuration.
	Snapshot Snapshot
	// Entries are the log entries after the snapshot.
	Entries []Entry
}

// Role is a replica's role in the group.
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
	cfg                Config
	hardState          HardState
	persistedHardState HardState
	log                replicaLog
	// commitIndex is the index of the last committed entry.
	commitIndex uint64
	// deliveredIndex is the index of the last committed entry that was returned in an
	// Output.
	deliveredIndex uint64
	role           Role
	leader         ID
	// electionDeadline is when an election starts unless a message from a leader arrives
	// first. A leader checks at that time whether it still reaches a quorum.
	electionDeadline time.Time
	// voteLeaseUntil is the time before which this voter grants no votes to other
	// candidates, because it has recently heard from a leader.
	voteLeaseUntil time.Time
	// nextHeartbeatAt is when the leader sends its next heartbeat.
	nextHeartbeatAt time.Time
	// votes holds the replies of the current campaign; true is a granted vote.
	votes map[ID]bool
	// followers holds the other members. It is up to date only on the leader.
	followers map[ID]*follower
	// round is the number of the last heartbeat round that was sent.
	round uint64
	// unackedRounds are the heartbeat rounds that no quorum has acknowledged yet, oldest
	// first. leaderLeaseUntil is the time before which a quorum of voters has promised
	// not to vote for another candidate.
	unackedRounds    []heartbeatRound
	leaderLeaseUntil time.Time
	reads            []pendingRead
	out              Output
	// latestTime is the time passed to the latest Tick or Step.
	latestTime time.Time
}

// heartbeatRound records when a round of heartbeats was sent.
type heartbeatRound struct {
	round  uint64
	sentAt time.Time
}

// follower is a leader's view of another member.
type follower struct {
	// matchIndex is the highest index up to which its log is known to match.
	matchIndex uint64
	// nextIndex is the index of the next entry to send.
	nextIndex uint64
	// probing is true while the last matching entry is unknown. Only one append at a
	// time is sent then.
	probing bool
	// inFlight is the number of append messages that it has not answered yet.
	inFlight int
	// pendingSnapshot is the index of a snapshot that was sent and not acknowledged yet,
	// or 0. heartbeatsSinceSnapshot counts the heartbeats since it was sent.
	pendingSnapshot         uint64
	heartbeatsSinceSnapshot int
	// recentlyActive is true if the follower has replied since the last quorum check.
	recentlyActive bool
	// lastReplyAt is when it last replied, or when the leader added it if it has not
	// replied yet.
	lastReplyAt time.Time
	// ackedRound is the latest heartbeat round that it has answered.
	ackedRound uint64
}

// pendingRead is a read barrier that waits until a quorum answers a heartbeat round.
type pendingRead struct {
	token uint64
	// index is the commit index at the time of the request.
	index uint64
	round uint64
}

// NotLeaderError is returned by operations that only the leader can carry out. Read also
// returns it on a leader that has not committed an entry of its own term yet.
type NotLeaderError struct {
	// Leader is the current leader, or empty if unknown.
	Leader ID
}

// Error names the leader if it is known.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "no leader is known"
	}
	return fmt.Sprintf("%s is the leader", e.Leader)
}

// BusyError is returned when the quorum is so far behind that the leader accepts no more
// entries.
type BusyError struct {
	Uncommitted int
}

// Error states the number of uncommitted entries.
func (e *BusyError) Error() string {
	return fmt.Sprintf("too many uncommitted log entries: %d", e.Uncommitted)
}

// New returns a replica with the state restored from its disk.
func New(cfg Config, r RestoredState, now time.Time) *Replica {
	n := &Replica{cfg: cfg, hardState: r.HardState, persistedHardState: r.HardState}
	n.log.install(r.Snapshot)
	n.log.append(r.Entries...)
	n.log.persistedIndex = n.log.last()
	n.log.nextToPersist = n.log.last() + 1
	n.commitIndex = r.Snapshot.Index
	n.deliveredIndex = r.Snapshot.Index
	n.followers = map[ID]*follower{}
	n.latestTime = now
	n.resetElection(now)
	if cfg.DisableLeases {
		n.electionDeadline = now.Add(cfg.HeartbeatInterval + time.Duration(cfg.Random(int64(cfg.ElectionTimeout/2))))
	} else {
		// The vote lease is not persisted. A lease granted just before the restart could
		// still be in force, so assume one was granted now.
		n.voteLeaseUntil = now.Add(cfg.ElectionTimeout)
	}
	firstStart := r.HardState == HardState{}
	if firstStart && len(n.log.configuration.Voters) == 1 && n.log.configuration.IsVoter(cfg.ID) {
		// This is the only voter and it has never granted a vote or a lease, so it need
		// not wait.
		n.electionDeadline = now
	}
	return n
}

// FreshUntil returns until when this replica's committed state counts as recent. That
// requires that it is the leader or has recently heard from the leader. Otherwise it
// returns the zero time.
func (n *Replica) FreshUntil(now time.Time) time.Time {
	switch {
	case n.role == RoleLeader:
		return now.Add(2 * n.cfg.ElectionTimeout)
	case n.leader != "":
		return n.voteLeaseUntil.Add(n.cfg.ElectionTimeout)
	}
	return time.Time{}
}

// LeaseUntil returns the end of the leader lease: until then no other replica can become
// leader. ClockMargin is already subtracted. It returns the zero time if this replica is
// not the leader or leases are not used. The lease holds because each voter that answers
// a heartbeat grants no other candidate its vote for ElectionTimeout.
func (n *Replica) LeaseUntil() time.Time {
	if n.role != RoleLeader || n.cfg.DisableLeases {
		return time.Time{}
	}
	return n.leaderLeaseUntil
}

// ConfirmedUntil returns the time that is ElectionTimeout, less ClockMargin, after the last round that a
// quorum has acknowledged to this leader was sent. Unlike LeaseUntil it promises nothing about votes: it
// only bounds how long a leader that has lost its quorum takes itself for one. It returns the zero time
// if this replica is not the leader.
func (n *Replica) ConfirmedUntil() time.Time {
	if n.role != RoleLeader {
		return time.Time{}
	}
	return n.leaderLeaseUntil
}

// Leader returns the current leader, or an empty ID if unknown.
func (n *Replica) Leader() ID { return n.leader }

// Role returns the replica's current role.
func (n *Replica) Role() Role { return n.role }

// Term returns the current term.
func (n *Replica) Term() uint64 { return n.hardState.Term }

// CommitIndex returns the index of the last committed entry.
func (n *Replica) CommitIndex() uint64 { return n.commitIndex }

// LastIndex returns the index of the last log entry.
func (n *Replica) LastIndex() uint64 { return n.log.last() }

// Configuration returns the newest configuration in the log, which may be uncommitted.
func (n *Replica) Configuration() Configuration { return n.log.configuration }

// ConfigurationIndex returns the index of the newest configuration in the log, or the last index that was
// compacted if that is higher. It differs after each change of the configuration.
func (n *Replica) ConfigurationIndex() uint64 { return n.log.configurationIndex }

// ConfigurationCommitted reports whether the newest configuration in the log is committed.
func (n *Replica) ConfigurationCommitted() bool { return n.log.configurationIndex <= n.commitIndex }

// NextTickAt returns the time of the next Tick that has work to do.
func (n *Replica) NextTickAt() time.Time {
	if n.role == RoleLeader && n.nextHeartbeatAt.Before(n.electionDeadline) {
		return n.nextHeartbeatAt
	}
	return n.electionDeadline
}

// Tick sends heartbeats, checks the quorum and starts elections when they are due.
func (n *Replica) Tick(now time.Time) {
	n.latestTime = now
	if n.role == RoleLeader && !now.Before(n.nextHeartbeatAt) {
		n.sendHeartbeats(now)
	}
	if now.Before(n.electionDeadline) {
		return
	}
	if n.role == RoleLeader {
		n.checkQuorum(now)
		return
	}
	n.resetElection(now)
	if n.canCampaign() {
		n.campaign(RolePreCandidate, now)
	}
}

// appendAsLeader appends an entry to the leader's log and sets its term and index.
func (n *Replica) appendAsLeader(e Entry) {
	e.Term = n.hardState.Term
	e.Index = n.log.last() + 1
	n.log.append(e)
}

// Propose appends commands to the log and returns the index of the first one.
func (n *Replica) Propose(commands [][]byte) (uint64, error) {
	if n.role != RoleLeader {
		return 0, &NotLeaderError{Leader: n.leader}
	}
	if uncommitted := int(n.log.last() - n.commitIndex); uncommitted+len(commands) > maxUncommittedEntries {
		return 0, &BusyError{Uncommitted: uncommitted}
	}
	first := n.log.last() + 1
	for _, data := range commands {
		n.appendAsLeader(Entry{Kind: EntryCommand, Data: data})
	}
	n.replicate()
	return first, nil
}

// Read requests a read barrier. A later Output contains the barrier once a quorum has
// confirmed that this replica is still the leader.
func (n *Replica) Read(token uint64, now time.Time) error {
	term, _ := n.log.term(n.commitIndex)
	if n.role != RoleLeader || term != n.hardState.Term {
		return &NotLeaderError{Leader: n.leader}
	}
	n.reads = append(n.reads, pendingRead{token: token, index: n.commitIndex, round: n.round + 1})
	n.sendHeartbeats(now)
	return nil
}

// send queues a message to be sent after the output's state has been persisted.
func (n *Replica) send(m Message) {
	m.From = n.cfg.ID
	n.out.Messages = append(n.out.Messages, m)
}

// TakeOutput returns the output accumulated since the last call and clears it.
func (n *Replica) TakeOutput() Output {
	out := n.out
	n.out = Output{}
	out.Entries = n.log.takeUnpersisted()
	if n.hardState != n.persistedHardState {
		hardState := n.hardState
		out.HardState = &hardState
		n.persistedHardState = hardState
	}
	if out.HardState != nil {
		// Messages that depend on the current term must not be sent before the term is
		// on disk.
		out.Messages = append(out.EarlyMessages, out.Messages...)
		out.EarlyMessages = nil
	}
	out.Committed = n.log.entriesBetween(n.deliveredIndex, n.commitIndex)
	n.deliveredIndex = max(n.deliveredIndex, n.commitIndex)
	return out
}

// MarkPersisted records that the entries up to an index are on disk. It does nothing if the
// entry at that index no longer has the given term.
func (n *Replica) MarkPersisted(index, term uint64) {
	currentTerm, found := n.log.term(index)
	if !found || currentTerm != term {
		return
	}
	n.log.persistedIndex = max(n.log.persistedIndex, index)
	if n.role == RoleLeader {
		n.commitByQuorum()
	}
}

// ConfigurationAt returns the configuration in force at an index, to be stored in a
// snapshot.
func (n *Replica) ConfigurationAt(index uint64) Configuration {
	return n.log.configurationUpTo(index)
}

// TermAt returns the term of an entry, and false if the log does not contain the entry.
func (n *Replica) TermAt(index uint64) (uint64, bool) {
	return n.log.term(index)
}

// RetainedEntries returns the log entries that have not been compacted.
func (n *Replica) RetainedEntries() []Entry {
	return n.log.entriesBetween(n.log.baseIndex, n.log.last())
}

// Retention bounds the entries that stay in memory although a snapshot covers them.
type Retention struct {
	Entries int
	// Bytes is the total length of their commands.
	Bytes int
}

// Compact drops the entries up to an index but for the newest of them, within the bounds of r. A saved
// snapshot must cover them.
func (n *Replica) Compact(upTo uint64, r Retention) {
	if upTo <= n.deliveredIndex {
		n.log.compact(n.log.retainedFrom(upTo, r))
	}
}
