// Package coltsfront provides the fasthttp servers of instances, with bounds on connections and bodies.
package coltsfront

// A front end for clients that are not trusted to finish their requests, or to read responses. The handler
// gets a request when its head has arrived, and asks for the body when it wants it, so that a request that
// is refused by its head takes no memory for a body.

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsaccept"
	"coltsfootstall/coltsbody"
	"coltsfootstall/coltslink"
)

const (
	// bodilessMaxConns bounds the connections of a server that reads no bodies: probes and operators.
	bodilessMaxConns = 128
	// bodilessTimeout bounds reading one of their requests, and writing its response.
	bodilessTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 2 * time.Minute
	// closingConns is the number of connections that may be closed already and still have a goroutine.
	closingConns = 256
)

// Config configures a Server.
type Config struct {
	Listener net.Listener
	Handler  fasthttp.RequestHandler
	// Intake reads bodies; nil for a server whose handler reads none. Such a server has bounds of its own
	// in place of the following ones.
	Intake *coltsbody.Intake
	// MaxConns is the number of connections that may be open.
	MaxConns int
	// Name is sent in the header Server; empty for no header. NoDate leaves out the header Date.
	Name   string
	NoDate bool
	// HeaderBytes bounds a request's head; 0 for fasthttp's default.
	HeaderBytes int
	// ReadTimeout bounds reading a head, WriteTimeout writing a response.
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	// OnClosed is called for each connection that is closed for another one; nil for nothing.
	OnClosed func()
}

// Server is a server with bounds.
type Server struct {
	cfg      Config
	listener *coltsaccept.Listener
	server   *fasthttp.Server
}

// NewServer returns a server that does not serve yet.
func NewServer(cfg Config) *Server {
	if cfg.Intake == nil {
		cfg.MaxConns, cfg.ReadTimeout, cfg.WriteTimeout = bodilessMaxConns, bodilessTimeout, bodilessTimeout
	}
	s := &Server{cfg: cfg, listener: coltsaccept.New(coltsaccept.Config{
		Listener: cfg.Listener, MaxConns: cfg.MaxConns, OnClosed: cfg.OnClosed,
	})}
	handler := cfg.Handler
	if cfg.Intake == nil {
		handler = s.serveBodiless
	}
	s.server = &fasthttp.Server{
		Handler:            handler,
		ConnState:          s.recordState,
		Concurrency:        cfg.MaxConns + closingConns,
		ReadBufferSize:     cfg.HeaderBytes,
		ReadTimeout:        cfg.ReadTimeout,
		WriteTimeout:       cfg.WriteTimeout,
		IdleTimeout:        idleTimeout,
		CloseOnShutdown:    true,
		StreamRequestBody:  true,
		MaxRequestBodySize: maxPrefetchBytes,
		// Otherwise a form is read whole before the handler is called, and stored in files.
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		// Otherwise errors quote what was received.
		SecureErrorLogMessage: true,
		Name:                  cfg.Name,
		NoDefaultDate:         cfg.NoDate,
		Logger:                discardLogger{},
	}
	return s
}

// maxPrefetchBytes bounds what fasthttp reads of a body with a length before it calls the handler.
const maxPrefetchBytes = 8 << 10

// discardLogger discards fasthttp's own log lines: each is about one connection that a client broke.
type discardLogger struct{}

// Printf discards the line.
func (discardLogger) Printf(string, ...any) {}

// serveBodiless serves a request of a server that reads no bodies. Its connection is not closed for another one from now
// on, and is closed already if there is no one to answer.
func (s *Server) serveBodiless(ctx *fasthttp.RequestCtx) {
	if s.listener.SetServing(ctx.Conn()) {
		s.cfg.Handler(ctx)
	}
}

func (s *Server) recordState(nc net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateIdle:
		s.listener.SetWaiting(nc)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		s.listener.Remove(nc)
	case fasthttp.StateNew, fasthttp.StateActive:
		// The connection waits since it was accepted, or since its last request.
	}
}

// ReadBody reads the body of a request that the handler serves. It must also be called for a request without
// a body: from then on, the connection is not closed for another one. On a RefusedError the request must
// not be served.
func (s *Server) ReadBody(ctx *fasthttp.RequestCtx) (*coltsbody.Body, error) {
	body, err := s.cfg.Intake.Read(ctx)
	if err != nil {
		return nil, err
	}
	if !s.listener.SetServing(ctx.Conn()) {
		body.Release()
		return nil, &coltsbody.RefusedError{Reason: coltsbody.RefusalNoRoom, Cause: net.ErrClosed}
	}
	return body, nil
}

// Serve serves requests until the server is shut down.
func (s *Server) Serve() error { return s.server.Serve(s.listener) }

// AddrPort returns the address of the listener, the zero AddrPort if s is nil.
func (s *Server) AddrPort() netip.AddrPort {
	if s == nil {
		return netip.AddrPort{}
	}
	return coltslink.AddrOf(s.listener)
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int { return s.listener.Len() }

// Shutdown closes the listener and waits until the requests in progress have ended or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.ShutdownWithContext(ctx) }
