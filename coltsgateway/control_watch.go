package coltsgateway

// The gateway learns all its state from control by long polling: it keeps one request open at
// one control instance, preferably the leader, which replies as soon as it has something
// newer. The gateway's own clock and the reply's revision numbers bound how stale its state
// is.

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"coltsfootstall/coltsevacuation"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslink"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsloop"
	"coltsfootstall/coltsmembership"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsstore"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

const (
	// longPollWait is how long control holds a request open while there is nothing new,
	// watchTimeout how long the reply may take in all. A change must take effect within two
	// seconds even if the connection that would carry it is dead.
	longPollWait = 100 * time.Millisecond
	watchTimeout = 900 * time.Millisecond
	// watchDialTimeout bounds connecting to a control instance. It is shorter than TCP's first
	// retransmission, so another instance is asked before a lost packet is sent again.
	watchDialTimeout = 250 * time.Millisecond
	// watchRetryPause is the pause after all known control instances have failed in turn.
	watchRetryPause = 100 * time.Millisecond
	// avoidAfterTimeout is how long a leader is not preferred after a request to it timed out:
	// network partitions heal within seconds, and the other instances answer meanwhile.
	avoidAfterTimeout = 3 * time.Second
	// avoidAfterRefusal is how long a leader is not preferred after it refused a request, as an
	// instance does while it is starting or being elected. It is short because asking again
	// costs only one round trip.
	avoidAfterRefusal = 200 * time.Millisecond
	// forgetGrace is how long a registry must have been followed before upstreams missing from
	// it are forgotten. It spans several of the upstreams' reports.
	forgetGrace = 10 * time.Second
)

// controlWatcher follows control. Only its own loop writes to it.
type controlWatcher struct {
	g       *Gateway
	clients map[netip.AddrPort]coltspbconnect.ControlClient
	// controls are the addresses of the control instances, the leader first. addrs appends the
	// seeds to them. next is the index in addrs of the instance that is asked next.
	controls []netip.AddrPort
	next     int
	// source identifies the registry that the revisions refer to, sourceSince is when
	// the watcher began to follow it, and listed are the upstreams that it has listed, with the time until
	// which those that have left are kept; zero for the others.
	source          string
	sourceSince     time.Time
	weightsRevision uint64
	// evacuations is the newest state of the evacuations that was applied.
	evacuations      coltsevacuation.State
	registryRevision uint64
	storePosition    coltsstore.Position
	listed           map[coltsidentity.Upstream]time.Time
	// receivingStores is set while the whole store directory is received in several replies.
	receivingStores bool
	connected       bool
	// suspectsRevision is the revision of the suspects that were reported to source.
	suspectsRevision uint64
	// avoidUntil is the time before which an instance that failed is not preferred. A new term
	// removes the entry of its leader, so failures from before the election don't count. term
	// is the highest term seen.
	avoidUntil map[netip.AddrPort]time.Time
	term       uint64
	// leader is the client of the instance that is thought to lead, nil before the first reply.
	leader atomic.Pointer[coltspbconnect.ControlClient]
	// lastReplyAt is when control last replied, nil before the first reply.
	lastReplyAt atomic.Pointer[time.Time]
}

func newControlWatcher(g *Gateway) *controlWatcher {
	return &controlWatcher{
		g:       g,
		clients: map[netip.AddrPort]coltspbconnect.ControlClient{},
		listed:  map[coltsidentity.Upstream]time.Time{},

		avoidUntil: map[netip.AddrPort]time.Time{},
	}
}

// run follows control until ctx ends.
func (w *controlWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		addrs := w.addrs()
		addr := addrs[w.next%len(addrs)]
		askedAt := w.g.now()
		reply, err := w.poll(ctx, addr)
		if err != nil {
			w.recordFailure(addr, err)
			w.next++
			if w.next%len(addrs) == 0 {
				coltsloop.Sleep(ctx, watchRetryPause)
			}
			continue
		}
		w.applySafely(addr, reply, askedAt)
	}
}

// applySafely applies a reply. If that fails unexpectedly, the state that this instance has remains in
// use, and another control instance is asked next for the whole state.
func (w *controlWatcher) applySafely(addr netip.AddrPort, reply *coltspb.WatchReply, askedAt time.Time) {
	defer func() {
		w.g.log.HandlePanic(recover(), coltslog.Fields{"asked": addr, "source": reply.GetSource()}, func() {
			w.g.metrics.Add(coltsmetric.Panics, 1)
			w.weightsRevision, w.registryRevision, w.storePosition = 0, 0, coltsstore.Position{}
			w.next++
			coltsloop.Sleep(w.g.ctx, watchRetryPause)
		})
	}()
	w.apply(addr, reply, askedAt)
}

// addrs returns the control instances to ask, in order: the known ones, then the seeds.
func (w *controlWatcher) addrs() []netip.AddrPort {
	addrs := slices.Clone(w.controls)
	for _, seed := range *w.g.seeds.Load() {
		addr := netip.AddrPortFrom(seed.Addr(), uint16(w.g.settings.ControlPort))
		if !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// client returns the client of a control instance.
func (w *controlWatcher) client(addr netip.AddrPort) coltspbconnect.ControlClient {
	client, known := w.clients[addr]
	if !known {
		client = coltspbconnect.NewControlClient(
			coltslink.NewClient(coltslink.Config{DialTimeout: watchDialTimeout}), coltslink.URL(addr))
		w.clients[addr] = client
	}
	return client
}

// poll sends a long-polling request with this instance's state to a control instance.
func (w *controlWatcher) poll(ctx context.Context, addr netip.AddrPort) (*coltspb.WatchReply, error) {
	client := w.client(addr)
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	now := w.g.now()
	suspects, suspectsRevision := w.g.suspects.ChangedSince(w.suspectsRevision, now)
	w.suspectsRevision = suspectsRevision
	request := &coltspb.WatchRequest{
		Member: coltswire.EncodeMember(coltsmembership.Member{
			ID:         coltsidentity.Instance(w.g.cfg.Settings.Instance),
			Role:       coltsmembership.RoleEntry,
			DataCentre: coltsidentity.DataCentre(w.g.cfg.Settings.DataCentre),
			Started:    w.g.startedAt,
			Ready:      w.g.isReady(),
		}),
		RoutesVersion:       uint64(w.g.routes.Version()),
		Source:              w.source,
		WeightsRevision:     w.weightsRevision,
		EvacuationsRevision: w.evacuations.Revision,
		RegistryRevision:    w.registryRevision,
		StoreRevision:       w.storePosition.Revision,
		StoreBase:           w.storePosition.Base,
		Loads:               coltswire.EncodeLoads(w.g.balancer.Loads(), now),
		Suspects:            coltswire.EncodeSuspects(suspects, now),
		Fetches:             coltswire.EncodeStoreChanges(w.g.stores.TakeFetches()),
		Leaving:             coltswire.EncodeProcesses(w.g.balancer.Leaving()),
		WaitNanos:           int64(longPollWait),
	}
	coltswire.AddPoisonReport(request, w.g.poison.TakeReport(now), now)
	return client.Watch(ctx, request)
}

// recordFailure records that a control instance failed to reply.
func (w *controlWatcher) recordFailure(addr netip.AddrPort, err error) {
	w.g.metrics.Add(coltsmetric.WatchFailures, 1)
	avoid := avoidAfterRefusal
	if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		avoid = avoidAfterTimeout
	}
	w.avoidUntil[addr] = w.g.now().Add(avoid)
	w.suspectsRevision = 0
	w.g.poison.Forget()
	if !w.connected {
		return
	}
	w.connected = false
	w.g.log.Warn("Lost contact with control; continuing with the last known state.", coltslog.Fields{
		"asked": addr, "error": err, "routes": w.g.routes.Version(),
	})
}

// staleness returns the time since control last replied, or since the start if it never has.
func (w *controlWatcher) staleness(now time.Time) time.Duration {
	lastReplyAt := w.lastReplyAt.Load()
	if lastReplyAt == nil {
		return now.Sub(w.g.startedAt)
	}
	return now.Sub(*lastReplyAt)
}
