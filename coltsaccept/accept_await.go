package coltsaccept

// Without a descriptor left, accept fails even if no connection waits to be accepted. A connection must not be closed
// for one that is not there: it may be the one whose request is about to be answered.

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// awaitPeriod is how long the listener's descriptor is polled at a time. Closing the listener takes effect after that.
const awaitPeriod = 100 * time.Millisecond

// awaitConnection waits until a connection can be accepted, and reports whether it had to wait. It reports false at
// once for a listener that does not say.
func awaitConnection(ln net.Listener) bool {
	conn, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	if isReadable(raw, 0) {
		return false
	}
	for !isReadable(raw, awaitPeriod) { // blocks in the system
	}
	return true
}

// isReadable reports whether a descriptor becomes readable in a period, or can't be asked, as when it is closed.
func isReadable(raw syscall.RawConn, period time.Duration) bool {
	readable := false
	err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, int(period.Milliseconds()))
		readable = n > 0 || err != nil && err != unix.EINTR
	})
	return readable || err != nil
}
