package coltsreplica

// Processing of incoming messages: first the rules on terms, then one function for each
// kind of message.

import "time"

// Step processes a message.
func (n *Replica) Step(m Message, now time.Time) {
	n.latestTime = now
	if m.Term > n.hardState.Term && !n.handleHigherTerm(m, now) {
		return
	}
	if m.Term < n.hardState.Term {
		n.replyToLowerTerm(m)
		return
	}
	switch m.Kind {
	case MessagePreVote, MessageVote:
		n.stepVote(m, now)
	case MessagePreVoteReply, MessageVoteReply:
		n.stepVoteReply(m, now)
	case MessageAppend:
		n.stepAppend(m, now)
	case MessageAppendReply:
		n.stepAppendReply(m)
	case MessageHeartbeat:
		n.stepHeartbeat(m, now)
	case MessageHeartbeatReply:
		n.stepHeartbeatReply(m)
	case MessageSnapshot:
		n.stepSnapshot(m, now)
	}
}

// handleHigherTerm handles a message whose term is higher than the current one, usually
// by moving to that term. It reports whether to continue processing the message.
func (n *Replica) handleHigherTerm(m Message, now time.Time) bool {
	switch m.Kind {
	case MessagePreVote:
		n.handlePreVote(m, now)
		return false
	case MessagePreVoteReply:
		// A granted pre-vote carries the term of the planned campaign. It is counted
		// without moving to that term. A rejected one carries the sender's own term.
		if !m.Reject {
			n.stepVoteReply(m, now)
			return false
		}
	case MessageVote:
		if now.Before(n.voteLeaseUntil) {
			// This voter has recently heard from a leader. A candidate that has merely
			// lost its own connection to the leader must not disrupt the group.
			return false
		}
	}
	leader := ID("")
	if m.Kind == MessageAppend || m.Kind == MessageHeartbeat || m.Kind == MessageSnapshot {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader, now)
	return true
}

// replyToLowerTerm tells a sender with a lower term about the current term.
func (n *Replica) replyToLowerTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.send(Message{
			Kind: MessageAppendReply, To: m.From, Term: n.hardState.Term, Reject: true, Hint: n.log.last(),
		})
	case MessagePreVote:
		n.send(Message{Kind: MessagePreVoteReply, To: m.From, Term: n.hardState.Term, Reject: true})
	}
}

// handlePreVote replies whether this replica would grant a vote in the later term.
func (n *Replica) handlePreVote(m Message, now time.Time) {
	granted := !now.Before(n.voteLeaseUntil) && n.role != RoleLeader && n.isUpToDate(m)
	reply := Message{Kind: MessagePreVoteReply, To: m.From, Term: m.Term, Reject: !granted}
	if !granted {
		reply.Term = n.hardState.Term
	}
	n.send(reply)
}

// isUpToDate reports whether a candidate's log is at least as up to date as this one, so
// that it contains every entry that this replica may have helped to commit.
func (n *Replica) isUpToDate(m Message) bool {
	if m.LogTerm != n.log.lastTerm() {
		return m.LogTerm > n.log.lastTerm()
	}
	return m.Index >= n.log.last()
}

func (n *Replica) stepVote(m Message, now time.Time) {
	if m.Kind == MessagePreVote {
		// A pre-vote request asks for the candidate's term plus one, so this candidate's
		// own term is behind.
		n.send(Message{Kind: MessagePreVoteReply, To: m.From, Term: n.hardState.Term, Reject: true})
		return
	}
	canVote := n.hardState.Vote == "" || n.hardState.Vote == m.From
	granted := canVote && n.leader == "" && n.isUpToDate(m)
	if granted {
		n.hardState.Vote = m.From
		n.resetElection(now)
	}
	n.send(Message{Kind: MessageVoteReply, To: m.From, Term: n.hardState.Term, Reject: !granted})
}

func (n *Replica) stepVoteReply(m Message, now time.Time) {
	expectedRole := RoleCandidate
	if m.Kind == MessagePreVoteReply {
		expectedRole = RolePreCandidate
	}
	if n.role != expectedRole {
		return
	}
	if m.Kind == MessagePreVoteReply && !m.Reject && m.Term != n.hardState.Term+1 {
		return
	}
	if _, known := n.votes[m.From]; known {
		return
	}
	n.votes[m.From] = !m.Reject
	n.tallyVotes(now)
}

// recordLeaderContact is called for each message from the leader of the term. It makes
// this replica follow that leader, resets the election timeout and renews the vote lease.
func (n *Replica) recordLeaderContact(m Message, now time.Time) {
	if n.role != RoleFollower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From, now)
	}
	n.resetElection(now)
	n.voteLeaseUntil = now.Add(n.cfg.ElectionTimeout)
}

func (n *Replica) stepAppend(m Message, now time.Time) {
	n.recordLeaderContact(m, now)
	reply := Message{Kind: MessageAppendReply, To: m.From, Term: n.hardState.Term}
	if m.Index < n.commitIndex {
		// Committed entries always match the leader's log.
		reply.Index = n.commitIndex
		n.send(reply)
		return
	}
	term, known := n.log.term(m.Index)
	if !known || term != m.LogTerm {
		reply.Reject = true
		reply.Index = m.Index
		reply.Hint = n.conflictHint(m)
		n.send(reply)
		return
	}
	n.log.merge(m.Entries)
	reply.Index = m.Index + uint64(len(m.Entries))
	n.commitUpTo(min(m.Commit, reply.Index))
	n.send(reply)
}

// conflictHint returns the last index at which the logs could match. It skips all
// entries of terms later than the leader's entry before the append.
func (n *Replica) conflictHint(m Message) uint64 {
	index := min(m.Index-1, n.log.last())
	for index > n.log.baseIndex {
		term, known := n.log.term(index)
		if known && term <= m.LogTerm {
			break
		}
		index--
	}
	return max(index, n.commitIndex)
}

func (n *Replica) stepHeartbeat(m Message, now time.Time) {
	n.recordLeaderContact(m, now)
	n.commitUpTo(min(m.Commit, n.log.last()))
	n.send(Message{Kind: MessageHeartbeatReply, To: m.From, Term: n.hardState.Term, Round: m.Round})
}

func (n *Replica) stepSnapshot(m Message, now time.Time) {
	n.recordLeaderContact(m, now)
	reply := Message{Kind: MessageAppendReply, To: m.From, Term: n.hardState.Term, Index: n.commitIndex}
	s := m.Snapshot
	term, known := n.log.term(s.Index)
	if known && term == s.Term {
		// The log already contains everything that the snapshot covers. It is kept,
		// because it may contain later entries that this replica has acknowledged.
		n.commitUpTo(s.Index)
	}
	if s.Index <= n.commitIndex {
		reply.Index = n.commitIndex
		n.send(reply)
		return
	}
	n.log.install(s)
	n.commitIndex = s.Index
	n.deliveredIndex = s.Index
	n.out.InstallSnapshot = &s
	reply.Index = s.Index
	n.send(reply)
}

// commitUpTo raises the commit index to index, but not beyond the end of the log.
func (n *Replica) commitUpTo(index uint64) {
	n.commitIndex = max(n.commitIndex, min(index, n.log.last()))
}
