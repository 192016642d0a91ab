// Package coltslink makes the HTTP/2 clients and servers over which the system's
// own processes talk.
package coltslink

// A connection between two instances may go silent for good while new ones work.
// HTTP/2 pings find that out: a connection that gives no sign of life within the
// deadlines below is closed, and the next call makes a new one.

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	// pingAfter is how long a connection may be without a frame before a ping.
	pingAfter = time.Second
	// pingTimeout is how long the answer to a ping may take.
	pingTimeout = time.Second
	// dialTimeout bounds the making of a connection where nothing else is set: links
	// between regions and one lost packet included.
	dialTimeout = time.Second
	// idleTimeout is how long a connection without calls is kept.
	idleTimeout = time.Minute
	// headerTimeout bounds the reading of a call's head.
	headerTimeout = 5 * time.Second
)

// Config says how connections are made.
type Config struct {
	// Dial makes a connection; nil for TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// DialTimeout bounds the making of a connection; 0 for a second.
	DialTimeout time.Duration
}

// NewClient returns a client for calls to other instances.
func NewClient(cfg Config) *http.Client {
	transport := &http.Transport{
		Protocols:       clearHTTP2(),
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		IdleConnTimeout: idleTimeout,
		DialContext:     dialer(cfg),
	}
	return &http.Client{Transport: transport}
}

func dialer(cfg Config) func(ctx context.Context, network, target string) (net.Conn, error) {
	timeout := cmp.Or(cfg.DialTimeout, dialTimeout)
	return func(ctx context.Context, network, target string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		parsed, err := netip.ParseAddrPort(target)
		if err == nil && cfg.Dial != nil {
			return cfg.Dial(ctx, parsed)
		}
		var d net.Dialer
		return d.DialContext(ctx, network, target)
	}
}

// NewServer returns a server for calls from other instances.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		Protocols:         clearHTTP2(),
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// clearHTTP2 is HTTP/2 without TLS.
func clearHTTP2() *http.Protocols {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &p
}

// URL returns the base URL of an instance.
func URL(addr netip.AddrPort) string {
	return "http://" + addr.String()
}

// AddrOf returns where a TCP listener listens, or the zero address for nil.
func AddrOf(ln net.Listener) netip.AddrPort {
	if ln == nil {
		return netip.AddrPort{}
	}
	tcp, ok := ln.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return tcp.AddrPort()
}
