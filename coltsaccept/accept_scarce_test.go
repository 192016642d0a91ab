package coltsaccept

// Guards against a server that accepts nothing any more after the system was short of memory for a moment.

import (
	"net"
	"syscall"
	"testing"

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
