// Package coltsentry is an entry instance: the adapter that serves callers and
// upstreams over HTTP and drives the decisions of coltsrequest.
package coltsentry

// The parts of an entry are put together here and nowhere else. Each listener
// has a file of its own, and so has each loop that talks to other instances.

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltscache"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmembership"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsobjective"
	"coltsfootstall/coltsorganisation"
	"coltsfootstall/coltsrequest"
	"coltsfootstall/coltsrouting"
	"coltsfootstall/coltssettings"
	"coltsfootstall/coltsupstream"
	"coltsfootstall/coltsusage"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
)

const (
	// backgroundWorkers bound the exports, settlements and messages to peers
	// that run beside requests.
	backgroundWorkers = 64
	// backgroundQueue bounds those that wait; further ones are dropped, except
	// settlements, which wait for room.
	backgroundQueue = 4096
	// isolationTimeout is how long an entry may hear nobody before it counts as
	// isolated.
	isolationTimeout = 10 * time.Second
	// attemptQueue bounds the requests that wait for one of max-under-way.
	attemptQueue = 1024
)

// Config says what an entry is made of.
type Config struct {
	Settings coltssettings.Settings
	Log      *coltslog.Log
	// Now reads the clock; nil for time.Now.
	Now func() time.Time
	// Dial makes connections to upstreams; nil for TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// Entry is one running entry instance.
type Entry struct {
	cfg      Config
	settings coltssettings.Entry
	log      *coltslog.Part
	metrics  *coltsmetric.Set
	started  time.Time

	index atomic.Pointer[coltsdocument.Index]
	// text is the document in force as it is passed on.
	text atomic.Pointer[coltspb.DocumentText]
	// revising is held while a document comes into force.
	revising sync.Mutex
	// heardAt is when control or another entry was last heard.
	heardAt     atomic.Pointer[time.Time]
	fleet       *coltsfleet.Fleet
	directory   *coltscache.Directory
	quarantine  *coltsattempt.Quarantine
	recorder    *coltsobjective.Recorder
	meter       *coltsusage.Meter
	batcher     *coltsusage.Batcher
	coordinator *coltsrequest.Coordinator
	client      *coltsupstream.Client
	control     *controlLink
	peers       *peerLink

	// attempts carries requests up to their first token, background all that no
	// caller waits for.
	attempts   pond.Pool
	background pond.Pool

	listeners listeners
	draining  atomic.Bool
	// stop ends the loops; loops is done when they have ended.
	stop  context.CancelFunc
	loops sync.WaitGroup
}

// New returns an entry that serves nobody yet.
func New(cfg Config) (*Entry, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	policy, known := coltsrouting.New(cfg.Settings.Entry.RoutingPolicy)
	if !known {
		return nil, errors.Errorf("there is no routing policy %q", cfg.Settings.Entry.RoutingPolicy)
	}
	e := &Entry{
		cfg:        cfg,
		settings:   cfg.Settings.Entry,
		log:        cfg.Log.Part("entry"),
		metrics:    coltsmetric.NewSet(),
		started:    cfg.Now(),
		fleet:      coltsfleet.New(),
		directory:  coltscache.NewDirectory(),
		quarantine: coltsattempt.NewQuarantine(coltsattempt.QuarantineConfig{}),
		recorder:   coltsobjective.NewRecorder(),
		meter:      coltsusage.NewMeter(),
		background: pond.NewPool(backgroundWorkers, pond.WithQueueSize(backgroundQueue)),
	}
	e.attempts = pond.NewPool(e.settings.MaxUnderWay, pond.WithQueueSize(attemptQueue), pond.WithNonBlocking(true))
	e.index.Store(coltsdocument.NewIndex(coltsdocument.Document{}))
	e.batcher = coltsusage.NewBatcher(e.meter, coltsusage.Source{Instance: e.id(), Started: e.started})
	e.coordinator = e.newCoordinator(policy)
	e.client = e.newClient()
	e.control = newControlLink(e)
	e.peers = newPeerLink(e)
	return e, nil
}

func (e *Entry) newCoordinator(policy *coltsrouting.Policy) *coltsrequest.Coordinator {
	return coltsrequest.NewCoordinator(coltsrequest.Config{
		Document:          e.document,
		Admission:         coltsorganisation.NewAdmission(),
		Fleet:             e.fleet,
		Directory:         e.directory,
		Links:             coltscache.NewLinks(),
		Budget:            coltsattempt.NewBudget(),
		Quarantine:        e.quarantine,
		Policy:            policy,
		MaxAttempts:       e.settings.MaxAttempts,
		MaxQueueWait:      e.settings.MaxQueue,
		KeepCache:         e.settings.KeepCache,
		ObserveFirstToken: e.observeFirstToken,
		OnCrash:           func(s coltsattempt.Suspect) { e.peers.tellSuspect(s) },
	})
}

func (e *Entry) newClient() *coltsupstream.Client {
	return coltsupstream.New(coltsupstream.Config{
		Dial:           e.cfg.Dial,
		Now:            e.cfg.Now,
		SilenceTimeout: e.settings.SilenceTimeout,
		ProbeTimeout:   e.settings.ProbeTimeout,
		OnSilent:       func(netip.AddrPort) { e.metrics.Add(coltsmetric.Silent, 1) },
		OnCrossed:      func(netip.AddrPort) { e.metrics.Add(coltsmetric.Crossed, 1) },
	})
}

func (e *Entry) id() coltsidentity.Instance {
	return coltsidentity.Instance(e.cfg.Settings.Instance)
}

// document returns the document in force.
func (e *Entry) document() coltsdocument.Document {
	return e.index.Load().Document
}

// takeDocument puts a document in force that another instance has sent.
func (e *Entry) takeDocument(m *coltspb.DocumentText) error {
	if coltsdocument.Revision(m.GetRevision()) <= e.document().Revision {
		return nil
	}
	d, err := coltswire.DecodeDocument(m)
	if err != nil {
		return errors.Wrap(err, "document from another instance")
	}
	e.putInForce(d, m)
	return nil
}

// putInForce takes in a newer document. Revisions only rise, whichever instances
// send them at once.
func (e *Entry) putInForce(d coltsdocument.Document, text *coltspb.DocumentText) {
	e.revising.Lock()
	defer e.revising.Unlock()
	if d.Revision <= e.document().Revision {
		return
	}
	e.text.Store(text)
	e.index.Store(coltsdocument.NewIndex(d))
	e.metrics.Put(coltsmetric.Revision, int64(d.Revision))
	forgotten := e.fleet.Reconsider(d)
	e.log.Info("Document in force.", coltslog.Fields{"revision": d.Revision, "upstreams-forgotten": forgotten})
	e.control.announce()
}

// heard takes in a sign of life of control or of another entry.
func (e *Entry) heard() {
	now := e.cfg.Now()
	e.heardAt.Store(&now)
	e.metrics.Put(coltsmetric.DocumentAgeMilli, now.UnixMilli())
}

// isolated says that neither control nor another entry was heard for long. Such
// an instance can't learn of changes, so callers should go elsewhere. While
// control alone is down, entries hear each other and go on serving.
func (e *Entry) isolated() bool {
	last := e.heardAt.Load()
	return last != nil && e.cfg.Now().Sub(*last) > isolationTimeout
}

func (e *Entry) observeFirstToken(p coltsrequest.Prompt, took time.Duration, now time.Time) {
	e.metrics.Add(coltsmetric.FirstTokens, 1)
	e.metrics.Add(coltsmetric.FirstTokenMicros, took.Microseconds())
	e.recorder.RecordFirstToken(e.document().Sections.Objectives, p.Organisation.ID, p.Model, took, now)
}

// charge counts what a request used.
func (e *Entry) charge(c coltsrequest.Charge) {
	if c.Tokens == (coltsusage.Tokens{}) {
		return
	}
	e.metrics.Add(coltsmetric.TokensComputed, c.Tokens.Computed)
	e.metrics.Add(coltsmetric.TokensReused, c.Tokens.Reused)
	e.meter.Add(coltsusage.Line{
		Organisation: c.Organisation,
		Item:         string(c.Model),
		Amounts: coltsusage.Amounts{
			Requests:  1,
			Computed:  c.Tokens.Computed,
			Reused:    c.Tokens.Reused,
			Generated: c.Tokens.Generated,
			Micros:    c.Micros,
		},
	})
}

// ready says whether callers should be sent here: a document is in force, and the
// instance is neither shutting down nor isolated.
func (e *Entry) ready() bool {
	return !e.draining.Load() && e.document().Revision > 0 && !e.isolated()
}

// member is the entry as it reports itself.
func (e *Entry) member() coltsmembership.Member {
	return coltsmembership.Member{
		ID:           e.id(),
		Role:         coltsmembership.RoleEntry,
		DataCentre:   coltsidentity.DataCentre(e.cfg.Settings.DataCentre),
		PeerAddr:     e.listeners.peerAddr(),
		OperatorAddr: e.listeners.operatorAddr(),
		Started:      e.started,
		Revision:     e.document().Revision,
		Ready:        e.ready(),
	}
}

// Start listens and begins the loops. The entry is ready once a control instance
// has told it the document in force.
func (e *Entry) Start() error {
	if err := e.listeners.open(e); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	e.loops.Go(func() { e.control.follow(ctx) })
	e.loops.Go(func() { e.control.beat(ctx) })
	e.loops.Go(func() { e.peers.spread(ctx) })
	e.loops.Go(func() { e.peers.compare(ctx) })
	e.loops.Go(func() { e.reportUsage(ctx) })
	e.log.Info("Started.", coltslog.Fields{
		"callers":   e.CallerAddr(),
		"upstreams": e.UpstreamAddr(),
		"peers":     e.listeners.peerAddr(),
		"operators": e.OperatorAddr(),
	})
	return nil
}

// CallerAddr returns where callers are served.
func (e *Entry) CallerAddr() netip.AddrPort { return e.listeners.callerAddr() }

// UpstreamAddr returns where upstreams announce themselves.
func (e *Entry) UpstreamAddr() netip.AddrPort { return e.listeners.upstreamAddr() }

// OperatorAddr returns where operators find health, readiness and metrics.
func (e *Entry) OperatorAddr() netip.AddrPort { return e.listeners.operatorAddr() }

// Ready says whether callers can be served.
func (e *Entry) Ready() bool { return e.ready() }

// Metrics returns the entry's metrics.
func (e *Entry) Metrics() *coltsmetric.Set { return e.metrics }

// Upstreams returns the number of live upstreams that the entry knows.
func (e *Entry) Upstreams() int { return len(e.fleet.All(e.document(), e.cfg.Now())) }

// Suspects returns the requests that are suspected of crashing upstreams.
func (e *Entry) Suspects() []coltsattempt.Suspect { return e.quarantine.Suspects(e.cfg.Now()) }
