// Package coltswatch detects callers that disconnect while their request is served.
package coltswatch

// While a request is being served nobody reads from its connection, so a caller that
// disconnects during a long prefill would be noticed only at the next write, and the upstream
// would keep working on a response that nobody reads. A watch reads from the connection
// meanwhile: an error means that the caller is gone, and a byte is kept for the next request.

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// callerWriteTimeout bounds each write to a caller, so that a dead connection does not
	// occupy its upstream indefinitely.
	callerWriteTimeout = 10 * time.Second
	// writeDeadlineStep is the smallest step by which the write deadline is extended, so that
	// not every token sets a timer.
	writeDeadlineStep = time.Second
)

// Conn is a caller's connection. It is used by one goroutine and by its own watch.
type Conn struct {
	net.Conn
	// writeDeadline is the current write deadline, writeLimit the latest time to which it may be
	// set; zero for none. Only the writing goroutine uses them.
	writeDeadline time.Time
	writeLimit    time.Time

	mu sync.Mutex
	// peeked is a byte that the watch has read; hasPeeked is set if there is one.
	peeked    [1]byte
	hasPeeked bool
	// done is closed when the running watch has ended; nil if none is running.
	done chan struct{}
}

// SetWriteLimit sets the time after which no write waits any longer for the caller to read; the zero
// time for no such limit.
func (c *Conn) SetWriteLimit(limit time.Time) {
	c.writeLimit = limit
	// The next write sets the deadline anew.
	c.writeDeadline = time.Time{}
}

// Write writes with a timeout of callerWriteTimeout, or up to writeDeadlineStep less if an earlier
// write has set the deadline. It does not wait beyond the write limit.
func (c *Conn) Write(b []byte) (int, error) {
	deadline := time.Now().Add(callerWriteTimeout)
	if !c.writeLimit.IsZero() && c.writeLimit.Before(deadline) {
		deadline = c.writeLimit
	}
	if deadline.Sub(c.writeDeadline) >= writeDeadlineStep || deadline.Equal(c.writeLimit) && !deadline.Equal(c.writeDeadline) {
		c.writeDeadline = deadline
		if err := c.SetWriteDeadline(deadline); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// Read returns the byte that the watch has read, if any, before reading from the connection.
func (c *Conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	if c.hasPeeked && len(b) > 0 {
		b[0] = c.peeked[0]
		c.hasPeeked = false
		c.mu.Unlock()
		return 1, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(b)
}

// StartWatch starts watching the connection and calls onDisconnect, once, if the caller disconnects
// before StopWatch is called. Nothing else may read from the connection until then. StartWatch does
// nothing if a watch is running or has already read a byte of the next request.
func (c *Conn) StartWatch(onDisconnect func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done != nil || c.hasPeeked {
		return
	}
	done := make(chan struct{})
	c.done = done
	go func() {
		defer close(done)
		c.readAhead(onDisconnect)
	}()
}

func (c *Conn) readAhead(onDisconnect func()) {
	var b [1]byte
	n, err := c.Conn.Read(b[:])
	if n > 0 {
		c.mu.Lock()
		c.peeked = b
		c.hasPeeked = true
		c.mu.Unlock()
		return
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		onDisconnect()
	}
}

// StopWatch stops the watch. After it returns, the connection can be read again.
func (c *Conn) StopWatch() {
	c.mu.Lock()
	done := c.done
	c.done = nil
	c.mu.Unlock()
	if done == nil {
		return
	}
	// On a closed connection both calls fail, and the watch has ended by itself.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-done
	_ = c.SetReadDeadline(time.Time{})
}
