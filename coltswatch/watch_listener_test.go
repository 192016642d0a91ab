package coltswatch

// Planned stop under load: connections are established faster than they are accepted when the
// listener is closed.

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// dialAndSend opens a connection and sends one byte.
func dialAndSend(t *testing.T, ln net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = c.Write([]byte("x"))
	assert.NilError(t, err)
	return c
}

// echoOne answers the first byte of each connection until the listener is closed.
func echoOne(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			_, _ = io.CopyN(c, c, 1)
		}()
	}
}

// assertAnswered asserts that a connection gets an answer.
func assertAnswered(t *testing.T, c net.Conn) {
	t.Helper()
	assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	var b [1]byte
	_, err := io.ReadFull(c, b[:])
	assert.NilError(t, err)
}

func TestCloseListener(t *testing.T) {
	listen := func(t *testing.T) net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		return NewListener(ln)
	}
	t.Run("connections that are not accepted yet are accepted and answered", func(t *testing.T) {
		ln := listen(t)
		var conns []net.Conn
		for range 20 {
			conns = append(conns, dialAndSend(t, ln))
		}
		go func() {
			time.Sleep(10 * time.Millisecond)
			echoOne(ln)
		}()
		assert.NilError(t, ln.Close())
		for _, c := range conns {
			assertAnswered(t, c)
		}
	})
	t.Run("no connection can be opened afterwards", func(t *testing.T) {
		ln := listen(t)
		go echoOne(ln)
		assert.NilError(t, ln.Close())
		_, err := net.Dial("tcp", ln.Addr().String())
		assert.Assert(t, err != nil)
	})
	t.Run("closing does not wait for an Accept that never comes", func(t *testing.T) {
		ln := listen(t)
		began := time.Now()
		assert.NilError(t, ln.Close())
		assert.Assert(t, time.Since(began) < 10*acceptLinger)
	})
}
