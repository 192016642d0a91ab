// Package coltsaccept bounds the number of connections that a server has open.
package coltsaccept

// A server that refuses connections beyond a bound can be closed to everybody by clients that open
// connections and send nothing or little. So at the bound, the connection that has waited longest for a
// whole request is closed for the new one: a client that sends its requests at once is not affected, and
// an idle one connects again. One lock holds the order of all connections, because the longest wait must
// be found among all; it is taken a few times for each request and held for some instructions.

import (
	"container/list"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltslink"
)

// retryPause is the pause before accepting again when no descriptor or memory is left. Closing a connection takes
// effect when the goroutine that reads from it has noticed.
const retryPause = 5 * time.Millisecond

// Config configures a Listener. OnClosed may be nil.
type Config struct {
	Listener net.Listener
	// MaxConns is the number of connections that may be open.
	MaxConns int
	// OnClosed is called for each connection that is closed for another one, or not accepted.
	OnClosed func()
}

// Listener accepts connections within a bound. The server must report the state of each connection.
type Listener struct {
	net.Listener
	cfg Config

	mu sync.Mutex
	// open maps each open connection to its place in waiting, nil for one whose request is being served.
	open map[net.Conn]*list.Element
	// waiting holds the connections that wait for a whole request, those that have waited longest first.
	waiting *list.List
}

// New returns a listener that has accepted nothing yet.
func New(cfg Config) *Listener {
	if cfg.OnClosed == nil {
		cfg.OnClosed = func() {}
	}
	return &Listener{Listener: cfg.Listener, cfg: cfg, open: map[net.Conn]*list.Element{}, waiting: list.New()}
}

// isScarce reports whether a connection could not be accepted because the process or the system is short of
// descriptors or memory. fasthttp would stop serving for good.
func isScarce(err error) bool {
	return coltslink.IsOutOfDescriptors(err) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// Accept returns the next connection, a *Conn. If no descriptor or memory is left for a connection it closes the
// one that has waited longest and tries again.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if isScarce(err) {
			if awaitConnection(l.Listener) {
				continue
			}
			l.closeLongestWaiting()
			time.Sleep(retryPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: nc}
		if l.add(c) {
			return c, nil
		}
		_ = nc.Close() // an error here needs no handling
		l.cfg.OnClosed()
	}
}

// add adds a connection, closing another one at the bound. It reports false if the bound is reached and
// all requests are being served.
func (l *Listener) add(nc net.Conn) bool {
	if l.Len() >= l.cfg.MaxConns && !l.closeLongestWaiting() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[nc] = l.waiting.PushBack(nc)
	return true
}

// closeLongestWaiting closes the connection that has waited longest for a whole request and reports
// whether there was one.
func (l *Listener) closeLongestWaiting() bool {
	l.mu.Lock()
	first := l.waiting.Front()
	if first == nil {
		l.mu.Unlock()
		return false
	}
	nc, isConn := l.waiting.Remove(first).(net.Conn)
	delete(l.open, nc)
	l.mu.Unlock()
	if isConn {
		_ = nc.Close() // an error here needs no handling
	}
	l.cfg.OnClosed()
	return true
}

// Len returns the number of open connections.
func (l *Listener) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// SetServing records that the whole request of a connection has arrived: the connection is not closed for
// another one. It reports false if it has been closed already, and then the request must not be served.
func (l *Listener) SetServing(nc net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	place, isOpen := l.open[nc]
	if place != nil {
		l.waiting.Remove(place)
		l.open[nc] = nil
	}
	return isOpen
}

// SetWaiting records that a connection waits for its next request.
func (l *Listener) SetWaiting(nc net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	place, isOpen := l.open[nc]
	switch {
	case place != nil:
		l.waiting.MoveToBack(place)
	case isOpen:
		l.open[nc] = l.waiting.PushBack(nc)
	}
}

// Remove records that a connection is closed.
func (l *Listener) Remove(nc net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if place := l.open[nc]; place != nil {
		l.waiting.Remove(place)
	}
	delete(l.open, nc)
}
