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
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslink"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmembership"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltssettings"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltsusage"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

const (
	// beatPeriod is how often an instance renews its own entry in the roster.
	beatPeriod = time.Second
	// closeTimeout bounds the end of calls under way at a shutdown.
	closeTimeout = 3 * time.Second
	// bootstrapTimeout bounds the putting in force of the initial document.
	bootstrapTimeout = 30 * time.Second
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
	journal *stateLog
	// revised is fired when a document comes into force, reported when an
	// instance reports itself.
	revised  *signal
	reported *signal

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
		revised:  newSignal(),
		reported: newSignal(),
	}
	journal, err := openStateLog(c)
	if err != nil {
		return nil, err
	}
	c.journal = journal
	return c, nil
}

// Start listens, begins the loops, and puts the initial document in force if the
// state is empty.
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
	c.server = coltslink.NewServer(mux)
	c.operator = &fasthttp.Server{Handler: c.serveOperator, Name: "coltsfootstall", CloseOnShutdown: true}
	c.running, c.stop = context.WithCancel(context.Background())
	c.loops.Go(func() { c.journal.run(c.running) })
	c.loops.Go(func() { c.beat(c.running) })
	go c.serve(func() error { return c.server.Serve(c.listener) })
	go c.serve(func() error { return c.operator.Serve(c.operators) })
	if err := c.bootstrap(); err != nil {
		return err
	}
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
func (c *Control) Addr() netip.AddrPort { return addrOf(c.listener) }

// OperatorAddr returns where operators find health, readiness and metrics.
func (c *Control) OperatorAddr() netip.AddrPort { return addrOf(c.operators) }

// Revision returns the document's revision in force.
func (c *Control) Revision() coltsdocument.Revision {
	return c.machine.Register.Current().Revision
}

func addrOf(ln net.Listener) netip.AddrPort {
	tcp, ok := ln.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return tcp.AddrPort()
}

// beat renews this instance's own entry in the roster until ctx ends.
func (c *Control) beat(ctx context.Context) {
	ticker := time.NewTicker(beatPeriod)
	defer ticker.Stop()
	for {
		c.reportSelf()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.revised.wait():
		}
	}
}

func (c *Control) reportSelf() {
	c.roster.Heartbeat(coltsmembership.Member{
		ID:           coltsidentity.Instance(c.cfg.Settings.Instance),
		Role:         coltsmembership.RoleControl,
		DataCentre:   coltsidentity.DataCentre(c.cfg.Settings.DataCentre),
		PeerAddr:     c.Addr(),
		OperatorAddr: c.OperatorAddr(),
		Started:      c.started,
		Revision:     c.Revision(),
		Ready:        true,
	}, c.cfg.Now())
	c.reported.fire()
}

// bootstrap puts the initial document in force, section by section, if no
// section was ever accepted. Operators come last: from then on reviews count.
func (c *Control) bootstrap() error {
	text, err := c.initialDocument()
	if err != nil || len(text) == 0 || c.Revision() > 0 {
		return err
	}
	if _, problems := coltscodec.DecodeDocument(text); len(problems) > 0 {
		return &coltsdocument.InvalidError{Problems: problems}
	}
	sources, _ := coltscodec.SplitDocument(text)
	ctx, cancel := context.WithTimeout(context.Background(), bootstrapTimeout)
	defer cancel()
	for _, name := range bootstrapOrder {
		for _, source := range sources {
			if source.Name != name {
				continue
			}
			if err := c.bootstrapSection(ctx, source); err != nil {
				return err
			}
		}
	}
	c.log.Info("Initial document in force.", coltslog.Fields{"revision": c.Revision()})
	return nil
}

// bootstrapOrder is an order in which every section's references are in force
// before it.
var bootstrapOrder = []coltsdocument.SectionName{
	coltsdocument.SectionModels,
	coltsdocument.SectionPricing,
	coltsdocument.SectionObjectives,
	coltsdocument.SectionUpstreams,
	coltsdocument.SectionOrganisations,
	coltsdocument.SectionOperators,
}

func (c *Control) initialDocument() ([]byte, error) {
	if c.cfg.InitialDocument != nil || c.settings.InitialDocument == "" {
		return c.cfg.InitialDocument, nil
	}
	text, err := os.ReadFile(c.settings.InitialDocument)
	return text, errors.Wrap(err, "read initial document")
}

func (c *Control) bootstrapSection(ctx context.Context, source coltscodec.SectionSource) error {
	content, _ := coltscodec.DecodeSection(source.Name, source.Text)
	id := coltsidentity.Change("initial-" + string(source.Name))
	result, err := c.journal.submit(ctx, coltsstate.Command{
		Kind: coltsstate.CommandPropose,
		Propose: coltsdocument.Change{
			ID:        id,
			Section:   source.Name,
			Base:      c.Revision(),
			Content:   content,
			Text:      string(source.Text),
			Bootstrap: true,
		},
	})
	if err == nil && result.Err == nil {
		result, err = c.journal.submit(ctx, coltsstate.Command{
			Kind:   coltsstate.CommandAccept,
			Accept: coltsstate.Step{Change: id},
		})
	}
	if err == nil {
		err = result.Err
	}
	return errors.Wrapf(err, "put initial section %s in force", source.Name)
}

// Shutdown ends calls under way and closes the journal.
func (c *Control) Shutdown() error {
	c.log.Info("Stopping.", nil)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	// Questions that wait for a newer document would hold the server open.
	c.stop()
	c.revised.fire()
	c.reported.fire()
	err := c.server.Shutdown(ctx)
	if err != nil {
		err = c.server.Close()
	}
	_ = c.operator.ShutdownWithContext(ctx)
	c.loops.Wait()
	if closeErr := c.journal.close(); err == nil {
		err = closeErr
	}
	c.log.Info("Stopped.", nil)
	return errors.Wrap(err, "stop control")
}

// Spend returns what organisations used, by organisation and item.
func (c *Control) Spend() []coltsusage.Line {
	return c.machine.Account.Spend()
}
