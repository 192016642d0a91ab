package coltsreplica

// Elections: first a campaign without a new term, so that a replica that was cut off
// does not disturb the others when it is back; then one with it.

import (
	"slices"
	"time"
)

// resetElection sets the next election by chance.
func (n *Replica) resetElection(now time.Time) {
	jitter := time.Duration(n.cfg.Random(int64(n.cfg.ElectionTimeout)))
	n.electionAt = now.Add(n.cfg.ElectionTimeout + jitter)
}

// checkQuorum makes a leader step down that no quorum has answered, so that one
// that is cut off does not go on as if it led.
func (n *Replica) checkQuorum(now time.Time) {
	heard := 0
	for _, id := range n.log.configuration.Voters {
		f, known := n.followers[id]
		if id == n.cfg.ID || known && f.heard {
			heard++
		}
	}
	for _, f := range n.followers {
		f.heard = false
	}
	if heard < n.log.configuration.quorum() {
		n.becomeFollower(n.hard.Term, "", now)
		return
	}
	n.electionAt = now.Add(n.cfg.ElectionTimeout)
}

// becomeFollower follows a leader, or waits for one, in a term.
func (n *Replica) becomeFollower(term uint64, leader ID, now time.Time) {
	if term > n.hard.Term {
		n.hard = HardState{Term: term}
	}
	if n.role == RoleLeader {
		n.failReads()
	}
	n.role = RoleFollower
	n.leader = leader
	n.resetElection(now)
}

// mayCampaign says whether this replica may stand for election: as a voter, or as
// one that an uncommitted configuration leaves out. The latter may be the only one
// whose log is long enough to lead until that configuration is committed; it does
// not count its own vote.
func (n *Replica) mayCampaign() bool {
	if n.log.configuration.IsVoter(n.cfg.ID) {
		return true
	}
	uncommitted := n.log.configurationAt > n.commit
	return uncommitted && n.log.configurationUpTo(n.commit).IsVoter(n.cfg.ID)
}

// campaign asks for votes, first without a new term.
func (n *Replica) campaign(role Role, now time.Time) {
	n.role = role
	n.leader = ""
	n.votes = map[ID]bool{n.cfg.ID: true}
	kind, term := MessagePreVote, n.hard.Term+1
	if role == RoleCandidate {
		n.hard = HardState{Term: n.hard.Term + 1, Vote: n.cfg.ID}
		kind, term = MessageVote, n.hard.Term
		n.resetElection(now)
	}
	for _, id := range n.log.configuration.Voters {
		if id != n.cfg.ID {
			n.send(Message{Kind: kind, To: id, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm()})
		}
	}
	n.advance(now)
}

// advance goes to the campaign's next step if a quorum agrees, or ends it if a
// quorum refuses.
func (n *Replica) advance(now time.Time) {
	granted, refused := 0, 0
	for _, id := range n.log.configuration.Voters {
		vote, known := n.votes[id]
		switch {
		case known && vote:
			granted++
		case known:
			refused++
		}
	}
	quorum := n.log.configuration.quorum()
	switch {
	case granted >= quorum && n.role == RolePreCandidate:
		n.campaign(RoleCandidate, now)
	case granted >= quorum && n.role == RoleCandidate:
		n.becomeLeader(now)
	case refused >= quorum:
		n.becomeFollower(n.hard.Term, "", now)
	}
}

// becomeLeader begins a term's lead with a barrier, since only an entry of the
// own term commits those before it.
func (n *Replica) becomeLeader(now time.Time) {
	n.role = RoleLeader
	n.leader = n.cfg.ID
	n.followers = map[ID]*follower{}
	n.electionAt = now.Add(n.cfg.ElectionTimeout)
	n.reads = nil
	n.beats = nil
	n.leadUntil = time.Time{}
	n.appendOwn(Entry{Kind: EntryBarrier})
	n.syncFollowers()
	n.beat(now)
}

// syncFollowers keeps a record of each other member.
func (n *Replica) syncFollowers() {
	members := n.log.configuration.Members()
	for _, id := range members {
		if _, known := n.followers[id]; !known && id != n.cfg.ID {
			n.followers[id] = &follower{next: n.log.last(), probing: true, heard: true, heardAt: n.clock}
		}
	}
	for id := range n.followers {
		if !slices.Contains(members, id) {
			delete(n.followers, id)
		}
	}
}
