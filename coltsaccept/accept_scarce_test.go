package coltsaccept

// Guards against a server that accepts nothing any more after the system was short of memory for a moment.

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// failingListener fails once with an error.
type failingListener struct {
	net.Listener
	err error
}

// Accept returns the error, or a connection.
func (l *failingListener) Accept() (net.Conn, error) {
	if err := l.err; err != nil {
		l.err = nil
		return nil, &net.OpError{Op: "accept", Err: err}
	}
	return l.Listener.Accept()
}

func TestScarceMemory(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM} {
		t.Run("accepting goes on after "+errno.Error(), func(t *testing.T) {
			c := newCrowd(t, 10)
			first, second := c.accept(), c.accept()
			c.listener.Listener = &failingListener{Listener: c.listener.Listener, err: errno}
			third := c.accept()
			c.assertOpen(map[net.Conn]bool{first: false, second: true, third: true})
		})
	}
	t.Run("a closed listener ends the server", func(t *testing.T) {
		c := newCrowd(t, 10)
		assert.NilError(t, c.listener.Close())
		_, err := c.listener.Accept()
		assert.ErrorIs(t, err, net.ErrClosed)
	})
}

// exhaustedListener fails as long as the process has no descriptor, whether or not a connection waits.
type exhaustedListener struct {
	*net.TCPListener
	scarce atomic.Bool
	failed atomic.Int64
}

// Accept returns an error, or a connection.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.scarce.Load() {
		l.failed.Add(1)
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.TCPListener.Accept()
}

// The failure guarded against: without a descriptor left, accept failed while no connection waited, and the only open
// connection was closed in place of the answer to its request.
func TestNoDescriptors(t *testing.T) {
	c := newCrowd(t, 10)
	only := c.accept()
	tcp, isTCP := c.listener.Listener.(*net.TCPListener)
	assert.Assert(t, isTCP)
	scarce := &exhaustedListener{TCPListener: tcp}
	scarce.scarce.Store(true)
	c.listener.Listener = scarce
	accepted := make(chan net.Conn, 1)
	go func() {
		nc, _ := c.listener.Accept()
		accepted <- nc
	}()
	for scarce.failed.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * retryPause)
	t.Run("no connection is closed while none waits", func(t *testing.T) {
		_, err := only.Write([]byte("a"))
		assert.NilError(t, err)
		assert.Equal(t, scarce.failed.Load(), int64(1))
	})
	t.Run("the one that has waited longest is closed for one that waits", func(t *testing.T) {
		client, err := net.Dial("tcp", c.listener.Addr().String())
		assert.NilError(t, err)
		defer client.Close()
		for scarce.failed.Load() < 3 {
			time.Sleep(time.Millisecond)
		}
		scarce.scarce.Store(false)
		c.assertOpen(map[net.Conn]bool{only: false, <-accepted: true})
	})
}
