// Package coltswatch notices callers that hang up while their request is served.
package coltswatch

// While a request is being served nobody reads its connection, so a caller that
// hangs up during a long prefill would be noticed only at the next write, and
// the upstream would work on for nobody. A watch reads in the meantime: an error
// means that the caller is gone, and a byte is kept for the next request.

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// callerWriteTimeout bounds each write to a caller, so that one whose
	// connection has gone silent doesn't hold its upstream for good.
	callerWriteTimeout = 10 * time.Second
	// writeDeadlineStep is how far the deadline of writing moves on at a time, so
	// that not every token sets a timer.
	writeDeadlineStep = time.Second
)

// Listen returns a listener whose connections are of type *Conn.
func Listen(ln net.Listener) net.Listener {
	return &watchedListener{Listener: ln}
}

type watchedListener struct {
	net.Listener
}

// Accept returns the next connection as a *Conn.
func (l *watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c}, nil
}

// Conn is a caller's connection. It is used by one goroutine, and by its own watch.
type Conn struct {
	net.Conn
	// writeDue is the deadline of writing; only the writer uses it.
	writeDue time.Time

	mu sync.Mutex
	// kept is a byte that the watch has read; hasKept says that there is one.
	kept    [1]byte
	hasKept bool
	// done is closed when the running watch has ended; nil if there is none.
	done chan struct{}
}

// Write writes within callerWriteTimeout, give or take writeDeadlineStep.
func (c *Conn) Write(b []byte) (int, error) {
	due := time.Now().Add(callerWriteTimeout)
	if due.Sub(c.writeDue) >= writeDeadlineStep {
		c.writeDue = due
		if err := c.SetWriteDeadline(due); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// Read hands out what the watch has read before what follows it.
func (c *Conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	if c.hasKept && len(b) > 0 {
		b[0] = c.kept[0]
		c.hasKept = false
		c.mu.Unlock()
		return 1, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(b)
}

// Watch begins to watch and calls gone, once, if the caller hangs up before
// Unwatch. No other read may run meanwhile.
func (c *Conn) Watch(gone func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done != nil || c.hasKept {
		return
	}
	done := make(chan struct{})
	c.done = done
	go func() {
		defer close(done)
		c.readAhead(gone)
	}()
}

func (c *Conn) readAhead(gone func()) {
	var b [1]byte
	n, err := c.Conn.Read(b[:])
	if n > 0 {
		c.mu.Lock()
		c.kept = b
		c.hasKept = true
		c.mu.Unlock()
		return
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		gone()
	}
}

// Unwatch ends the watch. When it returns, the connection can be read as before.
func (c *Conn) Unwatch() {
	c.mu.Lock()
	done := c.done
	c.done = nil
	c.mu.Unlock()
	if done == nil {
		return
	}
	// On a closed connection both calls fail and the watch has ended by itself.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-done
	_ = c.SetReadDeadline(time.Time{})
}
