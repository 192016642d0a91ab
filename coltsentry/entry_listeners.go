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
	"coltsfootstall/coltsbody"
	"coltsfootstall/coltsfront"
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
	// readTimeout bounds reading one request.
	readTimeout = 30 * time.Second
	// writeTimeout bounds writing a response at the upstreams' address, which has less than 1 KB.
	writeTimeout = 5 * time.Second
	// smallBodyBytes is the memory for a small body of each connection.
	smallBodyBytes = 64 << 10
)

// listeners holds the listeners and servers of an entry.
type listeners struct {
	callers   *coltsfront.Server
	upstreams *coltsfront.Server
	operators *coltsfront.Server
	peers     net.Listener
	peerHTTP  *http.Server
}

func (l *listeners) open(e *Entry) error {
	var err error
	l.callers, err = listen(e, e.settings.CallerAddr, e.serveCaller, e.intake, coltswatch.NewListener)
	if err != nil {
		return err
	}
	l.upstreams, err = listen(e, e.settings.UpstreamAddr, e.serveUpstream, e.intake, nil)
	if err != nil {
		return err
	}
	l.operators, err = listen(e, e.settings.OperatorAddr, e.serveOperator, nil, nil)
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
	for _, s := range []*coltsfront.Server{l.callers, l.upstreams, l.operators} {
		go serve(e, s.Serve)
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

// listen opens a listener and returns its server, which reads no bodies if intake is nil. The server accepts
// from wrap's result unless wrap is nil.
func listen(
	e *Entry, addr netip.AddrPort, handler fasthttp.RequestHandler, intake *coltsbody.Intake, wrap func(net.Listener) net.Listener,
) (*coltsfront.Server, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	cfg := coltsfront.Config{
		Handler: guard(e, handler), Intake: intake, MaxConns: e.settings.MaxConns,
		Name: "coltsfootstall", NoDate: true, HeaderBytes: headerBufferBytes,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, OnClosed: e.shed.RecordClosed,
	}
	if wrap != nil {
		// Watched connections bound each write themselves, because a stream may take longer as a whole.
		ln, cfg.WriteTimeout = wrap(ln), 0
	}
	cfg.Listener = ln
	return coltsfront.NewServer(cfg), nil
}

// newIntake returns the intake of the bodies from callers and upstreams. Each connection has room for a
// small body, because bodies are kept while their requests are served.
func (e *Entry) newIntake() *coltsbody.Intake {
	return coltsbody.NewIntake(coltsbody.Config{
		MaxBytes: e.settings.MaxBodyBytes, LargeBytes: e.settings.BodyBytes, SmallBytes: 2 * e.settings.MaxConns * smallBodyBytes,
		Timeout: readTimeout, OnRefused: e.shed.RecordRefused,
	})
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

func (l *listeners) callerAddr() netip.AddrPort   { return l.callers.AddrPort() }
func (l *listeners) upstreamAddr() netip.AddrPort { return l.upstreams.AddrPort() }
func (l *listeners) operatorAddr() netip.AddrPort { return l.operators.AddrPort() }
func (l *listeners) peerAddr() netip.AddrPort     { return coltslink.AddrOf(l.peers) }

// openCallerConns returns the number of open connections from callers.
func (l *listeners) openCallerConns() int {
	return l.callers.OpenConns()
}

// closeCallers refuses new connections from callers and waits until running requests have
// ended or ctx ends.
func (l *listeners) closeCallers(ctx context.Context) error {
	return l.callers.Shutdown(ctx)
}

// closeOthers closes the other listeners. Errors are ignored, since the instance is
// stopping.
func (l *listeners) closeOthers(ctx context.Context) {
	_ = l.upstreams.Shutdown(ctx)
	_ = l.operators.Shutdown(ctx)
	_ = l.peerHTTP.Close()
}
