package coltsentry

// Callers, upstreams, peers and operators each have a listener of their own, so
// that a network rule can keep them apart and none can reach another's paths.

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltslink"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltswatch"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

const (
	// headerBufferBytes bounds a request's head; names of pieces make it long.
	headerBufferBytes = 64 << 10
	// callerIdleTimeout is how long a caller's idle connection is kept.
	callerIdleTimeout = 2 * time.Minute
	// readTimeout bounds the reading of one request.
	readTimeout = 30 * time.Second
)

// listeners are the open listeners of an entry.
type listeners struct {
	callers   listening
	upstreams listening
	operators listening
	peers     net.Listener
	peerHTTP  *http.Server
}

// listening is a fasthttp server with its listener.
type listening struct {
	listener net.Listener
	server   *fasthttp.Server
}

func (l *listeners) open(e *Entry) error {
	var err error
	l.callers, err = listen(e.settings.CallerAddr, e.serveCaller, e.settings.MaxBodyBytes, coltswatch.NewListener)
	if err != nil {
		return err
	}
	l.upstreams, err = listen(e.settings.UpstreamAddr, e.serveUpstream, e.settings.MaxBodyBytes, nil)
	if err != nil {
		return err
	}
	l.operators, err = listen(e.settings.OperatorAddr, e.serveOperator, e.settings.MaxBodyBytes, nil)
	if err != nil {
		return err
	}
	l.peers, err = net.Listen("tcp", e.settings.PeerAddr.String())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	mux := http.NewServeMux()
	mux.Handle(coltspbconnect.NewPeerHandler(e.peers))
	l.peerHTTP = coltslink.NewServer(mux)
	for _, s := range []listening{l.callers, l.upstreams, l.operators} {
		go serve(e, func() error { return s.server.Serve(s.listener) })
	}
	go serve(e, func() error { return l.peerHTTP.Serve(l.peers) })
	return nil
}

// serve runs a server until it is shut down.
func serve(e *Entry, run func() error) {
	err := run()
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		e.log.Error("A listener failed.", coltslog.Fields{"error": err})
	}
}

// listen opens a fasthttp server; wrap may be nil.
func listen(
	addr netip.AddrPort, handler fasthttp.RequestHandler, maxBody int, wrap func(net.Listener) net.Listener,
) (listening, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return listening{}, errors.Wrapf(err, "listen on %s", addr)
	}
	if wrap != nil {
		ln = wrap(ln)
	}
	server := &fasthttp.Server{
		Handler:               handler,
		Name:                  "coltsfootstall",
		ReadBufferSize:        headerBufferBytes,
		MaxRequestBodySize:    maxBody,
		ReadTimeout:           readTimeout,
		IdleTimeout:           callerIdleTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		Logger:                quietLogger{},
	}
	return listening{listener: ln, server: server}, nil
}

// quietLogger drops fasthttp's own lines: each is about one connection that a
// client broke, and such connections are counted.
type quietLogger struct{}

// Printf does nothing.
func (quietLogger) Printf(string, ...any) {}

func (l *listeners) callerAddr() netip.AddrPort   { return coltslink.AddrOf(l.callers.listener) }
func (l *listeners) upstreamAddr() netip.AddrPort { return coltslink.AddrOf(l.upstreams.listener) }
func (l *listeners) operatorAddr() netip.AddrPort { return coltslink.AddrOf(l.operators.listener) }
func (l *listeners) peerAddr() netip.AddrPort     { return coltslink.AddrOf(l.peers) }

// underWay returns the number of callers' connections.
func (l *listeners) underWay() int {
	return int(l.callers.server.GetOpenConnectionsCount())
}

// closeCallers refuses new connections and waits until running requests ended.
func (l *listeners) closeCallers(ctx context.Context) error {
	return l.callers.server.ShutdownWithContext(ctx)
}

// closeOthers closes the other listeners; their errors say nothing that matters
// to an instance that stops.
func (l *listeners) closeOthers(ctx context.Context) {
	_ = l.upstreams.server.ShutdownWithContext(ctx)
	_ = l.operators.server.ShutdownWithContext(ctx)
	_ = l.peerHTTP.Close()
}
