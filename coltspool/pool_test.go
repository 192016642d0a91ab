package coltspool

// Guards against descriptors that run out as upstreams are replaced: connections to one that has left
// stay open if nobody asks for its address again.

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const conditionTimeout = 5 * time.Second

// upstream accepts connections and keeps them open.
type upstream struct {
	addr  netip.AddrPort
	conns chan net.Conn
}

func startUpstream(t *testing.T) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	u := &upstream{addr: netip.MustParseAddrPort(ln.Addr().String()), conns: make(chan net.Conn, 100)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			u.conns <- c
		}
	}()
	return u
}

// openIdle puts new connections to an upstream into the pool and returns them.
func openIdle(t *testing.T, p *Pool, u *upstream, n int) []*Conn {
	t.Helper()
	var conns []*Conn
	for range n {
		c, err := p.dial(context.Background(), u.addr)
		assert.NilError(t, err)
		conns = append(conns, c)
	}
	for _, c := range conns {
		p.Put(c)
	}
	return conns
}

// countIdle returns the number of idle connections in the pool.
func countIdle(p *Pool) int {
	n := 0
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for _, idle := range s.idle {
			n += len(idle)
		}
		s.mu.Unlock()
	}
	return n
}

// assertIdle waits until the pool has a number of idle connections.
func assertIdle(t *testing.T, p *Pool, want int) {
	t.Helper()
	for deadline := time.Now().Add(conditionTimeout); countIdle(p) != want; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%d idle connections", countIdle(p))
	}
}

// steppedClock is a clock that a test sets.
type steppedClock struct{ offset atomic.Int64 }

func (c *steppedClock) now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

func TestSweep(t *testing.T) {
	t.Run("connections that an upstream has closed are closed here when others are used", func(t *testing.T) {
		clock := &steppedClock{}
		p := New(Config{Now: clock.now})
		left, stays := startUpstream(t), startUpstream(t)
		openIdle(t, p, left, 10)
		for range 10 {
			assert.NilError(t, (<-left.conns).Close())
		}
		clock.offset.Store(int64(sweepPeriod))
		openIdle(t, p, stays, 2)
		assertIdle(t, p, 2)
	})
	t.Run("so are those that nobody has used for long", func(t *testing.T) {
		clock := &steppedClock{}
		p := New(Config{Now: clock.now})
		left, stays := startUpstream(t), startUpstream(t)
		conns := openIdle(t, p, left, 10)
		clock.offset.Store(int64(idleTimeout + time.Second))
		openIdle(t, p, stays, 2)
		assertIdle(t, p, 2)
		_, err := conns[0].Write([]byte("x"))
		assert.Assert(t, err != nil, "the connection is open")
	})
	t.Run("connections that can be used are kept", func(t *testing.T) {
		clock := &steppedClock{}
		p := New(Config{Now: clock.now})
		u := startUpstream(t)
		openIdle(t, p, u, 10)
		clock.offset.Store(int64(sweepPeriod))
		openIdle(t, p, u, 2)
		time.Sleep(20 * time.Millisecond)
		assertIdle(t, p, 12)
	})
}

func TestDescriptors(t *testing.T) {
	t.Run("the connection that is idle longest is closed for a new one if no descriptor is left", func(t *testing.T) {
		const descriptors = 10
		p := New(Config{})
		p.cfg.Dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			if countIdle(p) >= descriptors {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
			}
			return dialTCP(ctx, addr)
		}
		first, second, other := startUpstream(t), startUpstream(t), startUpstream(t)
		oldest := openIdle(t, p, first, 1)[0]
		openIdle(t, p, second, descriptors-1)
		c, err := p.Get(context.Background(), other.addr, false)
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
		assertIdle(t, p, descriptors-1)
		_, err = oldest.Write([]byte("x"))
		assert.Assert(t, err != nil, "the connection is open")
	})
}
