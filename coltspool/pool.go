// Package coltspool is a pool of connections to upstreams, each used by one request at a time.
package coltspool

// A general HTTP client hides two things that must be known here: whether any byte of the
// request was sent, and whether an idle connection still reaches the upstream. A network
// device between the two ends may have lost track of a connection, and a booking written to it
// would be lost with an unknown outcome.

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"coltsfootstall/coltslink"
	"coltsfootstall/coltsshard"
)

const (
	// idleTimeout is how long an idle connection is kept. It must be shorter than the
	// upstreams' idle timeout.
	idleTimeout = 20 * time.Second
	// probeAfterIdle is how long a connection may be idle before it is probed.
	probeAfterIdle = time.Second
	// sweepPeriod is how often connections that can't be used any more are closed.
	sweepPeriod = 5 * time.Second
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 256
	// dialTimeout bounds connecting to an upstream.
	dialTimeout = 2 * time.Second
	// BufferBytes is the default size of a connection's buffers.
	BufferBytes = 8 << 10
)

// Conn is one connection to an upstream.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Writer is nil if Config.UnbufferedWrites is set.
	Writer *bufio.Writer
	Addr   netip.AddrPort
	// ExpiresAt is when the upstream may close the connection if it is idle; zero if unknown.
	ExpiresAt time.Time
	// Reused is set once the connection has been in the pool, so it may have carried a request.
	Reused bool
	// carried holds the hashes of the IDs of the newest requests sent on the connection, next the index
	// of the oldest. Only the user of the connection reads and sets them.
	carried [carriedIDs]uint64
	next    int
	// idleSince is when the connection was last returned to the pool.
	idleSince time.Time
}

// carriedIDs is the number of requests whose IDs a connection remembers.
const carriedIDs = 16

// Carries reports whether a request with this ID was among the newest ones sent on the connection. A
// second copy of the response to that one could not be told from the response to another.
func (c *Conn) Carries(id string) bool { return slices.Contains(c.carried[:], coltsshard.Hash(id)) }

// RecordRequest records that a request with this ID is being sent on the connection.
func (c *Conn) RecordRequest(id string) {
	c.carried[c.next] = coltsshard.Hash(id)
	c.next = (c.next + 1) % carriedIDs
}

// Config is the configuration of a pool. Zero fields get their defaults.
type Config struct {
	// Dial opens a connection; nil for TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Now returns the current time; nil for time.Now.
	Now func() time.Time
	// Probe sends a request over an idle connection and waits for the response, to check that
	// the connection still works; nil for no probes.
	Probe func(c *Conn, deadline time.Time) error
	// ProbeTimeout bounds a probe.
	ProbeTimeout time.Duration
	// OnUnresponsive is called with the upstream's address whenever a connection was found
	// unresponsive; nil for none.
	OnUnresponsive func(addr netip.AddrPort)
	// ReadBytes is the size of a connection's read buffer; 0 for BufferBytes.
	ReadBytes int
	// UnbufferedWrites is set if requests are written to the connection without a buffer.
	UnbufferedWrites bool
}

// Pool holds idle connections, sharded by upstream. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	shards [coltsshard.Count]poolShard
	// nextSweepAt is when the connections that can't be used any more are next closed.
	nextSweepAt atomic.Pointer[time.Time]
}

type poolShard struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*Conn
	// suspectedAt is when a connection to one of the shard's upstreams was last found
	// unresponsive. Other connections may have been lost for the same reason, so those that
	// were idle at that time are probed before use, or closed if Config.Probe is nil.
	suspectedAt time.Time
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.OnUnresponsive == nil {
		cfg.OnUnresponsive = func(netip.AddrPort) {}
	}
	if cfg.ReadBytes == 0 {
		cfg.ReadBytes = BufferBytes
	}
	p := &Pool{cfg: cfg}
	p.nextSweepAt.Store(&time.Time{})
	for i := range p.shards {
		p.shards[i].idle = map[netip.AddrPort][]*Conn{}
	}
	return p
}

func (p *Pool) shard(addr netip.AddrPort) *poolShard {
	return &p.shards[coltsshard.Of(addr.String())]
}

// Get returns a connection that is known to reach the upstream: one that was used a moment
// ago, one that has just answered a probe, or a new one. If alwaysProbe is set, recently used
// connections are probed too. If Config.Probe is nil, an idle connection is used unless it was
// closed or is suspected.
func (p *Pool) Get(ctx context.Context, addr netip.AddrPort, alwaysProbe bool) (*Conn, error) {
	for {
		c := p.takeIdle(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if p.usable(c, alwaysProbe) {
			return c, nil
		}
		p.Drop(c)
	}
}

// takeIdle removes and returns the most recently used idle connection, nil if there is none.
func (p *Pool) takeIdle(addr netip.AddrPort) *Conn {
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

// isOver reports whether an idle connection can't be used any more.
func (c *Conn) isOver(now time.Time) bool {
	return now.Sub(c.idleSince) > idleTimeout || c.mayBeClosing(now) || peerClosed(c.Conn)
}

// usable reports whether an idle connection still reaches the upstream.
func (p *Pool) usable(c *Conn, alwaysProbe bool) bool {
	now := p.cfg.Now()
	if c.isOver(now) {
		return false
	}
	recent := now.Sub(c.idleSince) < probeAfterIdle && !p.suspected(c)
	if p.cfg.Probe == nil {
		return !p.suspected(c)
	}
	if recent && !alwaysProbe {
		return true
	}
	if err := p.cfg.Probe(c, now.Add(p.cfg.ProbeTimeout)); err != nil {
		p.MarkUnresponsive(c.Addr)
		return false
	}
	return true
}

// mayBeClosing reports whether the upstream may be closing the idle connection at now.
func (c *Conn) mayBeClosing(now time.Time) bool {
	return !c.ExpiresAt.IsZero() && !now.Before(c.ExpiresAt)
}

// suspected reports whether a connection was idle when another one was found unresponsive.
func (p *Pool) suspected(c *Conn) bool {
	s := p.shard(c.Addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	return !c.idleSince.After(s.suspectedAt)
}

// MarkUnresponsive records that a connection to an upstream was found unresponsive.
func (p *Pool) MarkUnresponsive(addr netip.AddrPort) {
	s := p.shard(addr)
	s.mu.Lock()
	s.suspectedAt = p.cfg.Now()
	s.mu.Unlock()
	p.cfg.OnUnresponsive(addr)
}

// RespondsToProbe reports whether an upstream answers a probe on a new connection, which is then
// kept in the pool. If Config.Probe is nil, it is enough that the connection can be opened.
func (p *Pool) RespondsToProbe(addr netip.AddrPort) bool {
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

// Probe returns an error if an upstream accepts no new connection. Otherwise the connection is kept in
// the pool.
func (p *Pool) Probe(ctx context.Context, addr netip.AddrPort) error {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return err
	}
	p.Put(c)
	return nil
}

// peerClosed reports, without blocking, whether the other end has closed the connection or sent
// unexpected data.
func peerClosed(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = !errors.Is(err, syscall.EAGAIN)
		return true
	})
	return closed || err != nil
}

// dial opens a connection. If the process has no descriptor left, the connection that has been idle longest is
// closed first, whichever upstream it leads to.
func (p *Pool) dial(ctx context.Context, addr netip.AddrPort) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := p.cfg.Dial(ctx, addr)
	if coltslink.IsOutOfDescriptors(err) && p.closeLongestIdle() {
		nc, err = p.cfg.Dial(ctx, addr)
	}
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc, Reader: bufio.NewReaderSize(nc, p.cfg.ReadBytes), Addr: addr}
	if !p.cfg.UnbufferedWrites {
		c.Writer = bufio.NewWriterSize(nc, BufferBytes)
	}
	return c, nil
}

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr.String())
}

// Put returns a connection to the pool. Its last response must have been read to the end.
func (p *Pool) Put(c *Conn) {
	c.idleSince = p.cfg.Now()
	c.Reused = true
	if err := c.SetDeadline(time.Time{}); err != nil || c.Reader.Buffered() > 0 {
		p.Drop(c)
		return
	}
	s := p.shard(c.Addr)
	s.mu.Lock()
	full := len(s.idle[c.Addr]) >= maxIdlePerUpstream
	if !full {
		s.idle[c.Addr] = append(s.idle[c.Addr], c)
	}
	s.mu.Unlock()
	if full {
		p.Drop(c)
	}
	p.sweepIfDue()
}

// Drop closes a connection, ignoring errors.
func (p *Pool) Drop(c *Conn) {
	_ = c.Close()
}
