// Package coltsstandin simulates the three kinds of upstream for tests and development: a
// model runner, a cache store and a plain service. Each can inject faults.
//
// The stand-ins only use the upstream protocol, which docs/UPSTREAMS.md describes.
package coltsstandin

// All kinds of stand-in share how they listen, announce themselves and stop.

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslink"
	"coltsfootstall/coltsloop"
	"coltsfootstall/coltsresponse"
)

const (
	// defaultAnnouncePeriod is the interval between announcements if the configuration sets none.
	defaultAnnouncePeriod = time.Second
	// messageTimeout bounds a message to an entry or another stand-in.
	messageTimeout = time.Second
	// upstreamIdleTimeout is longer than clients keep idle connections, so that the client
	// closes them first.
	upstreamIdleTimeout = time.Minute
	// headerBufferBytes bounds the size of a request's headers, which can be long because they
	// include the list of piece names.
	headerBufferBytes = 64 << 10
)

// Config is the part of the configuration that all kinds of stand-in share.
type Config struct {
	ID         coltsidentity.Upstream
	DataCentre coltsidentity.DataCentre
	// Addr is the address to listen on; port 0 picks a free port.
	Addr netip.AddrPort
	// Entries are the addresses on which entries, the instances that forward requests to
	// upstreams, receive messages from upstreams. Messages go to them in turn, as if through
	// a load balancer.
	Entries []netip.AddrPort
	// AnnouncePeriod is the interval between announcements; zero means one second.
	AnnouncePeriod time.Duration
	// Advertise maps the address listened on to the address to announce; nil announces the
	// address listened on.
	Advertise func(netip.AddrPort) netip.AddrPort
}

// base is the part that all kinds of stand-in share: it serves requests and announces the
// stand-in to the entries.
type base struct {
	cfg      Config
	listener net.Listener
	server   *fasthttp.Server
	client   *fasthttp.Client
	// started is the incarnation in announcements.
	started time.Time
	// announcements counts the announcements, which are numbered from 1.
	announcements atomic.Uint64
	// entryTurn counts the messages to entries and so selects the next entry.
	entryTurn atomic.Uint64
	// leaving is set once the announcements ask that no new work be sent.
	leaving atomic.Bool
	// advertised is announced instead of the listener's address; nil means that the
	// listener's address is announced.
	advertised atomic.Pointer[netip.AddrPort]
	// connections are the open connections, which Crash closes.
	connections connectionSet
	// ctx is cancelled when the stand-in is closed or crashes.
	ctx   context.Context
	stop  context.CancelFunc
	loops sync.WaitGroup
}

// connectionSet holds a server's open connections.
type connectionSet struct {
	mu   sync.Mutex
	open map[net.Conn]bool
}

// track follows the state changes of a connection.
func (s *connectionSet) track(c net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		s.open[c] = true
	case fasthttp.StateClosed:
		delete(s.open, c)
	}
}

func (s *connectionSet) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		_ = c.Close()
	}
}

// start listens, serves requests and announces the stand-in until Close or Crash.
func (b *base) start(cfg Config, handler fasthttp.RequestHandler, announcement func() coltsfleet.Announcement) error {
	b.cfg = cfg
	if b.cfg.AnnouncePeriod == 0 {
		b.cfg.AnnouncePeriod = defaultAnnouncePeriod
	}
	b.started = time.Now()
	b.client = &fasthttp.Client{
		Transport: coltsresponse.Transport{}, ReadTimeout: messageTimeout, WriteTimeout: messageTimeout, NoDefaultUserAgentHeader: true,
	}
	b.connections.open = map[net.Conn]bool{}
	var err error
	b.listener, err = net.Listen("tcp", cfg.Addr.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	b.server = &fasthttp.Server{
		Handler:            withHealth(handler),
		ReadBufferSize:     headerBufferBytes,
		MaxRequestBodySize: 64 << 20,
		IdleTimeout:        upstreamIdleTimeout,
		ConnState:          b.connections.track,
		CloseOnShutdown:    true,
		Logger:             quietLogger{},
	}
	go func() {
		// Serve only returns after Close or Crash, so its error doesn't matter.
		_ = b.server.Serve(b.listener)
	}()
	if cfg.Advertise != nil {
		b.Advertise(cfg.Advertise(b.Addr()))
	}
	b.ctx, b.stop = context.WithCancel(context.Background())
	b.loops.Go(func() { b.announceUntil(b.ctx, announcement) })
	return nil
}

// quietLogger discards the lines that fasthttp logs about connections closed by clients.
type quietLogger struct{}

// Printf discards the line.
func (quietLogger) Printf(string, ...any) {}

// withHealth answers health probes and copies the request's ID into every other answer,
// unless the handler has set an ID.
func withHealth(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == coltscodec.PathHealth {
			ctx.SetBodyString("ok\n")
			return
		}
		handler(ctx)
		// This comes last because ctx.Error resets the headers.
		if len(ctx.Response.Header.Peek(coltscodec.HeaderRequest)) == 0 {
			ctx.Response.Header.SetBytesV(coltscodec.HeaderRequest, ctx.Request.Header.Peek(coltscodec.HeaderRequest))
		}
	}
}

// refuse sends a response which states that the request was not run, and the reason.
func refuse(ctx *fasthttp.RequestCtx, reason string) {
	ctx.Error(reason, fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(coltscodec.HeaderOutcome, "not-run")
}

// Addr returns the address that the stand-in listens on.
func (b *base) Addr() netip.AddrPort {
	return coltslink.AddrOf(b.listener)
}

func (b *base) announceUntil(ctx context.Context, announcement func() coltsfleet.Announcement) {
	b.announceOnce(announcement())
	coltsloop.Every(ctx, b.cfg.AnnouncePeriod, func() { b.announceOnce(announcement()) })
}

// announceOnce sends an announcement to the next entry. Errors are ignored because the next
// announcement replaces a lost one.
func (b *base) announceOnce(a coltsfleet.Announcement) {
	a.ID = b.cfg.ID
	a.Addr = b.Addr()
	if advertised := b.advertised.Load(); advertised != nil {
		a.Addr = *advertised
	}
	a.DataCentre = b.cfg.DataCentre
	a.Incarnation = b.started
	a.Number = b.announcements.Add(1)
	a.Leaving = b.leaving.Load()
	body, err := coltscodec.EncodeAnnouncement(a)
	if err == nil {
		_ = b.post(b.nextEntry(), coltscodec.PathAnnounce, body)
	}
}

// nextEntry returns the entry whose turn it is, or an invalid address if there are no entries.
func (b *base) nextEntry() netip.AddrPort {
	if len(b.cfg.Entries) == 0 {
		return netip.AddrPort{}
	}
	return b.cfg.Entries[b.entryTurn.Add(1)%uint64(len(b.cfg.Entries))]
}

// post sends a message and discards the body of a successful answer. It does nothing if the
// address is invalid.
func (b *base) post(to netip.AddrPort, path string, body []byte) error {
	if !to.IsValid() {
		return nil
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + to.String() + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	err := b.client.DoTimeout(req, resp, messageTimeout)
	if err == nil && resp.StatusCode() >= fasthttp.StatusBadRequest {
		err = errors.Errorf("%s answered status %d: %s", to, resp.StatusCode(), resp.Body())
	}
	return err
}

// Advertise sets the address to announce from now on, such as that of a proxy.
func (b *base) Advertise(addr netip.AddrPort) {
	b.advertised.Store(&addr)
}

// ID returns the name of the upstream.
func (b *base) ID() coltsidentity.Upstream {
	return b.cfg.ID
}

// Alive reports whether the stand-in has neither crashed nor been closed.
func (b *base) Alive() bool {
	return b.ctx.Err() == nil
}

// Leave makes later announcements ask that no new work be sent.
func (b *base) Leave() {
	b.leaving.Store(true)
}

// Close stops announcing and shuts the server down, waiting up to messageTimeout for active
// requests.
func (b *base) Close() error {
	b.stop()
	b.loops.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	return errors.Wrap(b.server.ShutdownWithContext(ctx), "close stand-in")
}

// Crash stops at once and closes every connection.
func (b *base) Crash() {
	b.stop()
	_ = b.listener.Close()
	b.connections.closeAll()
	b.loops.Wait()
}

// announcementOf returns an announcement with only its kind set.
func announcementOf(kind coltsdocument.Kind) coltsfleet.Announcement {
	return coltsfleet.Announcement{Kind: kind}
}
