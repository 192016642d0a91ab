// Package coltsupstream speaks to upstreams: it sends requests over pooled
// connections, reads their streams, and says how far a failed attempt had come.
//
// It decides nothing: whether a failure is tried again is coltsattempt's rule.
package coltsupstream

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
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 8 << 10
)

// conn is one connection to an upstream, used by one request at a time.
type conn struct {
	net.Conn
	br *bufio.Reader
	bw *bufio.Writer
	// idleSince is when the connection was last given back.
	idleSince time.Time
	addr      netip.AddrPort
}

// pool keeps idle connections, in shards by upstream.
type pool struct {
	cfg    Config
	shards [coltsshard.Count]poolShard
}

type poolShard struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
	// suspectedAt is when a connection to one of the shard's upstreams was last
	// found silent. Whatever lost track of that one may have lost track of
	// others, so none that was idle then is used without a probe.
	suspectedAt time.Time
}

func newPool(cfg Config) *pool {
	p := &pool{cfg: cfg}
	for i := range p.shards {
		p.shards[i].idle = map[netip.AddrPort][]*conn{}
	}
	return p
}

func (p *pool) shard(addr netip.AddrPort) *poolShard {
	return &p.shards[coltsshard.Of(addr.String())]
}

// get returns a connection that is known to reach the upstream: one that was
// used a moment ago, one that has just answered a probe, or a new one. With
// probed, the first kind is not enough.
func (p *pool) get(ctx context.Context, addr netip.AddrPort, probed bool) (*conn, error) {
	for {
		c := p.take(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if p.usable(c, probed) {
			return c, nil
		}
		p.drop(c)
	}
}

// take returns the idle connection that was used last.
func (p *pool) take(addr netip.AddrPort) *conn {
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
func (p *pool) usable(c *conn, probed bool) bool {
	now := p.cfg.Now()
	if now.Sub(c.idleSince) > idleTimeout || hasEnded(c.Conn) {
		return false
	}
	trusted := now.Sub(c.idleSince) < probeAfter && !p.suspected(c)
	if trusted && !probed {
		return true
	}
	if err := probe(c, now.Add(p.cfg.ProbeTimeout)); err != nil {
		p.suspect(c.addr)
		return false
	}
	return true
}

// suspected says whether a connection was idle when another went silent.
func (p *pool) suspected(c *conn) bool {
	s := p.shard(c.addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	return !c.idleSince.After(s.suspectedAt)
}

// suspect takes in that a connection to an upstream was found silent.
func (p *pool) suspect(addr netip.AddrPort) {
	s := p.shard(addr)
	s.mu.Lock()
	s.suspectedAt = p.cfg.Now()
	s.mu.Unlock()
	p.cfg.OnSilent(addr)
}

// answers says whether an upstream answers a probe on a new connection.
func (p *pool) answers(addr netip.AddrPort) bool {
	deadline := p.cfg.Now().Add(p.cfg.ProbeTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	c, err := p.dial(ctx, addr)
	if err != nil {
		return false
	}
	if probe(c, deadline) != nil {
		p.drop(c)
		return false
	}
	p.put(c)
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

func (p *pool) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := p.cfg.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn: nc,
		br:   bufio.NewReaderSize(nc, bufferBytes),
		bw:   bufio.NewWriterSize(nc, bufferBytes),
		addr: addr,
	}, nil
}

// put gives back a connection whose last answer was read to its end.
func (p *pool) put(c *conn) {
	c.idleSince = p.cfg.Now()
	if err := c.SetDeadline(time.Time{}); err != nil || c.br.Buffered() > 0 {
		p.drop(c)
		return
	}
	s := p.shard(c.addr)
	s.mu.Lock()
	full := len(s.idle[c.addr]) >= idlePerUpstream
	if !full {
		s.idle[c.addr] = append(s.idle[c.addr], c)
	}
	s.mu.Unlock()
	if full {
		p.drop(c)
	}
}

// drop closes a connection. Nothing is left to be done about an error here.
func (p *pool) drop(c *conn) {
	_ = c.Close()
}

// closeIdle closes every idle connection.
func (p *pool) closeIdle() {
	for i := range p.shards {
		for _, c := range p.shards[i].takeAll() {
			p.drop(c)
		}
	}
}

func (s *poolShard) takeAll() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*conn
	for addr, idle := range s.idle {
		all = append(all, idle...)
		delete(s.idle, addr)
	}
	return all
}
