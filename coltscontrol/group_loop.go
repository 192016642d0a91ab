package coltscontrol

// The membership of a group that forms from seeds: an instance that is not a member asks to join, and
// the leader adds, promotes and removes members by the rules of coltsmembership.

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslink"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmembership"
	"coltsfootstall/coltsreplica"
	"coltsfootstall/coltswire/coltspb"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

const (
	// groupPeriod is how often the group's membership is checked. It is well under the time
	// within which a lost member must be replaced.
	groupPeriod = 200 * time.Millisecond
	// joinTimeout bounds one join request, and one membership change at the leader.
	joinTimeout = 500 * time.Millisecond
	// formTimeout is how long the leader of a group with too few voters rejects commands, so
	// that no route table is acknowledged on too few disks while the group forms.
	formTimeout = 6 * time.Second
)

// maintainGroup changes the group's membership while this instance leads, and asks to join while it is
// not a member or its state is stale, until ctx ends. It does neither while the disk refuses writes.
func (c *Control) maintainGroup(ctx context.Context) {
	j := joiner{c: c, clients: map[netip.AddrPort]coltspbconnect.ControlClient{}}
	ticker := time.NewTicker(groupPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		switch v := c.driver.view.Load(); {
		case v.diskFailed:
			// Neither can succeed.
		case v.isLeader:
			c.reconcileGroup(ctx)
		case !slices.Contains(v.configuration.Members(), c.replicaID) || !c.stateFresh():
			j.requestJoin(ctx)
		}
	}
}

// reconcileGroup proposes the next membership change, if one is due.
func (c *Control) reconcileGroup(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	// The driver may still call the function after ctx has ended.
	var proposed atomic.Pointer[coltsmembership.Change]
	err := c.driver.changeGroup(ctx, func(replica *coltsreplica.Replica) error {
		group := coltsmembership.Group{Self: c.replicaID, Voters: c.requiredVoters()}
		change := group.NextChange(c.groupMembers(replica), c.cfg.Now())
		proposed.Store(&change)
		switch change.Step {
		case coltsmembership.StepPromote:
			return replica.Promote(change.Member)
		case coltsmembership.StepRemove:
			return replica.Remove(change.Member)
		}
		return nil
	})
	change := proposed.Load()
	if change == nil || change.Step == coltsmembership.StepNone {
		return
	}
	fields := coltslog.Fields{"member": change.Member, "reason": change.Reason, "voters-wanted": c.requiredVoters()}
	if err != nil {
		fields["error"] = err
		c.log.Debug("A membership change failed and will be retried.", fields)
		return
	}
	if change.Step == coltsmembership.StepPromote {
		c.log.Info("A member is being promoted to voter.", fields)
		return
	}
	c.log.Warn("A member is being removed from the group.", fields)
}

func (c *Control) requiredVoters() int {
	return coltsmembership.RequiredVoters(c.settings.ToleratedLosses)
}

// groupMembers returns the group's members with their replication progress, as this leader knows them.
func (c *Control) groupMembers(replica *coltsreplica.Replica) []coltsmembership.GroupMember {
	configuration, self, now := replica.Configuration(), c.replicaID, c.cfg.Now()
	var members []coltsmembership.GroupMember
	for _, p := range replica.Followers() {
		members = append(members, coltsmembership.GroupMember{
			ID:       p.ID,
			Voter:    configuration.IsVoter(p.ID),
			CaughtUp: p.MatchIndex >= replica.CommitIndex(),
			HeardAt:  p.LastReplyAt,
			Leaving:  c.leavers.contains(p.ID, now),
		})
	}
	return append(members, coltsmembership.GroupMember{
		ID: self, Voter: configuration.IsVoter(self), CaughtUp: true, Leaving: c.leavers.contains(self, now),
	})
}

// joiner sends requests to join the group to the known instances in turn.
type joiner struct {
	c       *Control
	clients map[netip.AddrPort]coltspbconnect.ControlClient
	// attempts counts the requests and selects the next address.
	attempts int
}

func (j *joiner) requestJoin(ctx context.Context) {
	addrs := j.addrs()
	if len(addrs) == 0 {
		return
	}
	addr := addrs[j.attempts%len(addrs)]
	j.attempts++
	client, known := j.clients[addr]
	if !known {
		client = coltspbconnect.NewControlClient(coltslink.NewClient(coltslink.Config{}), coltslink.URL(addr))
		j.clients[addr] = client
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	_, err := client.Join(ctx, &coltspb.JoinRequest{Member: string(j.c.replicaID)})
	if err != nil {
		j.c.log.Debug("A request to join the group failed.", coltslog.Fields{"asked": addr, "error": err})
	}
}

// addrs returns the addresses of the seeds and of the members in the log's configuration, without this
// instance's own.
func (j *joiner) addrs() []netip.AddrPort {
	addrs := j.c.seedAddrs()
	for _, id := range j.c.driver.view.Load().configuration.Members() {
		if addr, known := coltsmembership.AddrOf(id); known {
			addrs = append(addrs, addr)
		}
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	addrs = slices.Compact(addrs)
	return slices.DeleteFunc(addrs, func(a netip.AddrPort) bool { return a == j.c.settings.Addr })
}

// Join adds an instance to the group as a learner, without a vote. The leader promotes it once it has
// caught up.
func (s *controlServer) Join(ctx context.Context, r *coltspb.JoinRequest) (*coltspb.JoinReply, error) {
	leader, err := s.c.leaderClient(r.GetForwarded())
	if err != nil {
		return nil, err
	}
	if leader != nil {
		r.Forwarded = true
		return leader.Join(ctx, r)
	}
	member := coltsidentity.Instance(r.GetMember())
	joined := false
	err = s.c.driver.changeGroup(ctx, func(replica *coltsreplica.Replica) error {
		if slices.Contains(replica.Configuration().Members(), member) {
			return nil
		}
		joined = true
		return replica.AddLearner(member)
	})
	if err != nil {
		return nil, unavailable(err)
	}
	if joined {
		s.c.log.Info("An instance joins the group.", coltslog.Fields{"member": member})
	}
	return &coltspb.JoinReply{}, nil
}
