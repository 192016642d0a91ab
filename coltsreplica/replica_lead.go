package coltsreplica

// What a leader does: bring every follower's log to its own, commit what a quorum
// has persisted, and confirm reads.

import (
	"fmt"
	"slices"
	"time"
)

// beat sends a heartbeat to every follower.
func (n *Replica) beat(now time.Time) {
	n.heartbeatAt = now.Add(n.cfg.HeartbeatInterval)
	n.round++
	n.beats = append(n.beats, sentBeat{round: n.round, sentAt: now})
	for id, f := range n.sorted() {
		n.send(Message{
			Kind:   MessageHeartbeat,
			To:     id,
			Term:   n.hard.Term,
			Commit: min(f.match, n.commit),
			Round:  n.round,
		})
		f.retrySnapshot()
	}
	n.confirmReads()
	n.replicate()
}

// sorted goes through the followers in the order of their names, so that the same
// inputs give the same outputs.
func (n *Replica) sorted() func(yield func(ID, *follower) bool) {
	ids := make([]ID, 0, len(n.followers))
	for id := range n.followers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return func(yield func(ID, *follower) bool) {
		for _, id := range ids {
			if !yield(id, n.followers[id]) {
				return
			}
		}
	}
}

// retrySnapshot gives a snapshot up that was not answered for long.
func (f *follower) retrySnapshot() {
	if f.snapshotAt == 0 {
		return
	}
	f.sentBeats++
	if f.sentBeats > snapshotRetry {
		f.snapshotAt = 0
		f.probing = true
		f.inFlight = 0
	}
}

// replicate sends every follower what it lacks.
func (n *Replica) replicate() {
	for id, f := range n.sorted() {
		for n.replicateTo(id, f, false) {
			continue
		}
	}
	n.commitByQuorum()
}

// replicateTo sends one append and says whether there is more to send. With ask,
// it sends one even if there are no entries, to learn where the follower is.
func (n *Replica) replicateTo(id ID, f *follower, ask bool) bool {
	limit := maxInFlight
	if f.probing {
		limit = 1
	}
	if f.snapshotAt > 0 || f.inFlight >= limit {
		return false
	}
	if f.next > n.log.last() && !ask {
		return false
	}
	before, known := n.log.term(f.next - 1)
	if !known {
		n.sendSnapshot(id, f)
		return false
	}
	entries := n.log.slice(f.next, maxEntriesPerMessage, maxBytesPerMessage)
	n.out.EarlyMessages = append(n.out.EarlyMessages, Message{
		Kind:    MessageAppend,
		From:    n.cfg.ID,
		To:      id,
		Term:    n.hard.Term,
		Index:   f.next - 1,
		LogTerm: before,
		Entries: entries,
		Commit:  n.commit,
	})
	f.inFlight++
	if !f.probing {
		f.next += uint64(len(entries))
	}
	return !f.probing && f.next <= n.log.last()
}

// sendSnapshot sends the state to a follower whose next entry is compacted away.
func (n *Replica) sendSnapshot(id ID, f *follower) {
	s := n.cfg.LoadSnapshot()
	if s.Index < n.log.base {
		// The driver has not saved it yet; the next heartbeat tries again.
		return
	}
	f.snapshotAt = s.Index
	f.sentBeats = 0
	n.send(Message{Kind: MessageSnapshot, To: id, Term: n.hard.Term, Snapshot: s})
}

func (n *Replica) stepAppendReply(m Message) {
	f, known := n.followers[m.From]
	if n.role != RoleLeader || !known {
		return
	}
	f.heard = true
	f.heardAt = n.clock
	f.inFlight = max(0, f.inFlight-1)
	if m.Reject {
		n.takeReject(f, m)
	} else {
		n.takeMatch(f, m.Index)
	}
	n.replicate()
}

// takeReject goes back to where the logs could match.
func (n *Replica) takeReject(f *follower, m Message) {
	if m.Index <= f.match && m.Index != 0 {
		// An old refusal; the logs are known to match beyond it.
		return
	}
	f.probing = true
	f.inFlight = 0
	f.next = max(f.match, min(m.Hint, n.log.last())) + 1
}

// takeMatch takes in up to where a follower's log matches.
func (n *Replica) takeMatch(f *follower, index uint64) {
	if index >= f.snapshotAt {
		f.snapshotAt = 0
	}
	f.match = max(f.match, index)
	f.next = max(f.next, f.match+1)
	if f.probing {
		f.probing = false
		f.inFlight = 0
		f.next = f.match + 1
	}
}

func (n *Replica) stepHeartbeatReply(m Message) {
	f, known := n.followers[m.From]
	if n.role != RoleLeader || !known {
		return
	}
	f.heard = true
	f.heardAt = n.clock
	f.round = max(f.round, m.Round)
	// Appends that were lost leave no other trace than this.
	f.inFlight = 0
	if f.match < n.log.last() {
		n.replicateTo(m.From, f, true)
	}
	n.confirmReads()
}

// commitByQuorum commits the last entry of the own term that a quorum of voters
// has persisted.
func (n *Replica) commitByQuorum() {
	voters := n.log.configuration.Voters
	if len(voters) == 0 {
		return
	}
	matches := make([]uint64, 0, len(voters))
	for _, id := range voters {
		switch f, known := n.followers[id]; {
		case id == n.cfg.ID:
			matches = append(matches, n.log.persisted)
		case known:
			matches = append(matches, f.match)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-n.log.configuration.quorum()]
	term, _ := n.log.term(index)
	if index > n.commit && term == n.hard.Term {
		n.commit = index
		n.afterCommit()
	}
}

// afterCommit steps down if a committed configuration leaves this replica out.
func (n *Replica) afterCommit() {
	if n.commit < n.log.configurationAt || n.log.configuration.IsVoter(n.cfg.ID) {
		return
	}
	n.role = RoleFollower
	n.leader = ""
	n.failReads()
}

// confirmReads hands out the reads whose round a quorum has answered.
func (n *Replica) confirmReads() {
	rounds := make([]uint64, 0, len(n.log.configuration.Voters))
	for _, id := range n.log.configuration.Voters {
		switch f, known := n.followers[id]; {
		case id == n.cfg.ID:
			rounds = append(rounds, n.round)
		case known:
			rounds = append(rounds, f.round)
		default:
			rounds = append(rounds, 0)
		}
	}
	if len(rounds) == 0 {
		return
	}
	slices.Sort(rounds)
	confirmed := rounds[len(rounds)-n.log.configuration.quorum()]
	n.extendLease(confirmed)
	kept := n.reads[:0]
	for _, r := range n.reads {
		if r.round <= confirmed {
			n.out.Reads = append(n.out.Reads, ReadBarrier{Token: r.token, Index: r.index})
			continue
		}
		kept = append(kept, r)
	}
	n.reads = kept
}

// extendLease takes in that a quorum has answered a round.
func (n *Replica) extendLease(confirmed uint64) {
	for len(n.beats) > 0 && n.beats[0].round <= confirmed {
		n.leadUntil = n.beats[0].sentAt.Add(n.cfg.ElectionTimeout - n.cfg.ClockMargin)
		n.beats = n.beats[1:]
	}
}

// failReads hands out all reads as failed.
func (n *Replica) failReads() {
	for _, r := range n.reads {
		n.out.Reads = append(n.out.Reads, ReadBarrier{Token: r.token, Failed: true})
	}
	n.reads = nil
}

// ChangeError reports a change of the configuration that can't be made now.
type ChangeError struct {
	Member ID
	Reason string
}

// Error names the member and the reason.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("configuration of %s can't change: %s", e.Member, e.Reason)
}

// AddLearner adds a member that gets the log and has no vote.
func (n *Replica) AddLearner(id ID) error {
	c := n.log.configuration
	if slices.Contains(c.Members(), id) {
		return &ChangeError{Member: id, Reason: "it is a member"}
	}
	return n.changeConfiguration(id, Configuration{
		Voters:   slices.Clone(c.Voters),
		Learners: append(slices.Clone(c.Learners), id),
	})
}

// Promote gives a learner a vote that has caught up.
func (n *Replica) Promote(id ID) error {
	c := n.log.configuration
	if !slices.Contains(c.Learners, id) {
		return &ChangeError{Member: id, Reason: "it is not a learner"}
	}
	if f, known := n.followers[id]; known && f.match < n.commit {
		return &ChangeError{Member: id, Reason: "it has not caught up"}
	}
	return n.changeConfiguration(id, Configuration{
		Voters:   append(slices.Clone(c.Voters), id),
		Learners: without(c.Learners, id),
	})
}

// Remove removes a member.
func (n *Replica) Remove(id ID) error {
	c := n.log.configuration
	if !slices.Contains(c.Members(), id) {
		return &ChangeError{Member: id, Reason: "it is not a member"}
	}
	if len(c.Voters) == 1 && c.IsVoter(id) {
		return &ChangeError{Member: id, Reason: "it is the only voter"}
	}
	return n.changeConfiguration(id, Configuration{Voters: without(c.Voters, id), Learners: without(c.Learners, id)})
}

func without(ids []ID, id ID) []ID {
	return slices.DeleteFunc(slices.Clone(ids), func(other ID) bool { return other == id })
}

// changeConfiguration appends a configuration that differs by one member. Only one
// may be uncommitted, and the leader must have committed an entry of its own term,
// or two majorities could be disjoint.
func (n *Replica) changeConfiguration(id ID, c Configuration) error {
	if n.role != RoleLeader {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.log.configurationAt > n.commit {
		return &ChangeError{Member: id, Reason: "another change is not committed yet"}
	}
	if term, _ := n.log.term(n.commit); term != n.hard.Term {
		return &ChangeError{Member: id, Reason: "the leader's term has just begun"}
	}
	n.appendOwn(Entry{Kind: EntryConfiguration, Configuration: c})
	n.syncFollowers()
	n.replicate()
	return nil
}
