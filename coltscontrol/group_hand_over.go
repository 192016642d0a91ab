package coltscontrol

// An instance that is stopped may not come back, and until the leader misses its vote the group
// tolerates one loss less than it should. So a stopping instance asks the leader to pass its vote to a
// member without one, if there is a spare one, and exits once that is committed.

import (
	"context"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmembership"
	"coltsfootstall/coltsreplica"
	"coltsfootstall/coltswire/coltspb"
)

const (
	// handOverTimeout bounds the wait of a stopping instance for the transfer of its vote.
	handOverTimeout = 2 * time.Second
	// handOverPeriod is how often the leader checks how far the transfer is.
	handOverPeriod = 20 * time.Millisecond
	// leavingTTL is how long a member counts as leaving after it has said so. An instance that only
	// restarts is back by then.
	leavingTTL = 3 * time.Second
)

// leavers holds the members that have said that they are stopping.
type leavers struct {
	mu    sync.Mutex
	until map[coltsidentity.Instance]time.Time
}

func (l *leavers) add(id coltsidentity.Instance, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until == nil {
		l.until = map[coltsidentity.Instance]time.Time{}
	}
	l.until[id] = until
}

// contains reports whether a member is stopping, and forgets it when that was too long ago.
func (l *leavers) contains(id coltsidentity.Instance, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	until, known := l.until[id]
	if known && !now.Before(until) {
		delete(l.until, id)
		return false
	}
	return known
}

// handOverVote asks the leader to pass this instance's vote on, and waits for that.
func (c *Control) handOverVote() {
	if !c.formsFromSeeds() || c.driver.view.Load().diskFailed {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	server := &controlServer{c: c}
	reply, err := server.HandOver(ctx, &coltspb.HandOverRequest{Member: string(c.replicaID)})
	fields := coltslog.Fields{"handed-over": reply.GetHandedOver(), "member": c.replicaID}
	if err != nil {
		fields["error"] = err
	}
	c.log.Info("Asked the leader to pass this instance's vote on.", fields)
}

// HandOver passes the vote of a member that is stopping to a spare member. It returns once that is
// committed, or at once if there is no spare member.
func (s *controlServer) HandOver(ctx context.Context, r *coltspb.HandOverRequest) (*coltspb.HandOverReply, error) {
	leader, err := s.c.leaderClient(r.GetForwarded())
	if err != nil {
		return nil, err
	}
	if leader != nil {
		r.Forwarded = true
		return leader.HandOver(ctx, r)
	}
	member := coltsidentity.Instance(r.GetMember())
	s.c.leavers.add(member, s.c.cfg.Now().Add(leavingTTL))
	ticker := time.NewTicker(handOverPeriod)
	defer ticker.Stop()
	for {
		state, err := s.c.handOverState(ctx, member)
		if err != nil {
			return nil, unavailable(err)
		}
		if state != handOverPending {
			return &coltspb.HandOverReply{HandedOver: state == handOverDone}, nil
		}
		s.c.reconcileGroup(ctx)
		select {
		case <-ctx.Done():
			return nil, unavailable(ctx.Err())
		case <-ticker.C:
		}
	}
}

// handOverState is how far the transfer of a vote is.
type handOverState int

const (
	handOverPending handOverState = iota
	handOverDone
	handOverImpossible
)

// handOverState returns how far the transfer of a member's vote is. A leader that passes its own vote
// on leads until that is committed.
func (c *Control) handOverState(ctx context.Context, member coltsidentity.Instance) (handOverState, error) {
	state := handOverPending
	err := c.driver.changeGroup(ctx, func(replica *coltsreplica.Replica) error {
		isVoter := replica.Configuration().IsVoter(member)
		if replica.Role() != coltsreplica.RoleLeader && (member != c.replicaID || isVoter) {
			return errLostLeadership
		}
		group := coltsmembership.Group{Self: c.replicaID, Voters: c.requiredVoters()}
		switch {
		case !isVoter && replica.ConfigurationCommitted():
			state = handOverDone
		case isVoter && !group.CanReplace(member, c.groupMembers(replica), c.cfg.Now()):
			state = handOverImpossible
		}
		return nil
	})
	return state, err
}
