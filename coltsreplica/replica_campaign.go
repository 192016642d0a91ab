package coltsreplica

// Elections have two phases. A pre-vote asks for votes without increasing the term, so
// that a replica that was partitioned does not disrupt the group when it reconnects. If
// a quorum agrees, the actual vote follows in a new term.

import (
	"slices"
	"time"
)

// resetElection sets a new randomized election deadline.
func (n *Replica) resetElection(now time.Time) {
	jitter := time.Duration(n.cfg.Random(int64(n.cfg.ElectionTimeout)))
	n.electionDeadline = now.Add(n.cfg.ElectionTimeout + jitter)
}

// checkQuorum makes the leader step down if it has had no reply from a quorum since the
// last check, so that a partitioned leader does not continue to act as leader.
func (n *Replica) checkQuorum(now time.Time) {
	activeVoters := 0
	for _, id := range n.log.configuration.Voters {
		f, known := n.followers[id]
		if id == n.cfg.ID || known && f.recentlyActive {
			activeVoters++
		}
	}
	for _, f := range n.followers {
		f.recentlyActive = false
	}
	if activeVoters < n.log.configuration.quorum() {
		n.becomeFollower(n.hardState.Term, "", now)
		return
	}
	n.electionDeadline = now.Add(n.cfg.ElectionTimeout)
}

// StepDown makes this replica a follower that knows no leader, after its driver could not process its
// outputs for a while.
func (n *Replica) StepDown(now time.Time) {
	n.latestTime = now
	n.becomeFollower(n.hardState.Term, "", now)
}

// becomeFollower makes this replica a follower in a term. An empty leader means that the
// leader is not known yet.
func (n *Replica) becomeFollower(term uint64, leader ID, now time.Time) {
	if term > n.hardState.Term {
		n.hardState = HardState{Term: term}
	}
	if n.role == RoleLeader {
		n.failReads()
	}
	n.role = RoleFollower
	n.leader = leader
	n.resetElection(now)
}

// canCampaign reports whether this replica may be a candidate. It may if it is a voter,
// or if the configuration that removes it as a voter is uncommitted. In the latter case
// it may be the only replica whose log is complete enough to lead until that
// configuration is committed; it does not count its own vote.
func (n *Replica) canCampaign() bool {
	if n.log.configuration.IsVoter(n.cfg.ID) {
		return true
	}
	uncommitted := n.log.configurationIndex > n.commitIndex
	return uncommitted && n.log.configurationUpTo(n.commitIndex).IsVoter(n.cfg.ID)
}

// campaign requests votes from the other voters: pre-votes without a new term, or votes
// in a new term if role is RoleCandidate.
func (n *Replica) campaign(role Role, now time.Time) {
	n.role = role
	n.leader = ""
	n.votes = map[ID]bool{n.cfg.ID: true}
	kind, term := MessagePreVote, n.hardState.Term+1
	if role == RoleCandidate {
		n.hardState = HardState{Term: n.hardState.Term + 1, Vote: n.cfg.ID}
		kind, term = MessageVote, n.hardState.Term
		n.resetElection(now)
	}
	for _, id := range n.log.configuration.Voters {
		if id != n.cfg.ID {
			n.send(Message{Kind: kind, To: id, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm()})
		}
	}
	n.tallyVotes(now)
}

// tallyVotes counts the votes. It moves on to the next phase if a quorum granted them,
// and ends the campaign if a quorum rejected it.
func (n *Replica) tallyVotes(now time.Time) {
	granted, rejected := 0, 0
	for _, id := range n.log.configuration.Voters {
		vote, known := n.votes[id]
		switch {
		case known && vote:
			granted++
		case known:
			rejected++
		}
	}
	quorum := n.log.configuration.quorum()
	switch {
	case granted >= quorum && n.role == RolePreCandidate:
		n.campaign(RoleCandidate, now)
	case granted >= quorum && n.role == RoleCandidate:
		n.becomeLeader(now)
	case rejected >= quorum:
		n.becomeFollower(n.hardState.Term, "", now)
	}
}

// becomeLeader makes this replica the leader. It appends a no-op entry first, because
// entries of earlier terms only become committed together with an entry of the leader's
// own term.
func (n *Replica) becomeLeader(now time.Time) {
	n.role = RoleLeader
	n.leader = n.cfg.ID
	n.followers = map[ID]*follower{}
	n.electionDeadline = now.Add(n.cfg.ElectionTimeout)
	n.reads = nil
	n.unackedRounds = nil
	n.leaderLeaseUntil = time.Time{}
	n.appendAsLeader(Entry{Kind: EntryNoOp})
	n.syncFollowers()
	n.sendHeartbeats(now)
}

// syncFollowers updates n.followers to hold every other member of the configuration.
func (n *Replica) syncFollowers() {
	members := n.log.configuration.Members()
	for _, id := range members {
		if _, known := n.followers[id]; !known && id != n.cfg.ID {
			n.followers[id] = &follower{
				nextIndex: n.log.last(), probing: true, recentlyActive: true, lastReplyAt: n.latestTime,
			}
		}
	}
	for id := range n.followers {
		if !slices.Contains(members, id) {
			delete(n.followers, id)
		}
	}
}
