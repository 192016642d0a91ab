// Package coltslink provides the HTTP/2 clients and servers for calls between the system's own
// processes.
package coltslink

// A connection between two instances may stop delivering packets permanently while new connections
// still work. HTTP/2 pings detect this: a connection that receives nothing within the timeouts below is
// closed, and the next call opens a new one.

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"
)

const (
	// pingAfter is how long a connection may receive no frame before a ping is sent.
	pingAfter = time.Second
	// pingTimeout is how long the answer to a ping may take.
	pingTimeout = time.Second
	// dialTimeout is the default timeout for opening a connection. It allows for a link between
	// regions and one lost packet.
	dialTimeout = time.Second
	// idleTimeout is how long a connection without calls stays open.
	idleTimeout = time.Minute
	// headerTimeout bounds reading a call's headers.
	headerTimeout = 5 * time.Second
)

// Config configures how a client opens connections.
type Config struct {
	// Dial opens a connection; nil for TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// DialTimeout bounds opening a connection; 0 for one second.
	DialTimeout time.Duration
}

// NewClient returns an HTTP/2 client, without TLS, for calls to other instances.
func NewClient(cfg Config) *http.Client {
	transport := &http.Transport{
		Protocols:       unencryptedHTTP2(),
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

// NewServer returns an HTTP/2 server, without TLS, for calls from other instances.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		Protocols:         unencryptedHTTP2(),
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// unencryptedHTTP2 enables only HTTP/2 without TLS.
func unencryptedHTTP2() *http.Protocols {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &p
}

// URL returns the base URL of the instance at addr.
func URL(addr netip.AddrPort) string {
	return "http://" + addr.String()
}

// AddrOf returns the address of a TCP listener, or the zero AddrPort for nil and for other kinds of
// listener.
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

// IsOutOfDescriptors reports whether an error says that the process or the machine has no descriptor left.
func IsOutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
