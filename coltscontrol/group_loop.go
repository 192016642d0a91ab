package coltscontrol

// A group that forms itself: an instance that has no place asks for one, and the
// leader takes in and puts out members by the rules of coltsmembership.

import (
	"context"
	"net/netip"
	"slices"
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
	// groupPeriod is how often the group is looked after: well under the time in
	// which a lost member must be made up for.
	groupPeriod = 200 * time.Millisecond
	// joinTimeout bounds one request for a place.
	joinTimeout = 500 * time.Millisecond
	// formTimeout is how long a leader of a group that is short of voters takes no
	// route table, so that none is acknowledged on too few disks while it forms.
	formTimeout = 6 * time.Second
)

// keepGroup looks after the group until ctx ends.
func (c *Control) keepGroup(ctx context.Context) {
	joiner := joiner{c: c, clients: map[netip.AddrPort]coltspbconnect.ControlClient{}}
	ticker := time.NewTicker(groupPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		switch v := c.driver.view.Load(); {
		case v.broken:
			return
		case v.leads:
			c.mendGroup(ctx)
		case !slices.Contains(v.configuration.Members(), c.replicaID) || !c.inTouch():
			joiner.ask(ctx)
		}
	}
}

// mendGroup makes the next change of the group that is due.
func (c *Control) mendGroup(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var change coltsmembership.Change
	err := c.driver.change(ctx, func(n *coltsreplica.Replica) error {
		group := coltsmembership.Group{Self: c.replicaID, Voters: c.wantedVoters()}
		change = group.Next(standings(n, c.replicaID), c.cfg.Now())
		switch change.Step {
		case coltsmembership.StepPromote:
			return n.Promote(change.Member)
		case coltsmembership.StepRemove:
			return n.Remove(change.Member)
		}
		return nil
	})
	if change.Step == coltsmembership.StepNone {
		return
	}
	fields := coltslog.Fields{"member": change.Member, "reason": change.Reason, "voters-wanted": c.wantedVoters()}
	if err != nil {
		fields["error"] = err
		c.log.Debug("A change of the group has to wait.", fields)
		return
	}
	if change.Step == coltsmembership.StepPromote {
		c.log.Info("A member gets a vote.", fields)
		return
	}
	c.log.Warn("A member is put out.", fields)
}

func (c *Control) wantedVoters() int {
	return coltsmembership.RequiredVoters(c.settings.ToleratedLosses)
}

// standings is the group as the leader sees it.
func standings(n *coltsreplica.Replica, self coltsidentity.Instance) []coltsmembership.Standing {
	configuration := n.Configuration()
	var members []coltsmembership.Standing
	for _, p := range n.Followers() {
		members = append(members, coltsmembership.Standing{
			ID:       p.ID,
			Voter:    configuration.IsVoter(p.ID),
			CaughtUp: p.Match >= n.Commit(),
			HeardAt:  p.HeardAt,
		})
	}
	return append(members, coltsmembership.Standing{ID: self, Voter: configuration.IsVoter(self), CaughtUp: true})
}

// joiner asks the instances that it knows, one after another, for a place.
type joiner struct {
	c       *Control
	clients map[netip.AddrPort]coltspbconnect.ControlClient
	asked   int
}

func (j *joiner) ask(ctx context.Context) {
	addrs := j.addrs()
	if len(addrs) == 0 {
		return
	}
	addr := addrs[j.asked%len(addrs)]
	j.asked++
	client, known := j.clients[addr]
	if !known {
		client = coltspbconnect.NewControlClient(coltslink.NewClient(coltslink.Config{}), coltslink.URL(addr))
		j.clients[addr] = client
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	_, err := client.Join(ctx, &coltspb.JoinRequest{Member: string(j.c.replicaID)})
	if err != nil {
		j.c.log.Debug("No place in the group yet.", coltslog.Fields{"asked": addr, "error": err})
	}
}

// addrs returns the seeds and the members that the log names, without this instance.
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

// Join takes an instance in without a vote, which it gets once it has caught up.
func (s *controlServer) Join(ctx context.Context, r *coltspb.JoinRequest) (*coltspb.JoinReply, error) {
	leader, err := s.c.leaderOf(r.GetForwarded())
	if err != nil {
		return nil, err
	}
	if leader != nil {
		r.Forwarded = true
		return leader.Join(ctx, r)
	}
	member := coltsidentity.Instance(r.GetMember())
	joined := false
	err = s.c.driver.change(ctx, func(n *coltsreplica.Replica) error {
		if slices.Contains(n.Configuration().Members(), member) {
			return nil
		}
		joined = true
		return n.AddLearner(member)
	})
	if err != nil {
		return nil, unavailable(err)
	}
	if joined {
		s.c.log.Info("An instance joins.", coltslog.Fields{"member": member})
	}
	return &coltspb.JoinReply{}, nil
}
