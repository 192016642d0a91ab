package coltsreplica

// What a message does to a replica: first the rules on terms, then one function
// for each kind of message.

import "time"

// Step takes in a message.
func (n *Replica) Step(m Message, now time.Time) {
	n.clock = now
	if m.Term > n.hard.Term && !n.takeHigherTerm(m, now) {
		return
	}
	if m.Term < n.hard.Term {
		n.answerLowerTerm(m)
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

// takeHigherTerm moves to a message's term and says whether to go on with it.
func (n *Replica) takeHigherTerm(m Message, now time.Time) bool {
	switch m.Kind {
	case MessagePreVote:
		n.answerPreVote(m, now)
		return false
	case MessagePreVoteReply:
		// A grant names the term that the campaign would have; it is looked at
		// without moving to it. A refusal names the refuser's own term.
		if !m.Reject {
			n.stepVoteReply(m, now)
			return false
		}
	case MessageVote:
		if now.Before(n.leaseUntil) {
			// A leader was heard a moment ago; who has lost it alone must not
			// disturb the others.
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

// answerLowerTerm tells a sender that is behind of the current term.
func (n *Replica) answerLowerTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.send(Message{Kind: MessageAppendReply, To: m.From, Term: n.hard.Term, Reject: true, Hint: n.log.last()})
	case MessagePreVote:
		n.send(Message{Kind: MessagePreVoteReply, To: m.From, Term: n.hard.Term, Reject: true})
	}
}

// answerPreVote says whether a vote would be given in a later term.
func (n *Replica) answerPreVote(m Message, now time.Time) {
	granted := !now.Before(n.leaseUntil) && n.role != RoleLeader && n.isUpToDate(m)
	reply := Message{Kind: MessagePreVoteReply, To: m.From, Term: m.Term, Reject: !granted}
	if !granted {
		reply.Term = n.hard.Term
	}
	n.send(reply)
}

// isUpToDate says whether a candidate's log holds all that this one may have
// helped to commit.
func (n *Replica) isUpToDate(m Message) bool {
	if m.LogTerm != n.log.lastTerm() {
		return m.LogTerm > n.log.lastTerm()
	}
	return m.Index >= n.log.last()
}

func (n *Replica) stepVote(m Message, now time.Time) {
	if m.Kind == MessagePreVote {
		// Asked in the current term by one that is behind it.
		n.send(Message{Kind: MessagePreVoteReply, To: m.From, Term: n.hard.Term, Reject: true})
		return
	}
	free := n.hard.Vote == "" || n.hard.Vote == m.From
	granted := free && n.leader == "" && n.isUpToDate(m)
	if granted {
		n.hard.Vote = m.From
		n.resetElection(now)
	}
	n.send(Message{Kind: MessageVoteReply, To: m.From, Term: n.hard.Term, Reject: !granted})
}

func (n *Replica) stepVoteReply(m Message, now time.Time) {
	wanted := RoleCandidate
	if m.Kind == MessagePreVoteReply {
		wanted = RolePreCandidate
	}
	if n.role != wanted {
		return
	}
	if m.Kind == MessagePreVoteReply && !m.Reject && m.Term != n.hard.Term+1 {
		return
	}
	if _, known := n.votes[m.From]; known {
		return
	}
	n.votes[m.From] = !m.Reject
	n.advance(now)
}

// hear takes in a sign of life of the term's leader.
func (n *Replica) hear(m Message, now time.Time) {
	if n.role != RoleFollower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From, now)
	}
	n.resetElection(now)
	n.leaseUntil = now.Add(n.cfg.ElectionTimeout)
}

func (n *Replica) stepAppend(m Message, now time.Time) {
	n.hear(m, now)
	reply := Message{Kind: MessageAppendReply, To: m.From, Term: n.hard.Term}
	if m.Index < n.commit {
		// What is committed matches by itself.
		reply.Index = n.commit
		n.send(reply)
		return
	}
	term, known := n.log.term(m.Index)
	if !known || term != m.LogTerm {
		reply.Reject = true
		reply.Index = m.Index
		reply.Hint = n.lastCouldMatch(m)
		n.send(reply)
		return
	}
	n.log.merge(m.Entries)
	reply.Index = m.Index + uint64(len(m.Entries))
	n.commitUpTo(min(m.Commit, reply.Index))
	n.send(reply)
}

// lastCouldMatch returns the last index at which the logs could match, skipping
// all entries of terms after the leader's.
func (n *Replica) lastCouldMatch(m Message) uint64 {
	index := min(m.Index-1, n.log.last())
	for index > n.log.base {
		term, known := n.log.term(index)
		if known && term <= m.LogTerm {
			break
		}
		index--
	}
	return max(index, n.commit)
}

func (n *Replica) stepHeartbeat(m Message, now time.Time) {
	n.hear(m, now)
	n.commitUpTo(min(m.Commit, n.log.last()))
	n.send(Message{Kind: MessageHeartbeatReply, To: m.From, Term: n.hard.Term, Round: m.Round})
}

func (n *Replica) stepSnapshot(m Message, now time.Time) {
	n.hear(m, now)
	reply := Message{Kind: MessageAppendReply, To: m.From, Term: n.hard.Term, Index: n.commit}
	s := m.Snapshot
	term, known := n.log.term(s.Index)
	if known && term == s.Term {
		// The log holds all that the snapshot stands for, and may hold entries
		// after it that were acknowledged, so it is kept.
		n.commitUpTo(s.Index)
	}
	if s.Index <= n.commit {
		reply.Index = n.commit
		n.send(reply)
		return
	}
	n.log.install(s)
	n.commit = s.Index
	n.handedOut = s.Index
	n.out.InstallSnapshot = &s
	reply.Index = s.Index
	n.send(reply)
}

// commitUpTo raises the committed index.
func (n *Replica) commitUpTo(index uint64) {
	n.commit = max(n.commit, min(index, n.log.last()))
}
