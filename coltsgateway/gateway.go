package coltsgateway

// Construction and start of a gateway instance.

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsbuffer"
	"coltsfootstall/coltsdrain"
	"coltsfootstall/coltsfront"
	"coltsfootstall/coltslink"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsloop"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltspoison"
	"coltsfootstall/coltspool"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltssettings"
	"coltsfootstall/coltsstore"
	"coltsfootstall/coltswatch"
	"coltsfootstall/coltsweights"
)

const (
	// dialTimeout bounds connecting to an upstream. It is many times the round trip and short
	// compared with how long callers wait.
	dialTimeout = 400 * time.Millisecond
	// upstreamReadBytes is the size of a connection's read buffer. It exceeds the longest
	// response head that an upstream sends.
	upstreamReadBytes = 4 << 10
)

// Config is the configuration of a gateway instance.
type Config struct {
	Settings coltssettings.Settings
	Dialect  Dialect
	Log      *coltslog.Log
	// Now reads the clock; nil for time.Now.
	Now func() time.Time
}

// Gateway is one running gateway instance.
type Gateway struct {
	cfg       Config
	settings  coltssettings.Gateway
	dialect   Dialect
	log       *coltslog.Logger
	metrics   *coltsmetric.Set
	latency   *latencies
	startedAt time.Time

	routes   *coltsroute.Register
	weights  *coltsweights.Register
	balancer *coltsbalance.Balancer
	stores   *coltsstore.Directory
	queue    *coltsbalance.Queue
	// capacityFreed is fired when an upstream may have free capacity, routesChanged when a new
	// route table takes effect.
	capacityFreed *coltsloop.Signal
	routesChanged *coltsloop.Signal
	budget        *coltsattempt.RetryWindow
	// suspects are the requests that crashed upstreams, as seen by this or other instances.
	suspects *coltsattempt.Quarantine
	// poison knows the parts of prompts that crash upstreams, from control.
	poison *coltspoison.Observer
	pool   *coltspool.Pool
	// buffers bounds the memory for bodies that are buffered.
	buffers *coltsbuffer.Budget
	// connBytes is what each open connection takes of it; 0 if the size of the machine is not known.
	connBytes int
	// maxConns bounds the open connections of callers; 0 for no bound but that of the system.
	maxConns int
	shedding shedder
	watcher  *controlWatcher
	// seeds are the addresses used to find control; Reload replaces them.
	seeds atomic.Pointer[[]netip.AddrPort]
	// instances is the number of entry instances that share the retry budget.
	instances atomic.Int64

	callerListener   net.Listener
	readyListener    net.Listener
	operatorListener net.Listener
	readyServer      *coltsfront.Server
	operatorServer   *coltsfront.Server
	openConns        openConns
	// acceptFailedAt is when the last connection could not be accepted, in nanoseconds of the Unix time; 0
	// if one was accepted since.
	acceptFailedAt atomic.Int64

	ctx        context.Context
	stop       context.CancelFunc
	background sync.WaitGroup
	// accepting ends when no more connections are accepted, callers when all that were accepted
	// have ended.
	accepting sync.WaitGroup
	callers   sync.WaitGroup
	// drainPlan is set when a shutdown begins, closing once no more connections are accepted.
	drainPlan atomic.Pointer[coltsdrain.Plan]
	closing   atomic.Bool
}

// New returns a gateway instance that is not started.
func New(cfg Config) *Gateway {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	g := &Gateway{
		cfg:       cfg,
		settings:  cfg.Settings.Gateway,
		dialect:   cfg.Dialect,
		log:       cfg.Log.Logger("gateway"),
		metrics:   coltsmetric.NewSet(),
		latency:   newLatencies(),
		startedAt: cfg.Now(),
		routes:    coltsroute.NewRegister(),
		weights:   coltsweights.NewRegister(),
		balancer: coltsbalance.New(coltsbalance.Config{
			Policy:       coltsbalance.Policy(cfg.Settings.Gateway.RoutingPolicy),
			LoadEstimate: coltsbalance.LoadEstimate(cfg.Settings.Gateway.LoadEstimate),
			LoadReport:   coltsbalance.LoadReport(cfg.Settings.Gateway.LoadReport),
		}),
		suspects:      coltsattempt.NewQuarantine(coltsattempt.QuarantineConfig{Crashes: coltsattempt.GatewayCrashes}),
		poison:        coltspoison.NewObserver(),
		stores:        coltsstore.NewDirectory(),
		queue:         coltsbalance.NewQueue(),
		capacityFreed: coltsloop.NewSignal(),
		routesChanged: coltsloop.NewSignal(),
		budget: coltsattempt.NewRetryWindow(coltsattempt.RetryWindowConfig{
			Ratio:  cfg.Settings.Gateway.RetryRatio,
			Slack:  cfg.Settings.Gateway.RetrySlack,
			Window: cfg.Settings.Gateway.RetryWindow,
		}),
		pool: coltspool.New(coltspool.Config{
			Now:              cfg.Now,
			ReadBytes:        upstreamReadBytes,
			UnbufferedWrites: true,
			Dial:             dialUpstream,
		}),
	}
	budget := coltsbuffer.FixedSize(cfg.Settings.Gateway.BufferBytes)
	if memory := cfg.Settings.MemoryBytes(); memory > 0 {
		budget = coltsbuffer.ForMemory(memory)
		g.connBytes = coltsbuffer.ConnectionBytes
	}
	budget.MakeRoom = g.makeRoom
	g.buffers = coltsbuffer.New(budget)
	if n := cfg.Settings.Descriptors; n > 0 {
		g.maxConns = coltsbuffer.MaxConnections(n)
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

// Start opens the listeners and starts the background loops.
func (g *Gateway) Start() error {
	for _, l := range []struct {
		target  *net.Listener
		addr    netip.AddrPort
		purpose string
	}{
		{&g.callerListener, g.settings.CallerAddr, "callers"},
		{&g.readyListener, g.settings.ReadyAddr, "readiness"},
		{&g.operatorListener, g.settings.OperatorAddr, "operators"},
	} {
		ln, err := net.Listen("tcp", l.addr.String())
		if err != nil {
			return errors.Wrapf(err, "listen for %s", l.purpose)
		}
		*l.target = ln
	}
	g.callerListener = coltswatch.NewListener(g.callerListener)
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.readyServer = coltsfront.NewServer(coltsfront.Config{Listener: g.readyListener, Handler: g.guard(g.serveReady)})
	g.operatorServer = coltsfront.NewServer(coltsfront.Config{
		Listener: g.operatorListener, Handler: g.guard(g.serveOperator), Name: "coltsfootstall",
	})
	go g.serve(g.readyServer)
	go g.serve(g.operatorServer)
	g.background.Go(func() { g.watcher.run(g.ctx) })
	g.accepting.Go(g.accept)
	g.log.Info("Started.", coltslog.Fields{"callers": g.CallerAddr(), "operators": g.OperatorAddr()})
	return nil
}

func (g *Gateway) serve(s *coltsfront.Server) {
	if err := s.Serve(); err != nil {
		g.log.Error("A listener failed.", coltslog.Fields{"address": s.AddrPort(), "error": err})
	}
}

// Reload applies the settings that can change while the instance runs: the seeds.
func (g *Gateway) Reload(s coltssettings.Settings) {
	seeds := s.Gateway.Seeds
	if len(seeds) > 0 {
		g.seeds.Store(&seeds)
	}
	g.log.Info("Seeds known.", coltslog.Fields{"seeds": seeds})
}

// CallerAddr returns the address on which callers are served.
func (g *Gateway) CallerAddr() netip.AddrPort { return coltslink.AddrOf(g.callerListener) }

// ReadyAddr returns the address on which a load balancer checks readiness.
func (g *Gateway) ReadyAddr() netip.AddrPort { return coltslink.AddrOf(g.readyListener) }

// OperatorAddr returns the address of the health and metrics endpoints.
func (g *Gateway) OperatorAddr() netip.AddrPort { return coltslink.AddrOf(g.operatorListener) }

func (g *Gateway) now() time.Time { return g.cfg.Now() }
