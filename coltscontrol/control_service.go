package coltscontrol

// What a front end for operators and upstreams calls: typed requests, each carried
// out by the leader wherever it comes in. An error means that the outcome is not
// known; the caller asks again, here or elsewhere.

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

// ledPause is the pause before something is tried again that failed for want of a leader:
// less than an election takes.
const ledPause = 150 * time.Millisecond

// FormingError reports that the group has too few voters yet to keep what it would
// acknowledge.
type FormingError struct {
	Voters int
	Wanted int
}

// Error gives the numbers.
func (e *FormingError) Error() string {
	return fmt.Sprintf("the group is forming: %d of %d voters", e.Voters, e.Wanted)
}

// PutRoutes makes a valid route table durable and brings it into force if its version
// is the highest. It returns an InvalidError for a table that breaks a rule.
func (c *Control) PutRoutes(ctx context.Context, t coltsroute.Table) error {
	if err := t.Validate(); err != nil {
		c.log.Info("A route table was refused.", coltslog.Fields{"version": t.Version, "reason": err})
		return err
	}
	err := c.submitAtLeader(ctx, coltsstate.Command{
		Kind:   coltsstate.CommandRoutes,
		Routes: coltsroute.EncodedTable{Version: t.Version, Source: t.Source},
	})
	c.logOutcome("A route table was put.", coltslog.Fields{"version": t.Version, "routes": len(t.Routes)}, err)
	return err
}

// NameWeights makes a named weight version durable.
func (c *Control) NameWeights(ctx context.Context, w coltsweights.Weights) error {
	err := c.submitAtLeader(ctx, coltsstate.Command{
		Kind:    coltsstate.CommandWeights,
		Weights: coltsweights.NamedVersion{Weights: w},
	})
	c.logOutcome("A weight version was named.", coltslog.Fields{"model": w.Model, "number": w.Number}, err)
	return err
}

func (c *Control) logOutcome(sentence string, fields coltslog.Fields, err error) {
	if err == nil {
		fields["outcome"] = "acknowledged"
		c.log.Info(sentence, fields)
		return
	}
	fields["outcome"], fields["error"] = "unknown", err
	c.log.Warn(sentence, fields)
}

// submitAtLeader carries out a command, here or at the leader.
func (c *Control) submitAtLeader(ctx context.Context, command coltsstate.Command) error {
	server := &controlServer{c: c}
	return c.untilLed(ctx, func() error {
		_, err := server.Submit(ctx, &coltspb.SubmitRequest{Command: coltswire.EncodeCommand(command)})
		return err
	})
}

// untilLed calls fn until it succeeds or ctx ends: again when the leader has changed, and
// after a pause. fn must do no harm if it is carried out twice.
func (c *Control) untilLed(ctx context.Context, fn func() error) error {
	for {
		led := c.led.Channel()
		err := fn()
		if err == nil || ctx.Err() != nil || c.stopping() {
			return err
		}
		timer := time.NewTimer(ledPause)
		select {
		case <-ctx.Done():
		case <-led:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return err
		}
	}
}

// checkFormed returns a FormingError while a group that forms itself is too small to
// bear the losses that it must. A group that stays short for long goes on.
func (c *Control) checkFormed() error {
	if !c.formsItself() {
		return nil
	}
	v := c.driver.view.Load()
	short := len(v.configuration.Voters) < c.wantedVoters()
	if short && c.cfg.Now().Before(v.leadsSince.Add(formTimeout)) {
		return &FormingError{Voters: len(v.configuration.Voters), Wanted: c.wantedVoters()}
	}
	return nil
}

// NewestRoutes returns the route table that a quorum confirms to be the newest; its
// version is 0 if there is none yet.
func (c *Control) NewestRoutes(ctx context.Context) (coltsroute.EncodedTable, error) {
	server := &controlServer{c: c}
	var text coltsroute.EncodedTable
	err := c.untilLed(ctx, func() error {
		reply, err := server.Routes(ctx, &coltspb.RoutesRequest{})
		text = coltswire.DecodeRoutesText(reply.GetRoutes())
		return err
	})
	return text, err
}

// Routes returns the route table that a quorum confirms to be the newest.
func (s *controlServer) Routes(ctx context.Context, r *coltspb.RoutesRequest) (*coltspb.RoutesReply, error) {
	leader, err := s.c.leaderOf(r.GetForwarded())
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
	return &coltspb.RoutesReply{Routes: coltswire.EncodeRoutesText(*s.c.routes.Load())}, nil
}

// ReportUpstream takes in what an upstream reports of itself, and returns where the
// registry is kept.
func (c *Control) ReportUpstream(ctx context.Context, u coltsregistry.Upstream) (netip.Addr, error) {
	server := &controlServer{c: c}
	var reply *coltspb.ReportReply
	err := c.untilLed(ctx, func() (err error) {
		reply, err = server.Report(ctx, &coltspb.ReportRequest{Upstream: coltswire.EncodeReportedUpstream(u)})
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

// LeaveUpstream takes in that an upstream leaves. born is the start of its process,
// the zero time if that is not known.
func (c *Control) LeaveUpstream(ctx context.Context, id coltsidentity.Upstream, born time.Time) error {
	server := &controlServer{c: c}
	return c.untilLed(ctx, func() error {
		_, err := server.Report(ctx, &coltspb.ReportRequest{
			Upstream: coltswire.EncodeReportedUpstream(coltsregistry.Upstream{ID: id, StartedAt: born}),
			Leaving:  true,
		})
		return err
	})
}

// controlAddrs returns where the members of the group are reached, the leader first, and
// the leader's term.
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

// liveEntries returns the number of entry instances that report here; 0 if they
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
