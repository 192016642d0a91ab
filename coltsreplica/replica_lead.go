package coltsreplica

// The leader replicates its log to the followers, commits the entries that a quorum has
// persisted, and confirms reads.

import (
	"fmt"
	"slices"
	"time"
)

// sendHeartbeats starts a heartbeat round: it sends a heartbeat to every follower.
func (n *Replica) sendHeartbeats(now time.Time) {
	n.nextHeartbeatAt = now.Add(n.cfg.HeartbeatInterval)
	n.round++
	n.unackedRounds = append(n.unackedRounds, heartbeatRound{round: n.round, sentAt: now})
	for id, f := range n.followersByID() {
		n.send(Message{
			Kind:   MessageHeartbeat,
			To:     id,
			Term:   n.hardState.Term,
			Commit: min(f.matchIndex, n.commitIndex),
			Round:  n.round,
		})
		f.expireSnapshot()
	}
	n.confirmReads()
	n.replicate()
}

// followersByID iterates over the followers sorted by ID, so that the same inputs
// produce the same outputs.
func (n *Replica) followersByID() func(yield func(ID, *follower) bool) {
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

// Progress is a follower's replication state as seen by the leader.
type Progress struct {
	ID ID
	// MatchIndex is the highest index up to which its log is known to match the leader's.
	MatchIndex uint64
	// LastReplyAt is when it last replied, or when the leader added it if it has not replied
	// yet.
	LastReplyAt time.Time
}

// Followers returns the progress of the other members, sorted by ID. It returns nil if
// this replica is not the leader.
func (n *Replica) Followers() []Progress {
	if n.role != RoleLeader {
		return nil
	}
	all := make([]Progress, 0, len(n.followers))
	for id, f := range n.followersByID() {
		all = append(all, Progress{ID: id, MatchIndex: f.matchIndex, LastReplyAt: f.lastReplyAt})
	}
	return all
}

// expireSnapshot gives up on a snapshot that has not been acknowledged after
// snapshotRetryHeartbeats, so that replication starts over.
func (f *follower) expireSnapshot() {
	if f.pendingSnapshot == 0 {
		return
	}
	f.heartbeatsSinceSnapshot++
	if f.heartbeatsSinceSnapshot > snapshotRetryHeartbeats {
		f.pendingSnapshot = 0
		f.probing = true
		f.inFlight = 0
	}
}

// replicate sends every follower the entries that it is missing.
func (n *Replica) replicate() {
	for id, f := range n.followersByID() {
		for n.replicateTo(id, f, false) {
			continue
		}
	}
	n.commitByQuorum()
}

// replicateTo sends one append message and reports whether there are more entries to
// send. If allowEmpty is true, it sends a message even without entries, to find out
// where the follower's log ends.
func (n *Replica) replicateTo(id ID, f *follower, allowEmpty bool) bool {
	limit := maxInFlightAppends
	if f.probing {
		limit = 1
	}
	if f.pendingSnapshot > 0 || f.inFlight >= limit {
		return false
	}
	if f.nextIndex > n.log.last() && !allowEmpty {
		return false
	}
	prevTerm, known := n.log.term(f.nextIndex - 1)
	if !known {
		n.sendSnapshot(id, f)
		return false
	}
	entries := n.log.slice(f.nextIndex, maxEntriesPerMessage, maxBytesPerMessage)
	n.out.EarlyMessages = append(n.out.EarlyMessages, Message{
		Kind:    MessageAppend,
		From:    n.cfg.ID,
		To:      id,
		Term:    n.hardState.Term,
		Index:   f.nextIndex - 1,
		LogTerm: prevTerm,
		Entries: entries,
		Commit:  n.commitIndex,
	})
	f.inFlight++
	if !f.probing {
		f.nextIndex += uint64(len(entries))
	}
	return !f.probing && f.nextIndex <= n.log.last()
}

// sendSnapshot sends a snapshot to a follower whose next entry has been compacted.
func (n *Replica) sendSnapshot(id ID, f *follower) {
	s := n.cfg.LoadSnapshot()
	if s.Index < n.log.baseIndex {
		// The driver has not saved the snapshot yet. The next heartbeat tries again.
		return
	}
	f.pendingSnapshot = s.Index
	f.heartbeatsSinceSnapshot = 0
	n.send(Message{Kind: MessageSnapshot, To: id, Term: n.hardState.Term, Snapshot: s})
}

func (n *Replica) stepAppendReply(m Message) {
	f, known := n.followers[m.From]
	if n.role != RoleLeader || !known {
		return
	}
	f.recentlyActive = true
	f.lastReplyAt = n.latestTime
	f.inFlight = max(0, f.inFlight-1)
	if m.Reject {
		n.handleReject(f, m)
	} else {
		n.advanceMatch(f, m.Index)
	}
	n.replicate()
}

// handleReject moves nextIndex back to where the logs could match.
func (n *Replica) handleReject(f *follower, m Message) {
	if m.Index <= f.matchIndex && m.Index != 0 {
		// This is an outdated reject: the logs are known to match beyond its index.
		return
	}
	f.probing = true
	f.inFlight = 0
	f.nextIndex = max(f.matchIndex, min(m.Hint, n.log.last())) + 1
}

// advanceMatch records that a follower's log matches up to an index.
func (n *Replica) advanceMatch(f *follower, index uint64) {
	if index >= f.pendingSnapshot {
		f.pendingSnapshot = 0
	}
	f.matchIndex = max(f.matchIndex, index)
	f.nextIndex = max(f.nextIndex, f.matchIndex+1)
	if f.probing {
		f.probing = false
		f.inFlight = 0
		f.nextIndex = f.matchIndex + 1
	}
}

func (n *Replica) stepHeartbeatReply(m Message) {
	f, known := n.followers[m.From]
	if n.role != RoleLeader || !known {
		return
	}
	f.recentlyActive = true
	f.lastReplyAt = n.latestTime
	f.ackedRound = max(f.ackedRound, m.Round)
	// A lost append gets no reply, so inFlight would never drop. Resetting it here lets
	// appends continue.
	f.inFlight = 0
	if f.matchIndex < n.log.last() {
		n.replicateTo(m.From, f, true)
	}
	n.confirmReads()
}

// commitByQuorum commits up to the highest index that a quorum of voters has persisted,
// if the entry there belongs to the current term.
func (n *Replica) commitByQuorum() {
	voters := n.log.configuration.Voters
	if len(voters) == 0 {
		return
	}
	matches := make([]uint64, 0, len(voters))
	for _, id := range voters {
		switch f, known := n.followers[id]; {
		case id == n.cfg.ID:
			matches = append(matches, n.log.persistedIndex)
		case known:
			matches = append(matches, f.matchIndex)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-n.log.configuration.quorum()]
	term, _ := n.log.term(index)
	if index > n.commitIndex && term == n.hardState.Term {
		n.commitIndex = index
		n.stepDownIfRemoved()
	}
}

// stepDownIfRemoved makes the leader step down once a committed configuration no longer
// lists it as a voter.
func (n *Replica) stepDownIfRemoved() {
	if n.commitIndex < n.log.configurationIndex || n.log.configuration.IsVoter(n.cfg.ID) {
		return
	}
	n.role = RoleFollower
	n.leader = ""
	n.failReads()
}

// confirmReads completes the reads whose heartbeat round a quorum has acknowledged.
func (n *Replica) confirmReads() {
	rounds := make([]uint64, 0, len(n.log.configuration.Voters))
	for _, id := range n.log.configuration.Voters {
		switch f, known := n.followers[id]; {
		case id == n.cfg.ID:
			rounds = append(rounds, n.round)
		case known:
			rounds = append(rounds, f.ackedRound)
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
	remaining := n.reads[:0]
	for _, r := range n.reads {
		if r.round <= confirmed {
			n.out.Reads = append(n.out.Reads, ReadBarrier{Token: r.token, Index: r.index})
			continue
		}
		remaining = append(remaining, r)
	}
	n.reads = remaining
}

// extendLease extends the leader lease after a quorum has acknowledged a round. The
// lease counts from the time at which the round was sent.
func (n *Replica) extendLease(confirmed uint64) {
	for len(n.unackedRounds) > 0 && n.unackedRounds[0].round <= confirmed {
		n.leaderLeaseUntil = n.unackedRounds[0].sentAt.Add(n.cfg.ElectionTimeout - n.cfg.ClockMargin)
		n.unackedRounds = n.unackedRounds[1:]
	}
}

// failReads fails all pending reads.
func (n *Replica) failReads() {
	for _, r := range n.reads {
		n.out.Reads = append(n.out.Reads, ReadBarrier{Token: r.token, Failed: true})
	}
	n.reads = nil
}

// MembershipChangeError is returned for a configuration change that is currently not possible.
type MembershipChangeError struct {
	Member ID
	Reason string
}

// Error names the member and the reason.
func (e *MembershipChangeError) Error() string {
	return fmt.Sprintf("can't change the membership of %s: %s", e.Member, e.Reason)
}

// AddLearner adds a member that receives the log but has no vote.
func (n *Replica) AddLearner(id ID) error {
	c := n.log.configuration
	if slices.Contains(c.Members(), id) {
		return &MembershipChangeError{Member: id, Reason: "it is already a member"}
	}
	return n.changeConfiguration(id, Configuration{
		Voters:   slices.Clone(c.Voters),
		Learners: append(slices.Clone(c.Learners), id),
	})
}

// Promote makes a learner that has caught up a voter.
func (n *Replica) Promote(id ID) error {
	c := n.log.configuration
	if !slices.Contains(c.Learners, id) {
		return &MembershipChangeError{Member: id, Reason: "it is not a learner"}
	}
	if f, known := n.followers[id]; known && f.matchIndex < n.commitIndex {
		return &MembershipChangeError{Member: id, Reason: "its log has not caught up"}
	}
	return n.changeConfiguration(id, Configuration{
		Voters:   append(slices.Clone(c.Voters), id),
		Learners: removeID(c.Learners, id),
	})
}

// Remove removes a voter or learner.
func (n *Replica) Remove(id ID) error {
	c := n.log.configuration
	if !slices.Contains(c.Members(), id) {
		return &MembershipChangeError{Member: id, Reason: "it is not a member"}
	}
	if len(c.Voters) == 1 && c.IsVoter(id) {
		return &MembershipChangeError{Member: id, Reason: "it is the only voter"}
	}
	return n.changeConfiguration(id, Configuration{
		Voters:   removeID(c.Voters, id),
		Learners: removeID(c.Learners, id),
	})
}

func removeID(ids []ID, id ID) []ID {
	return slices.DeleteFunc(slices.Clone(ids), func(other ID) bool { return other == id })
}

// changeConfiguration appends a configuration that differs from the current one by one
// member. Only one configuration may be uncommitted at a time, and the leader must have
// committed an entry of its own term; otherwise two quorums could be disjoint.
func (n *Replica) changeConfiguration(id ID, c Configuration) error {
	if n.role != RoleLeader {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.log.configurationIndex > n.commitIndex {
		return &MembershipChangeError{Member: id, Reason: "another change is not committed yet"}
	}
	if term, _ := n.log.term(n.commitIndex); term != n.hardState.Term {
		return &MembershipChangeError{Member: id, Reason: "the leader has not committed an entry of its own term yet"}
	}
	n.appendAsLeader(Entry{Kind: EntryConfiguration, Configuration: c})
	n.syncFollowers()
	n.replicate()
	return nil
}
