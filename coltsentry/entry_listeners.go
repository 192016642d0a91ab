package coltsentry

// Callers, upstreams, peers and operators each have their own listener, so that firewall
// rules can separate them and none of them can reach the paths for another.

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltslink"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltswatch"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

const (
	// headerBufferBytes bounds the size of a request's headers; the header with the piece
	// names can be long.
	headerBufferBytes = 64 << 10
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 2 * time.Minute
	// readTimeout bounds reading one request.
	readTimeout = 30 * time.Second
)

// listeners holds the listeners and servers of an entry.
type listeners struct {
	callers   fastServer
	upstreams fastServer
	operators fastServer
	peers     net.Listener
	peerHTTP  *http.Server
}

// fastServer is a fasthttp server with its listener.
type fastServer struct {
	listener net.Listener
	server   *fasthttp.Server
}

func (l *listeners) open(e *Entry) error {
	var err error
	l.callers, err = listen(e, e.settings.CallerAddr, e.serveCaller, e.settings.MaxBodyBytes, coltswatch.NewListener)
	if err != nil {
		return err
	}
	l.upstreams, err = listen(e, e.settings.UpstreamAddr, e.serveUpstream, e.settings.MaxBodyBytes, nil)
	if err != nil {
		return err
	}
	l.operators, err = listen(e, e.settings.OperatorAddr, e.serveOperator, e.settings.MaxBodyBytes, nil)
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
	for _, s := range []fastServer{l.callers, l.upstreams, l.operators} {
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

// listen opens a listener for a fasthttp server. The server accepts from wrap's result
// unless wrap is nil.
func listen(
	e *Entry, addr netip.AddrPort, handler fasthttp.RequestHandler, maxBodyBytes int, wrap func(net.Listener) net.Listener,
) (fastServer, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return fastServer{}, errors.Wrapf(err, "listen on %s", addr)
	}
	if wrap != nil {
		ln = wrap(ln)
	}
	server := &fasthttp.Server{
		Handler:               guard(e, handler),
		Name:                  "coltsfootstall",
		ReadBufferSize:        headerBufferBytes,
		MaxRequestBodySize:    maxBodyBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		Logger:                discardLogger{},
	}
	return fastServer{listener: ln, server: server}, nil
}

// guard returns a handler that answers with an error if handler panics. It is not known whether the
// request has run then.
func guard(e *Entry, handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer func() {
			e.log.HandlePanic(recover(), coltslog.Fields{"path": string(ctx.Path())}, func() {
				e.metrics.Add(coltsmetric.Panics, 1)
				ctx.Response.Reset()
				e.refuse(ctx, coltsattempt.Unknown(coltsattempt.ReasonUnexpected, "an unexpected error ended the request"))
			})
		}()
		handler(ctx)
	}
}

// discardLogger discards fasthttp's own log lines: each is about one connection that a
// client broke, and such connections are counted.
type discardLogger struct{}

// Printf discards the line.
func (discardLogger) Printf(string, ...any) {}

func (l *listeners) callerAddr() netip.AddrPort   { return coltslink.AddrOf(l.callers.listener) }
func (l *listeners) upstreamAddr() netip.AddrPort { return coltslink.AddrOf(l.upstreams.listener) }
func (l *listeners) operatorAddr() netip.AddrPort { return coltslink.AddrOf(l.operators.listener) }
func (l *listeners) peerAddr() netip.AddrPort     { return coltslink.AddrOf(l.peers) }

// openCallerConns returns the number of open connections from callers.
func (l *listeners) openCallerConns() int {
	return int(l.callers.server.GetOpenConnectionsCount())
}

// closeCallers refuses new connections from callers and waits until running requests have
// ended or ctx ends.
func (l *listeners) closeCallers(ctx context.Context) error {
	return l.callers.server.ShutdownWithContext(ctx)
}

// closeOthers closes the other listeners. Errors are ignored, since the instance is
// stopping.
func (l *listeners) closeOthers(ctx context.Context) {
	_ = l.upstreams.server.ShutdownWithContext(ctx)
	_ = l.operators.server.ShutdownWithContext(ctx)
	_ = l.peerHTTP.Close()
}
