// Package coltscontrol implements a control instance: it replicates the state machine of coltsstate
// through a log on disk and serves the state to entries and operators.
package coltscontrol

// This file creates, starts and stops a control instance. Durable state goes through the
// replicated log. The roster is soft state: every instance renews its own entry by heartbeats.

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsevacuation"
	"coltsfootstall/coltsfront"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsjournal"
	"coltsfootstall/coltslink"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsloop"
	"coltsfootstall/coltsmembership"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltspoison"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltsresponse"
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
	// rosterHeartbeatInterval is how often a control instance sends its own heartbeat.
	rosterHeartbeatInterval = time.Second
	// shutdownTimeout bounds the wait for running calls at a shutdown.
	shutdownTimeout = 3 * time.Second
	// compressMinBytes is the size from which a reply is compressed: only large route tables are
	// longer.
	compressMinBytes = 256 << 10
)

// Config holds a control instance's settings and dependencies.
type Config struct {
	Settings coltssettings.Settings
	Log      *coltslog.Log
	// Now reads the clock; nil for time.Now.
	Now func() time.Time
	// InitialDocument is the text of the document to put in force when the state is
	// empty. If it is nil, the file named in the settings is read, if there is one.
	InitialDocument []byte
	// Runners calls model runners to roll out weights.
	Runners Runners
	// Stores calls KV cache stores. DecodeTable decodes a route table, which lists the
	// stores.
	Stores      Stores
	DecodeTable func(source []byte) (coltsroute.Table, error)
	// Sync flushes a file to disk; nil for (*os.File).Sync.
	Sync func(*os.File) error
}

// Control is one running control instance.
type Control struct {
	cfg      Config
	settings coltssettings.Control
	log      *coltslog.Logger
	metrics  *coltsmetric.Set
	started  time.Time

	machine *coltsstate.Machine
	roster  *coltsmembership.Roster
	driver  *replicaDriver
	// replicaID is this instance's ID in the replication group. In a group that forms from
	// seeds it belongs to the data folder, so that an instance whose disk was replaced gets a
	// new one, and founders holds the IDs of the group's first voters (empty for an instance
	// that joined later).
	replicaID coltsidentity.Instance
	founders  []coltsidentity.Instance
	// leavers are the members of the group that are stopping, as told to the leader.
	leavers leavers
	// registry holds the upstreams that report to control. registrySource identifies this
	// registry: its revision numbers mean nothing in the registry of another instance or process.
	registry       *coltsregistry.Registry
	registrySource string
	// catalogue lists the parts that the stores hold, and loads the requests that entries
	// have running. Only the leader's are complete.
	catalogue *coltsstore.Catalogue
	// weightAges tells how long ago weight versions were named.
	weightAges weightAges
	loads      *coltsbalance.Loads
	// suspects holds the requests that were running on an upstream when it crashed, as
	// reported by entries.
	suspects *coltsattempt.Quarantine
	// poison finds the parts of prompts that crash upstreams. Only the leader uses it.
	poison *coltspoison.Register
	// warmup deals permits for requests to cold upstreams.
	warmup *warmup
	// routes is the newest route table that this instance has applied, summaries what is needed of the one
	// that was decoded last.
	routes    atomic.Pointer[coltsroute.EncodedTable]
	summaries routeSummaries
	// evacuations is the newest state of the evacuations that this instance has applied, with the
	// times of its own clock. evacuationTimes is used by the driver's loop only.
	evacuations     atomic.Pointer[coltsevacuation.State]
	evacuationTimes coltsevacuation.LocalTimes
	// seeds are the hosts through which the group is found. A reload replaces them.
	seeds atomic.Pointer[[]netip.AddrPort]
	// watchChanged is fired when routes, weights, evacuations, registry or suspects have changed; it
	// wakes Watch calls.
	watchChanged *coltsloop.Signal

	// documentChanged is fired when a document comes into force, rosterChanged when a
	// heartbeat arrives, leaderChanged when the leader changes.
	documentChanged *coltsloop.Signal
	rosterChanged   *coltsloop.Signal
	leaderChanged   *coltsloop.Signal

	listener         net.Listener
	server           *http.Server
	operatorListener net.Listener
	operatorServer   *coltsfront.Server
	// runCtx is cancelled by cancel when the instance shuts down.
	runCtx context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// Open is like New, but waits until ctx ends while the disk refuses the files that the first start on an
// empty disk needs. Later starts write none.
func Open(ctx context.Context, cfg Config) (*Control, error) {
	logged := false
	for {
		c, err := New(cfg)
		if !coltsjournal.IsRefused(err) || ctx.Err() != nil {
			return c, err
		}
		if !logged {
			cfg.Log.Logger("control").Error("The disk refuses writes; the instance starts once it accepts them.", coltslog.Fields{"error": err})
		}
		logged = true
		coltsloop.Sleep(ctx, diskRetryPeriod)
	}
}

// New returns a control instance with its state restored from disk. It does not listen yet.
func New(cfg Config) (*Control, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	c := &Control{
		cfg:             cfg,
		settings:        cfg.Settings.Control,
		log:             cfg.Log.Logger("control"),
		metrics:         coltsmetric.NewSet(),
		started:         cfg.Now(),
		machine:         coltsstate.NewMachine(),
		roster:          coltsmembership.NewRoster(),
		documentChanged: coltsloop.NewSignal(),
		rosterChanged:   coltsloop.NewSignal(),
		leaderChanged:   coltsloop.NewSignal(),
		watchChanged:    coltsloop.NewSignal(),

		catalogue: coltsstore.NewCatalogue(),
		loads:     coltsbalance.NewLoads(),
		suspects:  coltsattempt.NewQuarantine(coltsattempt.QuarantineConfig{Crashes: coltsattempt.GatewayCrashes}),
		poison:    coltspoison.NewRegister(),
		registry:  coltsregistry.NewRegistry(coltsregistry.Config{SilentAfter: cfg.Settings.Control.SilentAfter}),
	}
	c.weightAges.startedAt = c.started
	c.warmup = newWarmup(c)
	c.registrySource = string(c.id()) + " " + c.started.Format(time.RFC3339Nano)
	c.routes.Store(&coltsroute.EncodedTable{})
	c.evacuations.Store(&coltsevacuation.State{})
	c.seeds.Store(&c.settings.Seeds)
	if err := c.loadInitialDocument(); err != nil {
		return nil, err
	}
	if err := c.loadIdentity(); err != nil {
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

// Start opens the listeners and starts the background loops.
func (c *Control) Start() error {
	var err error
	c.listener, err = net.Listen("tcp", c.settings.Addr.String())
	if err != nil {
		return errors.Wrap(err, "listen for instances")
	}
	c.operatorListener, err = net.Listen("tcp", c.settings.OperatorAddr.String())
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	mux := http.NewServeMux()
	// Compressing the many short replies would cost more time than their bytes.
	mux.Handle(coltspbconnect.NewControlHandler(&controlServer{c: c}, connect.WithCompressMinBytes(compressMinBytes)))
	mux.Handle(coltspbconnect.NewReplicaHandler(&replicaServer{d: c.driver}, connect.WithCompressMinBytes(compressMinBytes)))
	c.server = coltslink.NewServer(mux)
	c.operatorServer = coltsfront.NewServer(coltsfront.Config{Listener: c.operatorListener, Handler: c.serveOperator, Name: "coltsfootstall"})
	c.runCtx, c.cancel = context.WithCancel(context.Background())
	c.loops.Go(func() { c.driver.run(c.runCtx) })
	c.driver.peers.start(c.runCtx)
	if c.formsFromSeeds() {
		c.loops.Go(func() { c.maintainGroup(c.runCtx) })
		c.loadRegistry()
		c.loops.Go(func() { c.maintainRegistry(c.runCtx) })
		c.loops.Go(func() { c.saveRegistry(c.runCtx) })
		if c.cfg.DecodeTable != nil {
			c.loops.Go(func() { c.warmup.followRoutes(c.runCtx) })
		}
		if c.cfg.Stores.Events != nil && c.cfg.DecodeTable != nil {
			c.loops.Go(func() { c.followStores(c.runCtx) })
		}
		if c.cfg.Runners.Query != nil && c.cfg.Runners.Order != nil {
			c.loops.Go(func() { c.rollOutWeights(c.runCtx) })
		}
	}
	c.loops.Go(func() { c.bootstrap(c.runCtx) })
	c.loops.Go(func() { c.sendOrders(c.runCtx) })
	c.loops.Go(func() { c.heartbeatLoop(c.runCtx) })
	go c.serve(func() error { return c.server.Serve(c.listener) })
	go c.serve(func() error { return c.operatorServer.Serve() })
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

// stopping reports whether the instance is shutting down.
func (c *Control) stopping() bool { return c.runCtx.Err() != nil }

// Addr returns the address at which other instances and operators' commands call this one.
func (c *Control) Addr() netip.AddrPort { return coltslink.AddrOf(c.listener) }

// OperatorAddr returns the address that serves health, readiness and metrics.
func (c *Control) OperatorAddr() netip.AddrPort { return coltslink.AddrOf(c.operatorListener) }

// Failed returns a channel that is closed when a committed entry can't be applied, as by an earlier release.
// The instance then takes no part in the group any more.
func (c *Control) Failed() <-chan struct{} { return c.driver.failed }

// Reload applies the only setting that can change while the instance runs: the seeds.
func (c *Control) Reload(s coltssettings.Settings) {
	seeds := s.Control.Seeds
	if len(seeds) > 0 {
		c.seeds.Store(&seeds)
	}
	c.log.Info("Seeds known.", coltslog.Fields{"seeds": seeds})
}

// ReplicaID returns this instance's ID in the replication group.
func (c *Control) ReplicaID() coltsidentity.Instance { return c.replicaID }

// Leads reports whether this instance leads the group.
func (c *Control) Leads() bool { return c.driver.view.Load().isLeader }

// Voters returns the group's voters as this instance knows them, or nil while its state may
// be stale.
func (c *Control) Voters() []coltsidentity.Instance {
	if !c.stateFresh() {
		return nil
	}
	return c.driver.view.Load().configuration.Voters
}

// Metrics returns the instance's metrics.
func (c *Control) Metrics() *coltsmetric.Set { return c.metrics }

// countUnreadable reports whether err is due to an answer that is not HTTP/1.1, and counts it then.
func (c *Control) countUnreadable(err error) bool {
	unreadable := coltsresponse.IsUnreadable(err)
	if unreadable {
		c.metrics.Add(coltsmetric.UnreadableAnswers, 1)
	}
	return unreadable
}

// CountPanic counts an unexpected error that ended a call or a step of a loop.
func (c *Control) CountPanic() { c.metrics.Add(coltsmetric.Panics, 1) }

// Revision returns the document's revision in force.
func (c *Control) Revision() coltsdocument.Revision {
	return c.machine.Register.Current().Revision
}

// heartbeatLoop sends this instance's heartbeats until ctx ends: periodically, and whenever a
// document comes into force.
func (c *Control) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(rosterHeartbeatInterval)
	defer ticker.Stop()
	for {
		documentChanged := c.documentChanged.Channel()
		c.sendHeartbeat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-documentChanged:
		}
	}
}

func (c *Control) sendHeartbeat(ctx context.Context) {
	self := coltsmembership.Member{
		ID:           c.id(),
		Role:         coltsmembership.RoleControl,
		DataCentre:   coltsidentity.DataCentre(c.cfg.Settings.DataCentre),
		PeerAddr:     c.Addr(),
		OperatorAddr: c.OperatorAddr(),
		Started:      c.started,
		Revision:     c.Revision(),
		Ready:        c.stateFresh(),
	}
	c.roster.Heartbeat(self, c.cfg.Now())
	c.rosterChanged.Broadcast()
	leader, err := c.leaderClient(false)
	if err != nil || leader == nil {
		return
	}
	// Errors are ignored: the next heartbeat makes up for a lost one.
	callCtx, cancel := context.WithTimeout(ctx, rosterHeartbeatInterval)
	defer cancel()
	_, _ = leader.Heartbeat(callCtx, &coltspb.HeartbeatRequest{Member: coltswire.EncodeMember(self), Forwarded: true})
}

// Shutdown passes this instance's vote on, stops the servers and loops, waits for running calls and closes the journal.
func (c *Control) Shutdown() error {
	c.log.Info("Stopping.", nil)
	c.handOverVote()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	// Wake the long-polling calls: they would keep the server from shutting down.
	c.cancel()
	c.documentChanged.Broadcast()
	c.rosterChanged.Broadcast()
	c.leaderChanged.Broadcast()
	err := c.server.Shutdown(ctx)
	if err != nil {
		err = c.server.Close()
	}
	_ = c.operatorServer.Shutdown(ctx)
	c.loops.Wait()
	c.driver.peers.wait()
	if closeErr := c.driver.close(); err == nil {
		err = closeErr
	}
	c.log.Info("Stopped.", nil)
	return errors.Wrap(err, "stop control")
}

// Spend returns the usage of all organisations, one line for each organisation and item.
func (c *Control) Spend() []coltsusage.Line {
	return c.machine.Account.Spend()
}
