// Package coltspool keeps connections to upstreams, each used by one request at a
// time.
package coltspool

// The pool is the system's own because two things must be known that a general
// client hides: whether a byte of the request has left, and whether an idle
// connection still reaches the other end. Something between the two ends may
// have lost track of a connection, and a booking that is written to such a one
// is lost with an unknown outcome.

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"coltsfootstall/coltsshard"
)

const (
	// idleTimeout is how long an idle connection is kept. Upstreams must keep
	// theirs for longer.
	idleTimeout = 20 * time.Second
	// probeAfter is how long a connection may be idle before it is probed.
	probeAfter = time.Second
	// idlePerUpstream bounds the idle connections to one upstream.
	idlePerUpstream = 256
	// dialTimeout bounds the making of a connection.
	dialTimeout = 2 * time.Second
	// BufferBytes is the size of a connection's buffers unless configured.
	BufferBytes = 8 << 10
)

// Conn is one connection to an upstream.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Writer is nil if the pool was configured without one.
	Writer *bufio.Writer
	Addr   netip.AddrPort
	// CloseAt is when the other end may close it while it is idle; zero if it did
	// not say.
	CloseAt time.Time
	// Reused says that a request was sent over it before.
	Reused bool
	// idleSince is when the connection was last given back.
	idleSince time.Time
}

// Config says how connections are made and checked. A zero field gets its default.
type Config struct {
	// Dial makes a connection; nil for TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Now reads the clock; nil for time.Now.
	Now func() time.Time
	// Probe asks an idle connection's other end for a sign of life; nil for none.
	Probe func(c *Conn, deadline time.Time) error
	// ProbeTimeout is how long the answer to a probe may take.
	ProbeTimeout time.Duration
	// OnSilent is told of each connection that was found silent; nil for nobody.
	OnSilent func(addr netip.AddrPort)
	// ReadBytes is the size of a connection's read buffer; 0 for BufferBytes.
	ReadBytes int
	// Unbuffered says that writes go to the connection itself.
	Unbuffered bool
}

// Pool keeps idle connections, in shards by upstream. It may be used concurrently.
type Pool struct {
	cfg    Config
	shards [coltsshard.Count]poolShard
}

type poolShard struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*Conn
	// suspectedAt is when a connection to one of the shard's upstreams was last
	// found silent. Whatever lost track of that one may have lost track of
	// others, so none that was idle then is used without a probe.
	suspectedAt time.Time
}

// New returns a pool without connections.
func New(cfg Config) *Pool {
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.OnSilent == nil {
		cfg.OnSilent = func(netip.AddrPort) {}
	}
	if cfg.ReadBytes == 0 {
		cfg.ReadBytes = BufferBytes
	}
	p := &Pool{cfg: cfg}
	for i := range p.shards {
		p.shards[i].idle = map[netip.AddrPort][]*Conn{}
	}
	return p
}

func (p *Pool) shard(addr netip.AddrPort) *poolShard {
	return &p.shards[coltsshard.Of(addr.String())]
}

// Get returns a connection that is known to reach the upstream: one that was
// used a moment ago, one that has just answered a probe, or a new one. With
// probed, the first kind is not enough.
func (p *Pool) Get(ctx context.Context, addr netip.AddrPort, probed bool) (*Conn, error) {
	for {
		c := p.take(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if p.usable(c, probed) {
			return c, nil
		}
		p.Drop(c)
	}
}

// take returns the idle connection that was used last.
func (p *Pool) take(addr netip.AddrPort) *Conn {
	s := p.shard(addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	idle := s.idle[addr]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	s.idle[addr] = idle[:len(idle)-1]
	return c
}

// usable says whether an idle connection still reaches the upstream.
func (p *Pool) usable(c *Conn, probed bool) bool {
	now := p.cfg.Now()
	if now.Sub(c.idleSince) > idleTimeout || c.closes(now) || hasEnded(c.Conn) {
		return false
	}
	trusted := now.Sub(c.idleSince) < probeAfter && !p.suspected(c)
	if p.cfg.Probe == nil {
		return !p.suspected(c)
	}
	if trusted && !probed {
		return true
	}
	if err := p.cfg.Probe(c, now.Add(p.cfg.ProbeTimeout)); err != nil {
		p.MarkUnresponsive(c.Addr)
		return false
	}
	return true
}

// closes says whether the other end may be closing the connection now.
func (c *Conn) closes(now time.Time) bool {
	return !c.CloseAt.IsZero() && !now.Before(c.CloseAt)
}

// suspected says whether a connection was idle when another went silent.
func (p *Pool) suspected(c *Conn) bool {
	s := p.shard(c.Addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	return !c.idleSince.After(s.suspectedAt)
}

// MarkUnresponsive takes in that a connection to an upstream was found silent.
func (p *Pool) MarkUnresponsive(addr netip.AddrPort) {
	s := p.shard(addr)
	s.mu.Lock()
	s.suspectedAt = p.cfg.Now()
	s.mu.Unlock()
	p.cfg.OnSilent(addr)
}

// Answers says whether an upstream answers a probe on a new connection.
func (p *Pool) Answers(addr netip.AddrPort) bool {
	deadline := p.cfg.Now().Add(p.cfg.ProbeTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	c, err := p.dial(ctx, addr)
	if err != nil {
		return false
	}
	if p.cfg.Probe != nil && p.cfg.Probe(c, deadline) != nil {
		p.Drop(c)
		return false
	}
	p.Put(c)
	return true
}

// Reaches says whether an upstream takes a new connection, which is kept for later.
func (p *Pool) Reaches(ctx context.Context, addr netip.AddrPort) bool {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return false
	}
	p.Put(c)
	return true
}

// hasEnded says whether the other end has closed the connection, or has sent
// something that nobody asked for, without waiting.
func hasEnded(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	ended := true
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = !errors.Is(err, syscall.EAGAIN)
		return true
	})
	return ended || err != nil
}

func (p *Pool) dial(ctx context.Context, addr netip.AddrPort) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := p.cfg.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc, Reader: bufio.NewReaderSize(nc, p.cfg.ReadBytes), Addr: addr}
	if !p.cfg.Unbuffered {
		c.Writer = bufio.NewWriterSize(nc, BufferBytes)
	}
	return c, nil
}

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr.String())
}

// Put gives back a connection whose last answer was read to its end.
func (p *Pool) Put(c *Conn) {
	c.idleSince = p.cfg.Now()
	c.Reused = true
	if err := c.SetDeadline(time.Time{}); err != nil || c.Reader.Buffered() > 0 {
		p.Drop(c)
		return
	}
	s := p.shard(c.Addr)
	s.mu.Lock()
	full := len(s.idle[c.Addr]) >= idlePerUpstream
	if !full {
		s.idle[c.Addr] = append(s.idle[c.Addr], c)
	}
	s.mu.Unlock()
	if full {
		p.Drop(c)
	}
}

// Drop closes a connection. Nothing is left to be done about an error here.
func (p *Pool) Drop(c *Conn) {
	_ = c.Close()
}

// CloseIdle closes every idle connection.
func (p *Pool) CloseIdle() {
	for i := range p.shards {
		for _, c := range p.shards[i].takeAll() {
			p.Drop(c)
		}
	}
}

func (s *poolShard) takeAll() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*Conn
	for addr, idle := range s.idle {
		all = append(all, idle...)
		delete(s.idle, addr)
	}
	return all
}
