// Package coltsentry implements the entry instance: it serves callers, upstreams, peers and
// operators over HTTP and carries out the decisions of coltsrequest.
package coltsentry

// This file creates and connects the components of an entry. Each listener's handlers,
// and each client of other instances, have a file of their own.

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
	"coltsfootstall/coltsbody"
	"coltsfootstall/coltscache"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsdrain"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsfront"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmembership"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsobjective"
	"coltsfootstall/coltsorganisation"
	"coltsfootstall/coltsrequest"
	"coltsfootstall/coltsresponse"
	"coltsfootstall/coltsrouting"
	"coltsfootstall/coltssettings"
	"coltsfootstall/coltsupstream"
	"coltsfootstall/coltsusage"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
)

const (
	// backgroundWorkers is the maximum number of background tasks that run at once:
	// exports, cancellations, retried settlements and withdrawals, and suspects for peers.
	backgroundWorkers = 64
	// backgroundQueueSize is the maximum number of queued background tasks. Further ones
	// are dropped, except settlements and withdrawals, which wait for space.
	backgroundQueueSize = 4096
	// isolationTimeout is how long an entry may be without contact with control and other
	// entries before it counts as isolated.
	isolationTimeout = 10 * time.Second
	// attemptQueueSize is the maximum number of requests that are queued while the number of
	// in-flight requests is at its maximum (setting max-under-way).
	attemptQueueSize = 1024
)

// Config is the configuration of an entry.
type Config struct {
	Settings coltssettings.Settings
	Log      *coltslog.Log
	// Now returns the current time; nil for time.Now.
	Now func() time.Time
	// Dial opens connections to upstreams; nil for TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// Entry is one running entry instance.
type Entry struct {
	cfg      Config
	settings coltssettings.Entry
	log      *coltslog.Logger
	metrics  *coltsmetric.Set
	started  time.Time

	// index holds the current document.
	index atomic.Pointer[coltsdocument.Index]
	// encodedDocument is the current document as it is sent to peers.
	encodedDocument atomic.Pointer[coltspb.DocumentText]
	// documentMu is held while a newer document is applied.
	documentMu sync.Mutex
	// lastContact is when control or another entry was last in contact; nil if there was
	// no contact yet.
	lastContact atomic.Pointer[time.Time]
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

	// attempts runs calls, and prompts up to their first token. background runs tasks
	// that no caller waits for.
	attempts   pond.Pool
	background pond.Pool

	listeners listeners
	// intake reads the bodies of requests, shed counts what is refused or closed for want of room.
	intake *coltsbody.Intake
	shed   *coltsfront.ShedLog
	// drainPlan is set when a shutdown begins.
	drainPlan atomic.Pointer[coltsdrain.Plan]
	// stop ends the background loops; loops waits for them.
	stop  context.CancelFunc
	loops sync.WaitGroup
}

// New returns an entry. It serves no requests until Start is called.
func New(cfg Config) (*Entry, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	policy, known := coltsrouting.New(cfg.Settings.Entry.RoutingPolicy)
	if !known {
		return nil, errors.Errorf("unknown routing policy %q", cfg.Settings.Entry.RoutingPolicy)
	}
	e := &Entry{
		cfg:        cfg,
		settings:   cfg.Settings.Entry,
		log:        cfg.Log.Logger("entry"),
		metrics:    coltsmetric.NewSet(),
		started:    cfg.Now(),
		fleet:      coltsfleet.New(),
		directory:  coltscache.NewDirectory(),
		quarantine: coltsattempt.NewQuarantine(coltsattempt.QuarantineConfig{}),
		recorder:   coltsobjective.NewRecorder(),
		meter:      coltsusage.NewMeter(),
		background: pond.NewPool(backgroundWorkers, pond.WithQueueSize(backgroundQueueSize)),
	}
	e.attempts = pond.NewPool(
		e.settings.MaxInFlight, pond.WithQueueSize(attemptQueueSize), pond.WithNonBlocking(true))
	e.shed = coltsfront.NewShedLog(e.log, e.metrics)
	e.intake = e.newIntake()
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
		Admission:         coltsorganisation.NewAdmissionController(),
		Fleet:             e.fleet,
		Directory:         e.directory,
		Links:             coltscache.NewLinks(),
		Budget:            coltsattempt.NewRetryBudget(),
		Quarantine:        e.quarantine,
		Policy:            policy,
		MaxAttempts:       e.settings.MaxAttempts,
		MaxQueueWait:      e.settings.MaxQueueWait,
		KeepCache:         e.settings.KeepCache,
		ObserveFirstToken: e.observeFirstToken,
		OnSuspect:         func(s coltsattempt.Suspect) { e.peers.gossipSuspect(s) },
	})
}

func (e *Entry) newClient() *coltsupstream.Client {
	return coltsupstream.New(coltsupstream.Config{
		Dial:             e.cfg.Dial,
		Now:              e.cfg.Now,
		SilenceTimeout:   e.settings.SilenceTimeout,
		ProbeTimeout:     e.settings.ProbeTimeout,
		OnUnresponsive:   func(netip.AddrPort) { e.metrics.Add(coltsmetric.SilentConnections, 1) },
		OnWrongRequestID: func(netip.AddrPort) { e.metrics.Add(coltsmetric.WrongRequestIDs, 1) },
		OnBrokenAnswer:   e.recordBrokenAnswer,
	})
}

// recordBrokenAnswer counts and logs an upstream's answer that is not HTTP/1.1 or was interrupted.
func (e *Entry) recordBrokenAnswer(upstream netip.AddrPort, err error) {
	metric := coltsmetric.InterruptedAnswers
	if coltsresponse.IsUnreadable(err) {
		metric = coltsmetric.UnreadableAnswers
	}
	e.metrics.Add(metric, 1)
	e.log.Info("An upstream's answer was broken.", coltslog.Fields{"address": upstream, "cause": err})
}

func (e *Entry) id() coltsidentity.Instance {
	return coltsidentity.Instance(e.cfg.Settings.Instance)
}

// document returns the current document.
func (e *Entry) document() coltsdocument.Document {
	return e.index.Load().Document
}

// receiveDocument applies a document from another instance if it is newer.
func (e *Entry) receiveDocument(m *coltspb.DocumentText) error {
	if coltsdocument.Revision(m.GetRevision()) <= e.document().Revision {
		return nil
	}
	d, err := coltswire.DecodeDocument(m)
	if err != nil {
		return errors.Wrap(err, "decode document from another instance")
	}
	e.applyDocument(d, m)
	return nil
}

// applyDocument makes d the current document if it is newer. The revision never decreases,
// even if several instances send documents concurrently.
func (e *Entry) applyDocument(d coltsdocument.Document, encoded *coltspb.DocumentText) {
	e.documentMu.Lock()
	defer e.documentMu.Unlock()
	if d.Revision <= e.document().Revision {
		return
	}
	e.encodedDocument.Store(encoded)
	e.index.Store(coltsdocument.NewIndex(d))
	e.metrics.Put(coltsmetric.Revision, int64(d.Revision))
	removed := e.fleet.RemoveUntrusted(d)
	e.log.Info("Applied a new document.",
		coltslog.Fields{"revision": d.Revision, "upstreams-forgotten": removed})
	e.control.requestHeartbeat()
}

// recordContact records a successful call to or from control or another entry.
func (e *Entry) recordContact() {
	now := e.cfg.Now()
	e.lastContact.Store(&now)
	e.metrics.Put(coltsmetric.LastContactMillis, now.UnixMilli())
}

// isolated reports whether the entry has had no contact with control or another entry for
// isolationTimeout. Such an instance gets no updates, so callers should be sent elsewhere.
// While only control is down, the entries are in contact with each other and keep serving.
// An entry that never had contact is not isolated.
func (e *Entry) isolated() bool {
	last := e.lastContact.Load()
	return last != nil && e.cfg.Now().Sub(*last) > isolationTimeout
}

func (e *Entry) observeFirstToken(p coltsrequest.Prompt, firstToken time.Duration, now time.Time) {
	e.metrics.Add(coltsmetric.FirstTokens, 1)
	e.metrics.Add(coltsmetric.FirstTokenMicros, firstToken.Microseconds())
	e.recorder.RecordFirstToken(e.document().Sections.Objectives, p.Organisation.ID, p.Model, firstToken, now)
}

// recordUsage adds the tokens and the cost of a request to the metrics and the usage
// meter.
func (e *Entry) recordUsage(c coltsrequest.Charge) {
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

// ready reports whether callers should be sent to this instance: it has a document and is
// neither shutting down nor isolated.
func (e *Entry) ready() bool {
	return !e.isDraining() && e.document().Revision > 0 && !e.isolated()
}

// member returns the entry's description for heartbeats.
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

// Start opens the listeners and starts the background loops. The entry is ready once it
// has received a document.
func (e *Entry) Start() error {
	if err := e.listeners.open(e); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	e.loops.Go(func() { e.control.follow(ctx) })
	e.loops.Go(func() { e.control.sendHeartbeats(ctx) })
	e.loops.Go(func() { e.peers.gossip(ctx) })
	e.loops.Go(func() { e.peers.runAntiEntropy(ctx) })
	e.loops.Go(func() { e.reportUsage(ctx) })
	e.log.Info("Started.", coltslog.Fields{
		"callers":   e.CallerAddr(),
		"upstreams": e.UpstreamAddr(),
		"peers":     e.listeners.peerAddr(),
		"operators": e.OperatorAddr(),
	})
	return nil
}

// CallerAddr returns the address of the callers' listener.
func (e *Entry) CallerAddr() netip.AddrPort { return e.listeners.callerAddr() }

// UpstreamAddr returns the address to which upstreams send announcements and cache events.
func (e *Entry) UpstreamAddr() netip.AddrPort { return e.listeners.upstreamAddr() }

// OperatorAddr returns the address of health, readiness and metrics.
func (e *Entry) OperatorAddr() netip.AddrPort { return e.listeners.operatorAddr() }

// Ready reports whether callers should be sent to this instance.
func (e *Entry) Ready() bool { return e.ready() }

// Metrics returns the entry's metrics.
func (e *Entry) Metrics() *coltsmetric.Set { return e.metrics }

// Upstreams returns the number of live upstreams that the entry knows.
func (e *Entry) Upstreams() int { return len(e.fleet.All(e.document(), e.cfg.Now())) }

// Suspects returns the requests that are suspected of crashing upstreams.
func (e *Entry) Suspects() []coltsattempt.Suspect { return e.quarantine.Suspects(e.cfg.Now()) }
