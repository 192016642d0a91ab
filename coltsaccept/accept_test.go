package coltsaccept

// Guards against clients that hold connections without sending requests.

import (
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// crowd is a listener with the server's ends of the connections that it has accepted.
type crowd struct {
	t        *testing.T
	listener *Listener
	closed   int
}

func newCrowd(t *testing.T, maxConns int) *crowd {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	c := &crowd{t: t}
	c.listener = New(Config{Listener: ln, MaxConns: maxConns, OnClosed: func() { c.closed++ }})
	return c
}

// accept connects and returns the server's end.
func (c *crowd) accept() net.Conn {
	c.t.Helper()
	client, err := net.Dial("tcp", c.listener.Addr().String())
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { _ = client.Close() })
	nc, err := c.listener.Accept()
	assert.NilError(c.t, err)
	return nc
}

// assertOpen asserts which of the connections are open.
func (c *crowd) assertOpen(want map[net.Conn]bool) {
	c.t.Helper()
	open := 0
	for nc, isOpen := range want {
		_, err := nc.Write([]byte("a"))
		assert.Equal(c.t, err == nil, isOpen)
		if isOpen {
			open++
		}
	}
	assert.Equal(c.t, c.listener.Len(), open)
	assert.Equal(c.t, c.closed, len(want)-open)
}

func TestBound(t *testing.T) {
	t.Run("the connection that has waited longest is closed", func(t *testing.T) {
		c := newCrowd(t, 2)
		first, second, third := c.accept(), c.accept(), c.accept()
		c.assertOpen(map[net.Conn]bool{first: false, second: true, third: true})
	})
	t.Run("a connection waits from its last request on", func(t *testing.T) {
		c := newCrowd(t, 2)
		first, second := c.accept(), c.accept()
		assert.Assert(t, c.listener.SetServing(first))
		c.listener.SetWaiting(first)
		third := c.accept()
		c.assertOpen(map[net.Conn]bool{first: true, second: false, third: true})
	})
	t.Run("a connection whose request is served is not closed", func(t *testing.T) {
		c := newCrowd(t, 2)
		first, second := c.accept(), c.accept()
		assert.Assert(t, c.listener.SetServing(first))
		third, fourth := c.accept(), c.accept()
		c.assertOpen(map[net.Conn]bool{first: true, second: false, third: false, fourth: true})
	})
	t.Run("a request on a connection that was closed must not be served", func(t *testing.T) {
		c := newCrowd(t, 1)
		first := c.accept()
		c.accept()
		assert.Assert(t, !c.listener.SetServing(first))
		c.listener.SetWaiting(first)
		assert.Equal(t, c.listener.Len(), 1)
	})
	t.Run("a closed connection makes room", func(t *testing.T) {
		c := newCrowd(t, 1)
		first := c.accept()
		assert.Assert(t, c.listener.SetServing(first))
		c.listener.Remove(first)
		c.accept()
		assert.Equal(t, c.closed, 0)
	})
}

// scarceListener has no descriptor left for a number of calls.
type scarceListener struct {
	net.Listener
	failures int
}

// Accept returns the error of a process without descriptors, or a connection.
func (l *scarceListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func TestWithoutDescriptors(t *testing.T) {
	t.Run("the longest waiting connections make room and accepting goes on", func(t *testing.T) {
		c := newCrowd(t, 10)
		first, second := c.accept(), c.accept()
		c.listener.Listener = &scarceListener{Listener: c.listener.Listener, failures: 1}
		third := c.accept()
		c.assertOpen(map[net.Conn]bool{first: false, second: true, third: true})
	})
}
