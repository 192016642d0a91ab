package coltsgateway

// The instance learns everything from control: it holds one question open at one
// control instance, preferably the leader, and is answered as soon as something is
// newer. Its own clock and the number of the answer bound how old its knowledge is.

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslink"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsloop"
	"coltsfootstall/coltsmembership"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

const (
	// watchWait is how long a question is kept waiting for news, watchTimeout how
	// long its answer may take: a change must be in force within two seconds even if
	// the connection over which it would come has gone silent.
	watchWait    = 100 * time.Millisecond
	watchTimeout = 900 * time.Millisecond
	// watchDialTimeout bounds the making of a connection to a control instance: another
	// one is asked sooner than a lost packet is sent again.
	watchDialTimeout = 250 * time.Millisecond
	// watchPause is the pause after every known control instance has failed.
	watchPause = 100 * time.Millisecond
	// silentAvoid is how long a leader that let a question time out is not preferred:
	// cut links heal within seconds, and the others answer meanwhile.
	silentAvoid = 3 * time.Second
	// refusedAvoid is how long a leader is not preferred that refused a question, as an
	// instance does that is starting or being elected: to ask it again costs one way
	// there and back.
	refusedAvoid = 200 * time.Millisecond
	// forgetGrace is how long a registry must have been told of before the upstreams
	// that it lacks are forgotten: several of their reports.
	forgetGrace = 10 * time.Second
)

// controlWatcher follows control. Its loop is the only writer.
type controlWatcher struct {
	g       *Gateway
	clients map[netip.AddrPort]coltspbconnect.ControlClient
	// known are the control instances, the leader first; seeds stand behind them.
	known []netip.AddrPort
	at    int
	// source is the registry that revision and weights count in, since when it has
	// been followed, and heard the upstreams that it named.
	source      string
	sourceSince time.Time
	weights     uint64
	revision    uint64
	stores      uint64
	heard       map[coltsidentity.Upstream]bool
	inTouch     bool
	// told counts the crashes of each suspect that source was told of.
	told map[coltsidentity.Digest]int
	// avoidUntil is until when an instance that failed to answer is not preferred; a
	// leader's failures count only from the term in which it leads.
	avoidUntil map[netip.AddrPort]time.Time
	term       uint64
	// heardAt is when control last answered.
	heardAt atomic.Pointer[time.Time]
}

func newControlWatcher(g *Gateway) *controlWatcher {
	return &controlWatcher{
		g:       g,
		clients: map[netip.AddrPort]coltspbconnect.ControlClient{},
		heard:   map[coltsidentity.Upstream]bool{},

		avoidUntil: map[netip.AddrPort]time.Time{},
		told:       map[coltsidentity.Digest]int{},
	}
}

// run follows control until ctx ends.
func (w *controlWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		addrs := w.addrs()
		addr := addrs[w.at%len(addrs)]
		reply, err := w.ask(ctx, addr)
		if err != nil {
			w.lost(addr, err)
			w.at++
			if w.at%len(addrs) == 0 {
				coltsloop.Sleep(ctx, watchPause)
			}
			continue
		}
		w.take(addr, reply)
	}
}

// addrs returns the control instances to ask, in order.
func (w *controlWatcher) addrs() []netip.AddrPort {
	addrs := slices.Clone(w.known)
	for _, seed := range *w.g.seeds.Load() {
		addr := netip.AddrPortFrom(seed.Addr(), uint16(w.g.settings.ControlPort))
		if !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

func (w *controlWatcher) ask(ctx context.Context, addr netip.AddrPort) (*coltspb.WatchReply, error) {
	client, known := w.clients[addr]
	if !known {
		client = coltspbconnect.NewControlClient(coltslink.NewClient(coltslink.Config{DialTimeout: watchDialTimeout}), coltslink.URL(addr))
		w.clients[addr] = client
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return client.Watch(ctx, &coltspb.WatchRequest{
		Member: coltswire.EncodeMember(coltsmembership.Member{
			ID:         coltsidentity.Instance(w.g.cfg.Settings.Instance),
			Role:       coltsmembership.RoleEntry,
			DataCentre: coltsidentity.DataCentre(w.g.cfg.Settings.DataCentre),
			Started:    w.g.started,
			Ready:      w.g.isReady(),
		}),
		RoutesVersion:    uint64(w.g.routes.Version()),
		Source:           w.source,
		WeightsRevision:  w.weights,
		RegistryRevision: w.revision,
		StoreRevision:    w.stores,
		Loads:            coltswire.EncodeLoads(w.g.balancer.Loads()),
		Suspects:         coltswire.EncodeSuspects(w.untold()),
		Fetches:          coltswire.EncodeStoreChanges(w.g.stores.TakeFetches()),
		WaitNanos:        int64(watchWait),
	})
}

// lost takes in that a control instance did not answer.
func (w *controlWatcher) lost(addr netip.AddrPort, err error) {
	w.g.metrics.Add(coltsmetric.WatchFailures, 1)
	avoid := refusedAvoid
	if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		avoid = silentAvoid
	}
	w.avoidUntil[addr] = w.g.now().Add(avoid)
	clear(w.told)
	if !w.inTouch {
		return
	}
	w.inTouch = false
	w.g.log.Warn("Control was lost; what is known stays in force.", coltslog.Fields{
		"asked": addr, "error": err, "routes": w.g.routes.Version(),
	})
}

// untold returns the suspects of whose crashes control has not been told. If no answer
// comes they are all told again.
func (w *controlWatcher) untold() []coltsattempt.Suspect {
	if !w.g.suspects.Any() {
		return nil
	}
	var untold []coltsattempt.Suspect
	for _, suspect := range w.g.suspects.Suspects(w.g.now()) {
		if crashes := len(suspect.Upstreams); crashes > w.told[suspect.Fingerprint] {
			w.told[suspect.Fingerprint] = crashes
			untold = append(untold, suspect)
		}
	}
	return untold
}

// age returns how long ago control last answered.
func (w *controlWatcher) age(now time.Time) time.Duration {
	heardAt := w.heardAt.Load()
	if heardAt == nil {
		return now.Sub(w.g.started)
	}
	return now.Sub(*heardAt)
}
