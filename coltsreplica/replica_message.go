// Package coltsreplica implements consensus among the control instances: leader election
// and replication of one log, as a deterministic state machine.
//
// A Replica takes messages, proposals and the current time, and returns an Output that
// lists what to persist, send and apply. It does no I/O, never blocks and reads no
// clock, so that tests can replay any sequence of failures. The algorithm is Raft with
// pre-vote, leader leases, quorum checks, learners, single-server configuration changes
// and read barriers.
package coltsreplica

// Messages and entries are plain values. All messages share one type with a kind, so
// that a single function can process any message.

import (
	"slices"

	"coltsfootstall/coltsidentity"
)

// ID identifies a replica.
type ID = coltsidentity.Instance

// EntryKind is the kind of a log entry.
type EntryKind int

// The kinds of log entries.
const (
	// EntryCommand contains a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryNoOp is a no-op. A leader appends one at the start of its term.
	EntryNoOp
	// EntryConfiguration contains a configuration.
	EntryConfiguration
)

// Entry is a log entry.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
	// Configuration is set if Kind is EntryConfiguration.
	Configuration Configuration
}

// Configuration lists the members of the group. Learners receive the log but have no
// vote.
type Configuration struct {
	Voters   []ID
	Learners []ID
}

// IsVoter reports whether a replica has a vote.
func (c Configuration) IsVoter(id ID) bool {
	return slices.Contains(c.Voters, id)
}

// Members returns the voters and learners.
func (c Configuration) Members() []ID {
	return append(slices.Clone(c.Voters), c.Learners...)
}

// quorum returns the number of voters that form a majority.
func (c Configuration) quorum() int {
	return len(c.Voters)/2 + 1
}

// HardState is the state that a replica must persist before it sends messages that
// depend on it.
type HardState struct {
	Term uint64
	// Vote is the replica it voted for in Term, or empty if it has not voted.
	Vote ID
}

// Snapshot replaces the log entries up to and including Index.
type Snapshot struct {
	Index         uint64
	Term          uint64
	Configuration Configuration
	Data          []byte
}

// MessageKind is the kind of a message.
type MessageKind int

// The kinds of messages.
const (
	// MessagePreVote asks whether the receiver would grant a vote. It changes no state.
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	// MessageVote asks for the receiver's vote in a new term.
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageHeartbeat
	MessageHeartbeatReply
	MessageSnapshot
)

// Message is a message from one replica to another.
type Message struct {
	Kind MessageKind
	From ID
	To   ID
	Term uint64
	// Index and LogTerm identify the sender's last entry in vote requests, and the entry
	// before Entries in an append. In an append reply, Index is the highest matching
	// index.
	Index   uint64
	LogTerm uint64
	Entries []Entry
	// Commit is the leader's commit index. In a heartbeat it is at most the index up to
	// which the receiver's log is known to match.
	Commit uint64
	// Reject is true in a negative reply. Hint is then the last index at which the
	// receiver's log could match the leader's.
	Reject bool
	Hint   uint64
	// Round is the heartbeat round, which read barriers and leases wait for.
	Round    uint64
	Snapshot Snapshot
}

// Output lists the work that the driver has to do, in this order: persist InstallSnapshot,
// HardState and Entries, then call MarkPersisted; send Messages; apply InstallSnapshot and
// then Committed; answer Reads. EarlyMessages may be sent before anything is persisted.
type Output struct {
	EarlyMessages []Message
	HardState     *HardState
	Entries       []Entry
	// InstallSnapshot is a snapshot that replaces the log and the state, or nil.
	InstallSnapshot *Snapshot
	Messages        []Message
	Committed       []Entry
	// Reads are the read barriers that were confirmed or have failed.
	Reads []ReadBarrier
}

// Empty reports whether there is nothing to do.
func (o Output) Empty() bool {
	return len(o.EarlyMessages) == 0 && o.HardState == nil && len(o.Entries) == 0 && o.InstallSnapshot == nil &&
		len(o.Messages) == 0 && len(o.Committed) == 0 && len(o.Reads) == 0
}

// ReadBarrier is the result of a Read. The read may be answered from the state once the
// entries up to Index are applied. Failed is true if the replica is no longer the leader.
type ReadBarrier struct {
	Token  uint64
	Index  uint64
	Failed bool
}
