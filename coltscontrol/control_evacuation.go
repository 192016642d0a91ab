package coltscontrol

// Orders to evacuate a data centre go through the replicated log. Each instance publishes the evacuations
// when it has applied an order, which wakes the waiting polls of its entries.

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltsevacuation"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
)

// NewestEvacuationOrder returns the newest order of evacuation that this instance knows to be taken. A front end
// tells it to the sender of an order, and passes the order on with what the sender returns: the sender then still
// waited when this instance knew of all orders up to that one.
func (c *Control) NewestEvacuationOrder() coltsevacuation.OrderNumber {
	return c.machine.Evacuations.Current().Newest
}

// Evacuate commits an order that begins or ends the evacuation of a data centre. Nothing has changed if it returns
// a coltsevacuation.InvalidError because the order can't be carried out, or a coltsevacuation.SupersededError.
func (c *Control) Evacuate(ctx context.Context, o coltsevacuation.Order) error {
	fields := coltslog.Fields{"data-centre": o.DataCentre, "ends": o.Ends}
	err := o.Validate()
	if err == nil {
		if !c.knowsDataCentre(o.DataCentre) {
			// Upstreams there may still register, so the order is carried out.
			c.log.Warn("An order of evacuation names a data centre that no instance or upstream is in.", fields)
		}
		err = c.submitAtLeader(ctx, coltsstate.Command{Kind: coltsstate.CommandEvacuation, Evacuation: o})
	}
	var invalid *coltsevacuation.InvalidError
	if errors.As(err, &invalid) {
		c.log.Info("An order of evacuation was refused.", coltslog.Fields{"data-centre": o.DataCentre, "ends": o.Ends, "reason": err})
		return err
	}
	var superseded *coltsevacuation.SupersededError
	if errors.As(err, &superseded) {
		c.log.Info("An order of evacuation was not carried out: a newer one was taken since its sender last waited.",
			coltslog.Fields{"data-centre": o.DataCentre, "ends": o.Ends, "after": *o.After, "newest": superseded.Newest})
		return err
	}
	c.logOutcome("An order of evacuation was submitted.", fields, err)
	return err
}

// knowsDataCentre reports whether an upstream or a live instance is in a data centre.
func (c *Control) knowsDataCentre(dc coltsidentity.DataCentre) bool {
	entries, _ := c.registry.ChangedSince(0)
	for _, e := range entries {
		if e.Upstream.DataCentre == dc {
			return true
		}
	}
	for _, m := range c.roster.Live(c.cfg.Now()) {
		if m.DataCentre == dc {
			return true
		}
	}
	return false
}

// publishEvacuations publishes the state of the evacuations if it has changed, and reports whether it
// has. Only the driver's loop may call it.
func (c *Control) publishEvacuations(now time.Time) bool {
	before, recorded := *c.evacuations.Load(), c.machine.Evacuations.Current()
	if recorded.Revision == before.Revision {
		return false
	}
	published := c.evacuationTimes.Translate(recorded, now)
	c.evacuations.Store(&published)
	c.metrics.Put(coltsmetric.EvacuatedDataCentres, int64(len(published.Evacuated())))
	changes := coltsevacuation.ChangesBetween(before, published, now)
	for _, dc := range changes.Begun {
		c.log.Info("A data centre is evacuated.", coltslog.Fields{"data-centre": dc, "revision": published.Revision})
	}
	for _, e := range changes.Ended {
		c.applyEvacuationEnd(e.DataCentre, e.ChangedAt, now)
	}
	return true
}

// applyEvacuationEnd handles the end of an evacuation, which took effect a time ago: the upstreams may have
// become cold shortly before. It is called once for each end in each process, also for ends that are
// restored at a start.
func (c *Control) applyEvacuationEnd(dc coltsidentity.DataCentre, endedAt, now time.Time) {
	marked := c.registry.MarkCold(dc, endedAt)
	c.log.Info("The evacuation of a data centre has ended.", coltslog.Fields{
		"data-centre": dc, "ended-ago-ms": now.Sub(endedAt).Milliseconds(), "marked-cold": marked,
	})
}

// awaitsCommit reports whether this instance must apply what was committed before its start until it answers
// gateways, so that a gateway that has just started sends nothing to an evacuated data centre. While there is no
// leader that takes time, in which gateways could serve with what was saved.
func (c *Control) awaitsCommit() bool {
	return c.settings.AwaitCommit || c.evacuations.Load().Revision > 0
}

// addEvacuations adds the evacuations to a reply if they are newer than what the caller has, and reports
// whether they are.
func (s *controlServer) addEvacuations(r *coltspb.WatchRequest, reply *coltspb.WatchReply) bool {
	state := s.c.evacuations.Load()
	if state.Revision <= r.GetEvacuationsRevision() {
		return false
	}
	reply.Evacuations = coltswire.EncodeEvacuationsWithAges(*state, s.c.cfg.Now())
	return true
}
