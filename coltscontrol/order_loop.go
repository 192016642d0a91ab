package coltscontrol

// Orders to runners come from the leader alone, under its lease, with its term as
// the fencing number: terms only rise. A new leader first waits until whatever an
// earlier one had under way has ended, for the runners that don't check the number.

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"

	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltslink"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmembership"
	"coltsfootstall/coltsorder"
	"coltsfootstall/coltsupstream"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

const (
	// orderPeriod is how often the leader compares runners with the document.
	orderPeriod = time.Second
	// fleetTimeout bounds the question to an entry for the fleet.
	fleetTimeout = time.Second
	// orderWait is how long a new leader gives no orders. An order is sent within
	// its sender's lease and ends within OrderTimeout of its sending, so by then
	// all of an earlier leader's have ended.
	orderWait = electionAfter + coltsorder.OrderTimeout
)

// orderLoop gives orders.
type orderLoop struct {
	c      *Control
	board  *coltsorder.Board
	client *coltsupstream.Client
	// peers reaches entries.
	peers *http.Client
	pool  pond.Pool
	ended chan endedOrder
}

// endedOrder is an order that was carried out or failed.
type endedOrder struct {
	order coltsorder.Order
	err   error
}

// giveOrders keeps runners as the document wants them until ctx ends.
func (c *Control) giveOrders(ctx context.Context) {
	l := &orderLoop{
		c:      c,
		board:  coltsorder.NewBoard(coltsorder.Config{MaxLoading: c.settings.MaxLoading}),
		client: coltsupstream.New(coltsupstream.Config{Now: c.cfg.Now, SilenceTimeout: coltsorder.OrderTimeout, ProbeTimeout: fleetTimeout}),
		peers:  coltslink.NewClient(coltslink.Config{}),
		pool:   pond.NewPool(c.settings.MaxLoading),
		ended:  make(chan endedOrder, c.settings.MaxLoading),
	}
	defer l.client.Close()
	defer l.pool.StopAndWait()
	ticker := time.NewTicker(orderPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.plan(ctx)
		case e := <-l.ended:
			l.end(e)
		}
	}
}

// lease is the right to give orders as the replica has it now.
func (l *orderLoop) lease() coltsorder.Lease {
	v := l.c.driver.view.Load()
	if !v.leads || v.leaseUntil.IsZero() {
		return coltsorder.Lease{}
	}
	return coltsorder.Lease{
		Fence:     coltsorder.Fence(v.term),
		NotBefore: v.leadsSince.Add(orderWait),
		Until:     v.leaseUntil.Add(coltsorder.OrderTimeout),
	}
}

func (l *orderLoop) plan(ctx context.Context) {
	if !l.c.driver.view.Load().leads {
		return
	}
	fleet, err := l.fleet(ctx)
	if err != nil {
		return
	}
	now := l.c.cfg.Now()
	for _, order := range l.board.Plan(fleet, l.c.machine.Register.Current(), l.lease(), now) {
		l.c.log.Info("Ordering a runner.", coltslog.Fields{
			"runner": order.Upstream, "order": order.Kind, "version": order.ModelVersion.Version, "fence": order.Fence,
		})
		l.pool.Submit(func() {
			l.ended <- endedOrder{order: order, err: l.client.Order(ctx, order)}
		})
	}
}

// fleet asks an entry for the upstreams that it knows.
func (l *orderLoop) fleet(ctx context.Context) ([]coltsfleet.Announcement, error) {
	var entries []coltsmembership.Member
	for _, m := range l.c.roster.Live(l.c.cfg.Now()) {
		if m.Role == coltsmembership.RoleEntry && m.Ready {
			entries = append(entries, m)
		}
	}
	if len(entries) == 0 {
		return nil, errors.New("no entry is alive")
	}
	asked := entries[rand.IntN(len(entries))]
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	client := coltspbconnect.NewPeerClient(l.peers, coltslink.URL(asked.PeerAddr))
	reply, err := client.Fleet(ctx, &coltspb.FleetRequest{})
	if err != nil {
		return nil, errors.Wrapf(err, "ask %s", asked.ID)
	}
	fleet := make([]coltsfleet.Announcement, 0, len(reply.GetAnnouncements()))
	for _, m := range reply.GetAnnouncements() {
		fleet = append(fleet, coltswire.DecodeAnnouncement(m))
	}
	return fleet, nil
}

func (l *orderLoop) end(e endedOrder) {
	if e.err != nil {
		l.c.log.Warn("An order was not carried out.", coltslog.Fields{"runner": e.order.Upstream, "error": e.err})
	}
	l.board.Done(e.order.Upstream, e.err == nil, l.c.cfg.Now())
}
