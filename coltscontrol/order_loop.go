package coltscontrol

// Only the leader sends orders to runners, under its lease and with its term, which never decreases,
// as the fencing token. Some runners don't check the token, so a new leader first waits until the
// orders of earlier leaders have ended.

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
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
	// orderPeriod is how often the leader compares the runners' versions with the document.
	orderPeriod = time.Second
	// fleetTimeout bounds a Fleet call to an entry.
	fleetTimeout = time.Second
	// newLeaderOrderDelay is how long a new leader waits before it sends orders. An order is
	// sent within its sender's lease and ends within OrderTimeout of being sent, so by then all
	// orders of earlier leaders have ended.
	newLeaderOrderDelay = electionTimeout + coltsorder.OrderTimeout
)

// orderLoop sends orders to runners while this instance leads.
type orderLoop struct {
	c       *Control
	planner *coltsorder.Planner
	client  *coltsupstream.Client
	// httpClient calls entries.
	httpClient *http.Client
	pool       pond.Pool
	results    chan orderResult
}

// orderResult is the result of an order; err is nil if it was carried out.
type orderResult struct {
	order coltsorder.Order
	err   error
}

// sendOrders sends runners the orders needed to serve what the document specifies, until ctx ends.
func (c *Control) sendOrders(ctx context.Context) {
	l := &orderLoop{
		c:       c,
		planner: coltsorder.NewPlanner(coltsorder.Config{MaxLoading: c.settings.MaxLoading}),
		client: coltsupstream.New(coltsupstream.Config{
			Now: c.cfg.Now, SilenceTimeout: coltsorder.OrderTimeout, ProbeTimeout: fleetTimeout,
			OnBrokenAnswer: func(_ netip.AddrPort, err error) { c.countUnreadable(err) },
		}),
		httpClient: coltslink.NewClient(coltslink.Config{}),
		pool:       pond.NewPool(c.settings.MaxLoading),
		results:    make(chan orderResult, c.settings.MaxLoading),
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
		case r := <-l.results:
			l.handleResult(r)
		}
	}
}

// lease returns the lease for sending orders, or the zero Lease if this instance holds none.
func (l *orderLoop) lease() coltsorder.Lease {
	v := l.c.driver.view.Load()
	if !v.isLeader || v.leaseUntil.IsZero() {
		return coltsorder.Lease{}
	}
	return coltsorder.Lease{
		FencingToken: coltsorder.FencingToken(v.term),
		NotBefore:    v.leaderSince.Add(newLeaderOrderDelay),
		Until:        v.leaseUntil.Add(coltsorder.OrderTimeout),
	}
}

func (l *orderLoop) plan(ctx context.Context) {
	if !l.c.driver.view.Load().isLeader {
		return
	}
	fleet, err := l.fleet(ctx)
	if err != nil {
		return
	}
	now := l.c.cfg.Now()
	for _, order := range l.planner.Plan(fleet, l.c.machine.Register.Current(), l.lease(), now) {
		l.c.log.Info("Sending an order to a runner.", coltslog.Fields{
			"runner": order.Upstream, "order": order.Kind, "version": order.ModelVersion.Version, "fence": order.FencingToken,
		})
		l.pool.Submit(func() {
			l.results <- orderResult{order: order, err: l.client.Order(ctx, order)}
		})
	}
}

// fleet returns the upstreams' announcements as known to one entry, chosen at random.
func (l *orderLoop) fleet(ctx context.Context) ([]coltsfleet.Announcement, error) {
	var entries []coltsmembership.Member
	for _, m := range l.c.roster.Live(l.c.cfg.Now()) {
		if m.Role == coltsmembership.RoleEntry && m.Ready {
			entries = append(entries, m)
		}
	}
	if len(entries) == 0 {
		return nil, errors.New("no entry is ready")
	}
	entry := entries[rand.IntN(len(entries))]
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	client := coltspbconnect.NewPeerClient(l.httpClient, coltslink.URL(entry.PeerAddr))
	reply, err := client.Fleet(ctx, &coltspb.FleetRequest{})
	if err != nil {
		return nil, errors.Wrapf(err, "ask %s", entry.ID)
	}
	fleet := make([]coltsfleet.Announcement, 0, len(reply.GetAnnouncements()))
	for _, m := range reply.GetAnnouncements() {
		fleet = append(fleet, coltswire.DecodeAnnouncement(m))
	}
	return fleet, nil
}

func (l *orderLoop) handleResult(r orderResult) {
	if r.err != nil {
		l.c.log.Warn("An order to a runner failed.", coltslog.Fields{"runner": r.order.Upstream, "error": r.err})
	}
	l.planner.RecordResult(r.order.Upstream, r.err == nil, l.c.cfg.Now())
}
