package coltscontrol

// The methods that another front end for operators and upstreams calls, with typed arguments. The
// leader carries out each call, whichever instance receives it. After an error the outcome is
// unknown, except for an InvalidError; the caller tries again, at this instance or another.

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmembership"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltsweights"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
)

// leaderRetryDelay is the pause before a failed call to the leader is retried. It is shorter than an
// election.
const leaderRetryDelay = 150 * time.Millisecond

// FormingError reports that the group does not have enough voters yet to acknowledge commands safely.
type FormingError struct {
	Voters   int
	Required int
}

// Error returns a message with both numbers of voters.
func (e *FormingError) Error() string {
	return fmt.Sprintf("the group is forming: %d of %d voters", e.Voters, e.Required)
}

// PutRoutes commits a valid route table, which comes into force if its version is the highest. It
// returns an InvalidError for an invalid table.
func (c *Control) PutRoutes(ctx context.Context, t coltsroute.Table) error {
	if err := t.Validate(); err != nil {
		c.log.Info("A route table was refused.", coltslog.Fields{"version": t.Version, "reason": err})
		return err
	}
	members := t.CacheMembers()
	err := c.submitAtLeader(ctx, coltsstate.Command{
		Kind:   coltsstate.CommandRoutes,
		Routes: coltsroute.EncodedTable{Version: t.Version, Source: t.Source, CacheMembers: &members},
	})
	c.logOutcome("A route table was submitted.", coltslog.Fields{"version": t.Version, "routes": len(t.Routes)}, err)
	return err
}

// NameWeights commits the weights version that a model's runners are to load.
func (c *Control) NameWeights(ctx context.Context, w coltsweights.Weights) error {
	err := c.submitAtLeader(ctx, coltsstate.Command{
		Kind:    coltsstate.CommandWeights,
		Weights: coltsweights.NamedVersion{Weights: w},
	})
	c.logOutcome("A weight version was named.", coltslog.Fields{"model": w.Model, "number": w.Number}, err)
	return err
}

func (c *Control) logOutcome(message string, fields coltslog.Fields, err error) {
	if err == nil {
		fields["outcome"] = "acknowledged"
		c.log.Info(message, fields)
		return
	}
	fields["outcome"], fields["error"] = "unknown", err
	c.log.Warn(message, fields)
}

// submitAtLeader submits a command to the leader, which may be this instance, and retries until it has a
// result or ctx ends. It returns the error of the rule that refused the command, if one did.
func (c *Control) submitAtLeader(ctx context.Context, command coltsstate.Command) error {
	server := &controlServer{c: c}
	var reply *coltspb.SubmitReply
	err := c.retryUntilLed(ctx, func() (err error) {
		reply, err = server.Submit(ctx, &coltspb.SubmitRequest{Command: coltswire.EncodeCommand(command)})
		return err
	})
	if err != nil {
		return err
	}
	return coltswire.DecodeRefusal(reply.GetRefusal())
}

// retryUntilLed calls fn until it succeeds, ctx ends or the instance shuts down. It retries when the
// leader changes and after leaderRetryDelay. fn must be idempotent.
func (c *Control) retryUntilLed(ctx context.Context, fn func() error) error {
	for {
		leaderChanged := c.leaderChanged.Channel()
		err := fn()
		if err == nil || ctx.Err() != nil || c.stopping() {
			return err
		}
		timer := time.NewTimer(leaderRetryDelay)
		select {
		case <-ctx.Done():
		case <-leaderChanged:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return err
		}
	}
}

// checkFormed returns a FormingError while a group that forms from seeds has too few voters to
// tolerate the configured number of losses. A leader of such a group accepts commands nevertheless
// once it has led for formTimeout.
func (c *Control) checkFormed() error {
	if !c.formsFromSeeds() {
		return nil
	}
	v := c.driver.view.Load()
	tooFew := len(v.configuration.Voters) < c.requiredVoters()
	if tooFew && c.cfg.Now().Before(v.leaderSince.Add(formTimeout)) {
		return &FormingError{Voters: len(v.configuration.Voters), Required: c.requiredVoters()}
	}
	return nil
}

// NewestRoutes returns the route table that a quorum confirms to be the newest. Its version is 0 if
// there is none yet.
func (c *Control) NewestRoutes(ctx context.Context) (coltsroute.EncodedTable, error) {
	server := &controlServer{c: c}
	var encoded coltsroute.EncodedTable
	err := c.retryUntilLed(ctx, func() error {
		reply, err := server.Routes(ctx, &coltspb.RoutesRequest{})
		encoded = coltswire.DecodeRouteTable(reply.GetRoutes())
		return err
	})
	return encoded, err
}

// Routes returns the route table that a quorum confirms to be the newest.
func (s *controlServer) Routes(ctx context.Context, r *coltspb.RoutesRequest) (*coltspb.RoutesReply, error) {
	leader, err := s.c.leaderClient(r.GetForwarded())
	if err != nil {
		return nil, err
	}
	if leader != nil {
		r.Forwarded = true
		return leader.Routes(ctx, r)
	}
	if err := s.c.driver.barrier(ctx); err != nil {
		return nil, unavailable(err)
	}
	return &coltspb.RoutesReply{Routes: coltswire.EncodeRouteTable(*s.c.routes.Load())}, nil
}

// ReportUpstream registers an upstream or updates its entry from its own report. It returns the
// address of the leader, whose registry is the authoritative one.
func (c *Control) ReportUpstream(ctx context.Context, u coltsregistry.Upstream) (netip.Addr, error) {
	if !c.registry.LimitsCold(u.Service) {
		u.ColdUntil = time.Time{}
	}
	server := &controlServer{c: c}
	var reply *coltspb.ReportReply
	err := c.retryUntilLed(ctx, func() (err error) {
		reply, err = server.Report(ctx, &coltspb.ReportRequest{Upstream: coltswire.EncodeReportedUpstream(u, c.cfg.Now())})
		return err
	})
	if err != nil {
		return netip.Addr{}, err
	}
	addr, known := coltsmembership.AddrOf(coltsidentity.Instance(reply.GetLeader()))
	if !known {
		return netip.Addr{}, errors.Errorf("leader %q has no address", reply.GetLeader())
	}
	return addr.Addr(), nil
}

// LeaveUpstream records that an upstream's process is leaving, also one that has not been reported yet. The start time
// of its process may be zero if the upstream is known. It returns a coltsregistry.InvalidError if no sound upstream
// would name this process.
func (c *Control) LeaveUpstream(ctx context.Context, p coltsregistry.Process) error {
	if err := p.Validate(c.cfg.Now()); err != nil {
		return err
	}
	server := &controlServer{c: c}
	return c.retryUntilLed(ctx, func() error {
		_, err := server.Report(ctx, &coltspb.ReportRequest{
			Upstream: coltswire.EncodeReportedUpstream(coltsregistry.Upstream{ID: p.ID, StartedAt: p.StartedAt}, c.cfg.Now()),
			Leaving:  true,
		})
		return err
	})
}

// controlAddrs returns the addresses of the group's members, the leader's first, and the current term.
func (c *Control) controlAddrs() ([]string, uint64) {
	v := c.driver.view.Load()
	var addrs []string
	for _, id := range v.configuration.Members() {
		addr, known := coltsmembership.AddrOf(id)
		if !known {
			continue
		}
		addrs = append(addrs, addr.String())
		if id == v.leader {
			last := len(addrs) - 1
			addrs[0], addrs[last] = addrs[last], addrs[0]
		}
	}
	return addrs, v.term
}

// liveEntries returns the number of live entry instances that report to this instance. It is 0 if they
// report to another instance.
func (c *Control) liveEntries() int {
	n := 0
	for _, m := range c.roster.Live(c.cfg.Now()) {
		if m.Role == coltsmembership.RoleEntry {
			n++
		}
	}
	return n
}
