package coltsgateway

// Requests that are refused before they are read: the response, and what is still received after it.

import (
	"io"
	"net"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbuffer"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
)

// badRequestError reports a request with invalid or unsupported framing.
type badRequestError struct {
	status int
	reason string
}

// Error returns the reason.
func (e *badRequestError) Error() string { return "the request is refused: " + e.reason }

// refuseUnread ends a connection whose request could not be read. The connection is not
// reused, because the rest of its bytes can't be told apart from another request.
func (c *callerConn) refuseUnread(err error) bool {
	var bad *badRequestError
	var exhausted *coltsbuffer.ExhaustedError
	// The memory of the refused request is free before the caller has read the response. A search for
	// connections to end must not take it for memory that this one still holds.
	c.share.Release()
	c.state.held.Store(int64(c.g.connBytes))
	switch {
	case errors.As(err, &bad):
	case errors.Is(err, errShed) || c.state.phase() == coltsbuffer.PhaseShed:
		bad = &badRequestError{status: fasthttp.StatusServiceUnavailable, reason: errShed.Error()}
	case errors.As(err, &exhausted):
		c.g.metrics.Add(coltsmetric.BuffersExhausted, 1)
		bad = &badRequestError{status: fasthttp.StatusServiceUnavailable, reason: exhausted.Error()}
	case isTimeout(err):
		bad = &badRequestError{
			status: fasthttp.StatusRequestTimeout, reason: "it was not received completely in time",
		}
	case isDisconnect(err):
		c.g.log.Debug("A caller disconnected while sending its request.", coltslog.Fields{
			"caller": c.nc.RemoteAddr(), "error": err,
		})
		return false
	default:
		bad = &badRequestError{status: fasthttp.StatusBadRequest, reason: err.Error()}
	}
	c.g.log.Info("A request could not be read.", coltslog.Fields{
		"caller": c.nc.RemoteAddr(), "status": bad.status, "reason": bad.reason, "outcome": coltsattempt.OutcomeNotRun,
	})
	text := appendStatusLine(nil, bad.status)
	text = append(text, "Connection: close\r\nContent-Length: 0\r\n\r\n"...)
	// A write error means that the caller has closed the connection and can't receive the
	// response.
	if _, err := c.nc.Write(text); err == nil && c.state.phase() != coltsbuffer.PhaseShed {
		c.discardUnread()
	}
	return false
}

// discardUnread reads and discards the rest of a refused request for a short time. Closing a
// connection with unread bytes resets it, and the reset may overtake the response.
func (c *callerConn) discardUnread() {
	tcp, ok := c.nc.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.nc.SetReadDeadline(c.g.now().Add(closeLinger))
	// The caller closes the connection, sends too much or takes too long; in each case nothing is
	// left to do.
	_, _ = io.CopyN(io.Discard, c.nc, maxDiscardBytes)
}
