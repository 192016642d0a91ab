// Package coltsproxy is a fault-injecting TCP proxy for tests.
//
// It is the project's own because the known library can't be had here and can't
// leave one open connection silent while new ones work.
package coltsproxy

// A fault is set on the open connections or on new ones, so that "the open ones
// are silent, new ones work" is one call.

import (
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

const bufferBytes = 32 << 10

// Direction says which way bytes go.
type Direction int

const (
	// Upward is from the one who connected to the target.
	Upward Direction = iota
	// Downward is from the target.
	Downward
)

// Config says where the proxy listens and what it stands before.
type Config struct {
	// Addr is where it listens; port 0 for any.
	Addr   netip.AddrPort
	Target netip.AddrPort
}

// Proxy passes bytes between its listener and its target.
type Proxy struct {
	cfg      Config
	listener net.Listener
	loops    sync.WaitGroup

	mu    sync.Mutex
	pairs map[*pair]bool
	// closed refuses new connections, silence never answers them.
	closed  bool
	silence bool
}

// pair is one proxied connection; far is nil until the target has answered.
type pair struct {
	near, far net.Conn
	gates     [2]gate
}

// gate holds the bytes of one direction back while it is shut.
type gate struct {
	mu   sync.Mutex
	shut bool
	// moved is closed when the gate is opened or the pair ends.
	moved chan struct{}
}

// Start starts a proxy.
func Start(cfg Config) (*Proxy, error) {
	ln, err := net.Listen("tcp", cfg.Addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Proxy{cfg: cfg, listener: ln, pairs: map[*pair]bool{}}
	p.loops.Go(p.accept)
	return p, nil
}

// Addr returns where the proxy listens.
func (p *Proxy) Addr() netip.AddrPort {
	tcp, ok := p.listener.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return tcp.AddrPort()
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.loops.Go(func() { p.connect(near) })
	}
}

// connect joins a new connection to the target.
func (p *Proxy) connect(near net.Conn) {
	c := &pair{near: near}
	for i := range c.gates {
		c.gates[i].moved = make(chan struct{})
	}
	if !p.admit(c) {
		_ = near.Close()
		return
	}
	far, err := net.Dial("tcp", p.cfg.Target.String())
	if err == nil {
		p.mu.Lock()
		c.far = far
		p.mu.Unlock()
		var copies sync.WaitGroup
		copies.Go(func() { p.copy(c, Upward, far, near) })
		copies.Go(func() { p.copy(c, Downward, near, far) })
		copies.Wait()
	}
	p.closePair(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, c)
}

// admit takes a new connection in, unless the proxy ends.
func (p *Proxy) admit(c *pair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.pairs[c] = true
	for i := range c.gates {
		c.gates[i].shut = p.silence
	}
	return true
}

// copy passes bytes one way until either end closes; what waits then is lost.
func (p *Proxy) copy(c *pair, d Direction, to, from net.Conn) {
	defer p.closePair(c)
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

// pass waits while the gate is shut and says whether it is open.
func (g *gate) pass() bool {
	g.mu.Lock()
	shut, moved := g.shut, g.moved
	g.mu.Unlock()
	if !shut {
		return true
	}
	<-moved
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.shut
}

// move opens or shuts the gate and wakes whoever waits at it.
func (g *gate) move(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = shut
	close(g.moved)
	g.moved = make(chan struct{})
}

// closePair closes both ends.
func (p *Proxy) closePair(c *pair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = c.near.Close()
	if c.far != nil {
		_ = c.far.Close()
	}
	// Whoever waits at a gate finds it shut and ends.
	c.gates[Upward].move(true)
	c.gates[Downward].move(true)
}

// each runs fn on every open connection.
func (p *Proxy) each(fn func(*pair)) {
	p.mu.Lock()
	pairs := make([]*pair, 0, len(p.pairs))
	for c := range p.pairs {
		pairs = append(pairs, c)
	}
	p.mu.Unlock()
	for _, c := range pairs {
		fn(c)
	}
}

// SilenceOpen makes the open connections silent in some directions for good,
// while new ones work. With no direction both are.
func (p *Proxy) SilenceOpen(directions ...Direction) {
	if len(directions) == 0 {
		directions = []Direction{Upward, Downward}
	}
	p.each(func(c *pair) {
		for _, d := range directions {
			c.gates[d].setShut()
		}
	})
}

// setShut shuts the gate without waking those who wait.
func (g *gate) setShut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = true
}

// Cut makes all connections silent, new ones too, until Heal.
func (p *Proxy) Cut() {
	p.mu.Lock()
	p.silence = true
	p.mu.Unlock()
	p.SilenceOpen()
}

// Heal lets bytes pass again, with what was held back.
func (p *Proxy) Heal() {
	p.mu.Lock()
	p.silence = false
	p.mu.Unlock()
	p.each(func(c *pair) {
		c.gates[Upward].move(false)
		c.gates[Downward].move(false)
	})
}

// Break closes the open connections.
func (p *Proxy) Break() {
	p.each(p.closePair)
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.Break()
	p.loops.Wait()
}
