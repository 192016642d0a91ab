package coltsgateway

// The parts of a gateway instance are put together here.

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltslink"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsloop"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltspool"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltssettings"
	"coltsfootstall/coltsstore"
	"coltsfootstall/coltswatch"
	"coltsfootstall/coltsweights"
)

const (
	// dialTimeout bounds the making of a connection to an upstream: many times the
	// way there and back, and short against what callers wait.
	dialTimeout = 400 * time.Millisecond
	// upstreamReadBytes is the size of a connection's read buffer, above the longest
	// head that an upstream sends.
	upstreamReadBytes = 4 << 10
	// crashesToRefuse is the number of upstreams that a request may take with it. One
	// that ran beside the culprit twice is still served.
	crashesToRefuse = 3
)

// Config says what a gateway instance is made of.
type Config struct {
	Settings coltssettings.Settings
	Dialect  Dialect
	Log      *coltslog.Log
	// Now reads the clock; nil for time.Now.
	Now func() time.Time
}

// Gateway is one running gateway instance.
type Gateway struct {
	cfg      Config
	settings coltssettings.Gateway
	dialect  Dialect
	log      *coltslog.Part
	metrics  *coltsmetric.Set
	latency  *latencies
	started  time.Time

	routes   *coltsroute.Register
	weights  *coltsweights.Register
	balancer *coltsbalance.Balancer
	stores   *coltsstore.Directory
	queue    *coltsbalance.Queue
	// room is fired when an upstream may have got room, known when a route table has
	// come into force.
	room   *coltsloop.Signal
	known  *coltsloop.Signal
	budget *coltsattempt.RetryWindow
	// suspects are the requests that crashed upstreams, here or elsewhere.
	suspects *coltsattempt.Quarantine
	pool     *coltspool.Pool
	watcher  *controlWatcher
	// seeds are the hosts through which control is found; a reload changes them.
	seeds atomic.Pointer[[]netip.AddrPort]
	// instances is the number of entry instances that share the budget.
	instances atomic.Int64

	callers   net.Listener
	ready     net.Listener
	operators net.Listener
	readiness *fasthttp.Server
	operator  *fasthttp.Server
	open      openConns

	running  context.Context
	stop     context.CancelFunc
	loops    sync.WaitGroup
	requests sync.WaitGroup
	draining atomic.Bool
}

// New returns a gateway instance.
func New(cfg Config) *Gateway {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	g := &Gateway{
		cfg:      cfg,
		settings: cfg.Settings.Gateway,
		dialect:  cfg.Dialect,
		log:      cfg.Log.Part("gateway"),
		metrics:  coltsmetric.NewSet(),
		latency:  newLatencies(),
		started:  cfg.Now(),
		routes:   coltsroute.NewRegister(),
		weights:  coltsweights.NewRegister(),
		balancer: coltsbalance.New(coltsbalance.Config{Policy: coltsbalance.Policy(cfg.Settings.Gateway.RoutingPolicy)}),
		suspects: coltsattempt.NewQuarantine(coltsattempt.QuarantineConfig{Crashes: crashesToRefuse}),
		stores:   coltsstore.NewDirectory(),
		queue:    coltsbalance.NewQueue(),
		room:     coltsloop.NewSignal(),
		known:    coltsloop.NewSignal(),
		budget: coltsattempt.NewWindow(coltsattempt.WindowConfig{
			Ratio:  cfg.Settings.Gateway.RetryRatio,
			Slack:  cfg.Settings.Gateway.RetrySlack,
			Window: cfg.Settings.Gateway.RetryWindow,
		}),
		pool: coltspool.New(coltspool.Config{
			Now:        cfg.Now,
			ReadBytes:  upstreamReadBytes,
			Unbuffered: true,
			Dial:       dialUpstream,
		}),
	}
	g.instances.Store(1)
	g.seeds.Store(&g.settings.Seeds)
	g.watcher = newControlWatcher(g)
	return g
}

func dialUpstream(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", addr.String())
}

// Start listens and begins the loops.
func (g *Gateway) Start() error {
	for _, l := range []struct {
		to   *net.Listener
		addr netip.AddrPort
		what string
	}{
		{&g.callers, g.settings.CallerAddr, "callers"},
		{&g.ready, g.settings.ReadyAddr, "readiness"},
		{&g.operators, g.settings.OperatorAddr, "operators"},
	} {
		ln, err := net.Listen("tcp", l.addr.String())
		if err != nil {
			return errors.Wrapf(err, "listen for %s", l.what)
		}
		*l.to = ln
	}
	g.running, g.stop = context.WithCancel(context.Background())
	g.readiness = &fasthttp.Server{Handler: g.serveReady, NoDefaultServerHeader: true}
	g.operator = &fasthttp.Server{Handler: g.serveOperator, Name: "coltsfootstall"}
	go g.serve(g.readiness, g.ready)
	go g.serve(g.operator, g.operators)
	g.loops.Go(func() { g.watcher.run(g.running) })
	g.loops.Go(func() { g.accept(coltswatch.Listen(g.callers)) })
	g.log.Info("Started.", coltslog.Fields{"callers": g.CallerAddr(), "operators": g.OperatorAddr()})
	return nil
}

func (g *Gateway) serve(s *fasthttp.Server, ln net.Listener) {
	if err := s.Serve(ln); err != nil {
		g.log.Error("A listener failed.", coltslog.Fields{"address": ln.Addr(), "error": err})
	}
}

// Reload takes over the settings that can change while the instance runs: the seeds.
func (g *Gateway) Reload(s coltssettings.Settings) {
	seeds := s.Gateway.Seeds
	if len(seeds) > 0 {
		g.seeds.Store(&seeds)
	}
	g.log.Info("Seeds known.", coltslog.Fields{"seeds": seeds})
}

// CallerAddr returns where callers are served.
func (g *Gateway) CallerAddr() netip.AddrPort { return coltslink.AddrOf(g.callers) }

// ReadyAddr returns where a balancer asks for readiness.
func (g *Gateway) ReadyAddr() netip.AddrPort { return coltslink.AddrOf(g.ready) }

// OperatorAddr returns where operators find health and metrics.
func (g *Gateway) OperatorAddr() netip.AddrPort { return coltslink.AddrOf(g.operators) }

// now reads the clock.
func (g *Gateway) now() time.Time { return g.cfg.Now() }
