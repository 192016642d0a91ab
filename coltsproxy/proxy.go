// Package coltsproxy is a fault-injecting TCP proxy for tests.
//
// The usual library for this is not available here, and it can't silence open connections while
// new ones work.
package coltsproxy

// SilenceOpen affects only the connections that are open, so that a test can silence them in one
// call while new connections still work.

import (
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

// bufferBytes is the size of the copy buffer of each direction of a connection.
const bufferBytes = 32 << 10

// Direction is the direction of a byte stream through the proxy.
type Direction int

const (
	// ToTarget is from the client to the target.
	ToTarget Direction = iota
	// ToClient is from the target to the client.
	ToClient
)

// Config configures a proxy.
type Config struct {
	// Addr is the address to listen on; port 0 picks a free port.
	Addr netip.AddrPort
	// Target is the address to which connections are forwarded.
	Target netip.AddrPort
}

// Proxy forwards TCP connections from its listener to its target.
type Proxy struct {
	cfg      Config
	listener net.Listener
	loops    sync.WaitGroup

	mu    sync.Mutex
	conns map[*proxiedConn]bool
	// closed is set once the proxy is closed. New connections are then closed at once.
	closed bool
	// silenceNew is set if all bytes of new connections are held back.
	silenceNew bool
}

// proxiedConn is one connection through the proxy. Its target is nil until the connection to the
// target is established.
type proxiedConn struct {
	client, target net.Conn
	// gates holds the gate of each Direction.
	gates [2]gate
}

// gate holds back the bytes of one direction of a connection while it is closed.
type gate struct {
	mu     sync.Mutex
	closed bool
	// changed is closed, and replaced by a new channel, to wake the goroutines that wait at
	// the gate.
	changed chan struct{}
}

// Start listens and starts to forward connections.
func Start(cfg Config) (*Proxy, error) {
	ln, err := net.Listen("tcp", cfg.Addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Proxy{cfg: cfg, listener: ln, conns: map[*proxiedConn]bool{}}
	p.loops.Go(p.accept)
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() netip.AddrPort {
	tcp, ok := p.listener.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return tcp.AddrPort()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.loops.Go(func() { p.forward(client) })
	}
}

// forward connects an accepted connection to the target and copies bytes both ways until
// either side closes.
func (p *Proxy) forward(client net.Conn) {
	c := &proxiedConn{client: client}
	for i := range c.gates {
		c.gates[i].changed = make(chan struct{})
	}
	if !p.add(c) {
		_ = client.Close()
		return
	}
	target, err := net.Dial("tcp", p.cfg.Target.String())
	if err == nil {
		p.mu.Lock()
		c.target = target
		p.mu.Unlock()
		var copies sync.WaitGroup
		copies.Go(func() { p.copy(c, ToTarget, target, client) })
		copies.Go(func() { p.copy(c, ToClient, client, target) })
		copies.Wait()
	}
	p.closeConn(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// add registers a new connection. It returns false if the proxy is closed.
func (p *Proxy) add(c *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = true
	for i := range c.gates {
		c.gates[i].closed = p.silenceNew
	}
	return true
}

// copy copies bytes in one direction until either side closes. Bytes that are held back at
// that time are lost.
func (p *Proxy) copy(c *proxiedConn, d Direction, to, from net.Conn) {
	defer p.closeConn(c)
	b := make([]byte, bufferBytes)
	for {
		n, err := from.Read(b)
		if err != nil || !c.gates[d].pass() {
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// pass returns true at once if the gate is open. Otherwise it waits until the gate is opened or
// the connection is closed, and reports whether the gate is open then.
func (g *gate) pass() bool {
	g.mu.Lock()
	closed, changed := g.closed, g.changed
	g.mu.Unlock()
	if !closed {
		return true
	}
	<-changed
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.closed
}

// setAndWake opens or closes the gate and wakes the goroutines that wait at it.
func (g *gate) setAndWake(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
	close(g.changed)
	g.changed = make(chan struct{})
}

// closeConn closes both sides of a connection.
func (p *Proxy) closeConn(c *proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = c.client.Close()
	if c.target != nil {
		_ = c.target.Close()
	}
	// A copy that waits at a gate wakes, finds the gate closed and returns.
	c.gates[ToTarget].setAndWake(true)
	c.gates[ToClient].setAndWake(true)
}

// each calls fn for every open connection, without holding the lock.
func (p *Proxy) each(fn func(*proxiedConn)) {
	p.mu.Lock()
	conns := make([]*proxiedConn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		fn(c)
	}
}

// SilenceOpen holds back all bytes of the open connections in the given directions, or in both
// if none is given, until EndSilence is called. New connections are not affected.
func (p *Proxy) SilenceOpen(directions ...Direction) {
	if len(directions) == 0 {
		directions = []Direction{ToTarget, ToClient}
	}
	p.each(func(c *proxiedConn) {
		for _, d := range directions {
			c.gates[d].setClosed()
		}
	})
}

// setClosed closes the gate without waking the goroutines that wait at it.
func (g *gate) setClosed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// SilenceAll holds back all bytes of all connections, including new ones, until EndSilence is
// called.
func (p *Proxy) SilenceAll() {
	p.mu.Lock()
	p.silenceNew = true
	p.mu.Unlock()
	p.SilenceOpen()
}

// EndSilence ends the effect of SilenceAll and SilenceOpen. The bytes that were held back are
// delivered.
func (p *Proxy) EndSilence() {
	p.mu.Lock()
	p.silenceNew = false
	p.mu.Unlock()
	p.each(func(c *proxiedConn) {
		c.gates[ToTarget].setAndWake(false)
		c.gates[ToClient].setAndWake(false)
	})
}

// CloseConnections closes the open connections.
func (p *Proxy) CloseConnections() {
	p.each(p.closeConn)
}

// Close closes the listener and all connections and waits until they have ended.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.CloseConnections()
	p.loops.Wait()
}
