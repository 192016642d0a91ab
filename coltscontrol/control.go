// Package coltscontrol is a control instance: the adapter that keeps the state of
// coltsstate durable and serves it to entries and operators.
package coltscontrol

// The parts of a control instance are put together here. What is durable goes
// through the log; the roster is soft state that every instance renews itself.

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslink"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsloop"
	"coltsfootstall/coltsmembership"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltssettings"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltsstore"
	"coltsfootstall/coltsusage"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

const (
	// beatPeriod is how often an instance renews its own entry in the roster.
	beatPeriod = time.Second
	// closeTimeout bounds the end of calls under way at a shutdown.
	closeTimeout = 3 * time.Second
)

// Config says what a control instance is made of.
type Config struct {
	Settings coltssettings.Settings
	Log      *coltslog.Log
	// Now reads the clock; nil for time.Now.
	Now func() time.Time
	// InitialDocument is a document's text to begin with when the state is
	// empty; nil to read the file that the settings name.
	InitialDocument []byte
	// Runners speaks to model runners, for the roll-out of weights.
	Runners Runners
	// Stores speaks to stores of kept cache, and DecodeTable reads a route table, which
	// names them.
	Stores      Stores
	DecodeTable func(source []byte) (coltsroute.Table, error)
	// Sync makes a file's content durable; nil for (*os.File).Sync.
	Sync func(*os.File) error
}

// Control is one running control instance.
type Control struct {
	cfg      Config
	settings coltssettings.Control
	log      *coltslog.Part
	metrics  *coltsmetric.Set
	started  time.Time

	machine *coltsstate.Machine
	roster  *coltsmembership.Roster
	driver  *replicaDriver
	// replicaID names this instance in the group. In a group that forms itself it
	// names one incarnation, and founders are those that the group began with.
	replicaID coltsidentity.Instance
	founders  []coltsidentity.Instance
	// registry holds the upstreams that report to control; registrySource names
	// it, because its revisions count only here.
	registry       *coltsregistry.Registry
	registrySource string
	// catalogue is what the stores hold and loads what entries have under way; both
	// are the leader's.
	catalogue *coltsstore.Catalogue
	loads     *coltsbalance.Loads
	// suspects are the requests that entries saw crash upstreams.
	suspects *coltsattempt.Quarantine
	// routes is the newest route table that this instance has applied.
	routes atomic.Pointer[coltsroute.EncodedTable]
	// seeds are the hosts through which the group is found; a reload changes them.
	seeds atomic.Pointer[[]netip.AddrPort]
	// news is fired when routes, weights, registry or group have changed.
	news *coltsloop.Signal

	// revised is fired when a document comes into force, reported when an
	// instance reports itself, led when the leader changes.
	revised  *coltsloop.Signal
	reported *coltsloop.Signal
	led      *coltsloop.Signal

	listener  net.Listener
	server    *http.Server
	operators net.Listener
	operator  *fasthttp.Server
	// running ends when the instance stops; stop ends it.
	running context.Context
	stop    context.CancelFunc
	loops   sync.WaitGroup
}

// New returns a control instance with its state read from disk.
func New(cfg Config) (*Control, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	c := &Control{
		cfg:      cfg,
		settings: cfg.Settings.Control,
		log:      cfg.Log.Part("control"),
		metrics:  coltsmetric.NewSet(),
		started:  cfg.Now(),
		machine:  coltsstate.NewMachine(),
		roster:   coltsmembership.NewRoster(),
		revised:  coltsloop.NewSignal(),
		reported: coltsloop.NewSignal(),
		led:      coltsloop.NewSignal(),
		news:     coltsloop.NewSignal(),

		catalogue: coltsstore.NewCatalogue(),
		loads:     coltsbalance.NewLoads(),
		suspects:  coltsattempt.NewQuarantine(coltsattempt.QuarantineConfig{}),
		registry:  coltsregistry.NewRegistry(coltsregistry.Config{SilentAfter: cfg.Settings.Control.SilentAfter}),
	}
	c.registrySource = string(c.id()) + " " + c.started.Format(time.RFC3339Nano)
	c.routes.Store(&coltsroute.EncodedTable{})
	c.seeds.Store(&c.settings.Seeds)
	if err := c.loadInitialDocument(); err != nil {
		return nil, err
	}
	if err := c.identify(); err != nil {
		return nil, err
	}
	driver, err := openDriver(c)
	if err != nil {
		return nil, err
	}
	c.driver = driver
	return c, nil
}

func (c *Control) id() coltsidentity.Instance {
	return coltsidentity.Instance(c.cfg.Settings.Instance)
}

// Start listens and begins the loops.
func (c *Control) Start() error {
	var err error
	c.listener, err = net.Listen("tcp", c.settings.Addr.String())
	if err != nil {
		return errors.Wrap(err, "listen for instances")
	}
	c.operators, err = net.Listen("tcp", c.settings.OperatorAddr.String())
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	mux := http.NewServeMux()
	mux.Handle(coltspbconnect.NewControlHandler(&controlServer{c: c}))
	mux.Handle(coltspbconnect.NewReplicaHandler(&replicaServer{d: c.driver}))
	c.server = coltslink.NewServer(mux)
	c.operator = &fasthttp.Server{Handler: c.serveOperator, Name: "coltsfootstall", CloseOnShutdown: true}
	c.running, c.stop = context.WithCancel(context.Background())
	c.loops.Go(func() { c.driver.run(c.running) })
	c.driver.others.start(c.running)
	if c.formsItself() {
		c.loops.Go(func() { c.keepGroup(c.running) })
		c.loops.Go(func() { c.keepRegistry(c.running) })
		if c.cfg.Stores.Events != nil && c.cfg.DecodeTable != nil {
			c.loops.Go(func() { c.keepStores(c.running) })
		}
		if c.cfg.Runners.Ask != nil && c.cfg.Runners.Order != nil {
			c.loops.Go(func() { c.rollOutWeights(c.running) })
		}
	}
	c.loops.Go(func() { c.bootstrap(c.running) })
	c.loops.Go(func() { c.giveOrders(c.running) })
	c.loops.Go(func() { c.beat(c.running) })
	go c.serve(func() error { return c.server.Serve(c.listener) })
	go c.serve(func() error { return c.operator.Serve(c.operators) })
	c.log.Info("Started.", coltslog.Fields{
		"address":   c.Addr(),
		"operators": c.OperatorAddr(),
		"revision":  c.machine.Register.Current().Revision,
		"bookings":  c.machine.Ledger.Len(),
	})
	return nil
}

func (c *Control) serve(run func() error) {
	err := run()
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		c.log.Error("A listener failed.", coltslog.Fields{"error": err})
	}
}

// stopping says whether the instance is shutting down.
func (c *Control) stopping() bool { return c.running.Err() != nil }

// Addr returns where other instances and operators reach this one.
func (c *Control) Addr() netip.AddrPort { return coltslink.AddrOf(c.listener) }

// OperatorAddr returns where operators find health, readiness and metrics.
func (c *Control) OperatorAddr() netip.AddrPort { return coltslink.AddrOf(c.operators) }

// Broken is closed when the disk has failed and this instance takes no more part.
func (c *Control) Broken() <-chan struct{} { return c.driver.brokeDown }

// Reload takes over the settings that can change while the instance runs: the seeds.
func (c *Control) Reload(s coltssettings.Settings) {
	seeds := s.Control.Seeds
	if len(seeds) > 0 {
		c.seeds.Store(&seeds)
	}
	c.log.Info("Seeds known.", coltslog.Fields{"seeds": seeds})
}

// ReplicaID names this instance in the group.
func (c *Control) ReplicaID() coltsidentity.Instance { return c.replicaID }

// Voters returns the voters of the group as this instance knows them, none while it has
// heard no leader lately.
func (c *Control) Voters() []coltsidentity.Instance {
	if !c.inTouch() {
		return nil
	}
	return c.driver.view.Load().configuration.Voters
}

// Revision returns the document's revision in force.
func (c *Control) Revision() coltsdocument.Revision {
	return c.machine.Register.Current().Revision
}

// beat renews this instance's own entry in the roster until ctx ends.
func (c *Control) beat(ctx context.Context) {
	ticker := time.NewTicker(beatPeriod)
	defer ticker.Stop()
	for {
		revised := c.revised.Channel()
		c.reportSelf(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-revised:
		}
	}
}

func (c *Control) reportSelf(ctx context.Context) {
	self := coltsmembership.Member{
		ID:           c.id(),
		Role:         coltsmembership.RoleControl,
		DataCentre:   coltsidentity.DataCentre(c.cfg.Settings.DataCentre),
		PeerAddr:     c.Addr(),
		OperatorAddr: c.OperatorAddr(),
		Started:      c.started,
		Revision:     c.Revision(),
		Ready:        c.inTouch(),
	}
	c.roster.Heartbeat(self, c.cfg.Now())
	c.reported.Broadcast()
	leader, err := c.leaderOf(false)
	if err != nil || leader == nil {
		return
	}
	// One that is lost is made up for by the next.
	callCtx, cancel := context.WithTimeout(ctx, beatPeriod)
	defer cancel()
	_, _ = leader.Heartbeat(callCtx, &coltspb.HeartbeatRequest{Member: coltswire.EncodeMember(self), Forwarded: true})
}

// Shutdown ends calls under way and closes the journal.
func (c *Control) Shutdown() error {
	c.log.Info("Stopping.", nil)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	// Questions that wait for a newer document would hold the server open.
	c.stop()
	c.revised.Broadcast()
	c.reported.Broadcast()
	c.led.Broadcast()
	err := c.server.Shutdown(ctx)
	if err != nil {
		err = c.server.Close()
	}
	_ = c.operator.ShutdownWithContext(ctx)
	c.loops.Wait()
	c.driver.others.wait()
	if closeErr := c.driver.close(); err == nil {
		err = closeErr
	}
	c.log.Info("Stopped.", nil)
	return errors.Wrap(err, "stop control")
}

// Spend returns what organisations used, by organisation and item.
func (c *Control) Spend() []coltsusage.Line {
	return c.machine.Account.Spend()
}
