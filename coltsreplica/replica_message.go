// Package coltsreplica is the agreement among control instances: election and
// replication of one log, as a deterministic step.
//
// A Replica takes messages, proposals and the time, and returns an Output: what
// to persist, what to send, what to apply. It sends nothing, waits for nothing
// and reads no clock, so that any schedule of failures can be replayed in a test.
// The algorithm is Raft with pre-vote, leases for voters, check of the quorum,
// learners, single changes of the configuration, and read barriers.
package coltsreplica

// Messages and entries are plain values. One message type with a kind keeps the
// step a single function over what can arrive.

import (
	"slices"

	"coltsfootstall/coltsidentity"
)

// ID names a replica.
type ID = coltsidentity.Instance

// EntryKind says what an entry holds.
type EntryKind int

// The kinds of entry.
const (
	// EntryCommand holds a command of the state machine.
	EntryCommand EntryKind = iota
	// EntryBarrier holds nothing; a leader begins its term with one.
	EntryBarrier
	// EntryConfiguration holds a configuration.
	EntryConfiguration
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
	// Configuration is set in an entry of that kind.
	Configuration Configuration
}

// Configuration says who takes part. Learners get the log and have no vote.
type Configuration struct {
	Voters   []ID
	Learners []ID
}

// IsVoter says whether a replica has a vote.
func (c Configuration) IsVoter(id ID) bool {
	return slices.Contains(c.Voters, id)
}

// Members returns voters and learners.
func (c Configuration) Members() []ID {
	return append(slices.Clone(c.Voters), c.Learners...)
}

// quorum is the number of voters that decide.
func (c Configuration) quorum() int {
	return len(c.Voters)/2 + 1
}

// HardState is what a replica must not forget.
type HardState struct {
	Term uint64
	// Vote is whom it voted for in the term; empty for nobody.
	Vote ID
}

// Snapshot stands for the log up to an index.
type Snapshot struct {
	Index         uint64
	Term          uint64
	Configuration Configuration
	Data          []byte
}

// MessageKind says what a message is.
type MessageKind int

// The kinds of message.
const (
	// MessagePreVote asks whether a vote would be given; it changes no state.
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageHeartbeat
	MessageHeartbeatReply
	MessageSnapshot
)

// Message is what replicas send each other.
type Message struct {
	Kind MessageKind
	From ID
	To   ID
	Term uint64
	// Index and LogTerm are of the last entry (votes) or of the entry before
	// Entries (append), or the index up to which logs match (append reply).
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	// Reject refuses; Hint is then the refuser's last index that could match.
	Reject bool
	Hint   uint64
	// Round numbers heartbeats, for read barriers.
	Round    uint64
	Snapshot Snapshot
}

// Output is what a step asks for, in this order: persist Snapshot, HardState and
// Entries, and call Persisted; send Messages; apply Install and then Committed;
// answer Reads. Early messages may be sent before anything is persisted.
type Output struct {
	EarlyMessages     []Message
	HardState *HardState
	Entries   []Entry
	// InstallSnapshot is a snapshot that takes the place of log and state.
	InstallSnapshot   *Snapshot
	Messages  []Message
	Committed []Entry
	// Reads are the read barriers that are confirmed.
	Reads []ReadBarrier
}

// Empty says whether there is nothing to do.
func (o Output) Empty() bool {
	return len(o.EarlyMessages) == 0 && o.HardState == nil && len(o.Entries) == 0 && o.InstallSnapshot == nil &&
		len(o.Messages) == 0 && len(o.Committed) == 0 && len(o.Reads) == 0
}

// ReadBarrier is a confirmed read: what is applied up to Index is fresh. Failed
// says that the replica is no longer leader.
type ReadBarrier struct {
	Token  uint64
	Index  uint64
	Failed bool
}
