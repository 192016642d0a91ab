package coltswatch

// Closing a TCP listener resets the connections that have been established but not accepted yet.
// A caller whose connection is among them has often sent its request already. So a listener that
// is closed first accepts what is waiting.

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// acceptLinger is how long a listener that is being closed still accepts connections. Those that
// are waiting are accepted within a few milliseconds, even by a busy process.
const acceptLinger = 100 * time.Millisecond

// NewListener returns a listener that accepts connections from ln as *Conn. When it is closed, it
// first accepts the connections that are waiting.
func NewListener(ln net.Listener) net.Listener {
	return &watchedListener{Listener: ln, closing: make(chan struct{}), drained: make(chan struct{})}
}

type watchedListener struct {
	net.Listener
	// closing is closed when Close is called, drained when Accept has found no more connections
	// after that.
	closing     chan struct{}
	closeOnce   sync.Once
	drained     chan struct{}
	drainedOnce sync.Once
}

// Accept returns the next connection as a *Conn.
func (l *watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		if l.isClosing() && errors.Is(err, os.ErrDeadlineExceeded) {
			err = net.ErrClosed
		}
		if errors.Is(err, net.ErrClosed) {
			l.drainedOnce.Do(func() { close(l.drained) })
		}
		return nil, err
	}
	return &Conn{Conn: c}, nil
}

func (l *watchedListener) isClosing() bool {
	select {
	case <-l.closing:
		return true
	default:
		return false
	}
}

// Close accepts connections for acceptLinger more and then closes the listener.
func (l *watchedListener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closing)
		tcp, ok := l.Listener.(*net.TCPListener)
		if !ok || tcp.SetDeadline(time.Now().Add(acceptLinger)) != nil {
			return
		}
		timer := time.NewTimer(2 * acceptLinger)
		defer timer.Stop()
		select {
		case <-l.drained:
		case <-timer.C:
		}
	})
	return l.Listener.Close()
}
