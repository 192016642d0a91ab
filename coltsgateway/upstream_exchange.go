package coltsgateway

// One attempt at one upstream: sends the request and finds the response that belongs to it.
// Up to the head of the response, only this file decides how far a failed attempt had come.

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsbuffer"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltspool"
	"coltsfootstall/coltsresponse"
)

const (
	// maxStrayResponses bounds the responses to other requests that are skipped on one connection
	// while waiting for the right one.
	maxStrayResponses = 2
	// maxStrayBytes bounds the body of such a response.
	maxStrayBytes = 1 << 20
	// maxBufferedBytes bounds a response that is buffered in full before it is passed on.
	maxBufferedBytes = 8 << 20
	// idleTimeoutMargin is subtracted from the idle timeout that an upstream announces for a
	// connection, to allow for network delay and clocks that run at different rates.
	idleTimeoutMargin = 700 * time.Millisecond
)

// attemptError is a failed attempt.
type attemptError struct {
	coltsattempt.Failure
	// outcome is what the failure means for the balancer's view of the upstream.
	outcome coltsbalance.Outcome
	// misdirected is set if the request reached another upstream, or one with other weights.
	misdirected bool
	// connectionLost is set if the connection broke, as it does when the upstream crashes.
	connectionLost bool
}

// Error returns the detail.
func (e *attemptError) Error() string { return e.Detail }

func newAttemptError(phase coltsattempt.Phase, outcome coltsbalance.Outcome, format string, args ...any) *attemptError {
	return &attemptError{
		Failure: coltsattempt.Failure{Phase: phase, Detail: fmt.Sprintf(format, args...)},
		outcome: outcome,
	}
}

// exchange is one attempt at one upstream.
type exchange struct {
	g      *Gateway
	ctx    context.Context
	choice coltsbalance.Choice
	conn   *coltspool.Conn
	resp   *fasthttp.ResponseHeader
	meta   ResponseMetadata
	body   *coltsresponse.Body
	// stop cancels the function that closes the connection when ctx ends.
	stop func() bool
	// reusable is set if the connection can serve another request once the body has been read
	// to its end.
	reusable bool
}

// outgoingRequest is the request as it is sent in one attempt.
type outgoingRequest struct {
	id       string
	head     []byte
	body     []byte
	deadline time.Time
	// noBody is set if the response has no body whatever its head says, as for HEAD.
	noBody bool
}

// startExchange makes an attempt and reads the head of the response. The caller must close the
// exchange.
func (g *Gateway) startExchange(
	ctx context.Context, choice coltsbalance.Choice, out outgoingRequest,
) (*exchange, *attemptError) {
	addr := choice.Upstream.Addr
	conn, err := g.connect(ctx, addr, out)
	if err != nil {
		outcome := coltsbalance.OutcomeFailed
		if ctx.Err() != nil {
			outcome = coltsbalance.OutcomeNeutral
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			g.recordEnded(choice)
		}
		return nil, newAttemptError(coltsattempt.PhaseUnsent, outcome,
			"upstream %s at %s can't be reached: %v", choice.Upstream.ID, addr, err)
	}
	if failure := g.checkWithdrawn(choice); failure != nil {
		g.pool.Put(conn)
		return nil, failure
	}
	x := &exchange{g: g, ctx: ctx, choice: choice, conn: conn, resp: &fasthttp.ResponseHeader{}}
	x.stop = context.AfterFunc(ctx, func() { g.pool.Drop(conn) })
	failure := x.send(out)
	if failure == nil {
		failure = x.readMatchingHead(out)
	}
	if failure != nil {
		x.close()
		return nil, failure
	}
	return x, nil
}

// connect returns a connection to an upstream on which responses can be matched with the request. A
// connection that has carried a request with the same ID may still receive a second copy of the
// response to that one, and for a request without an ID no connection is safe that has carried
// another.
func (g *Gateway) connect(ctx context.Context, addr netip.AddrPort, out outgoingRequest) (*coltspool.Conn, error) {
	ctx, cancel := context.WithDeadline(ctx, out.deadline)
	defer cancel()
	for {
		conn, err := g.pool.Get(ctx, addr, false)
		if err != nil {
			return nil, err
		}
		if !conn.Reused || out.id != "" && !conn.Carries(out.id) {
			conn.RecordRequest(out.id)
			return conn, nil
		}
		g.pool.Drop(conn)
	}
}

// send writes the head and body of the request with a single vectored write.
func (x *exchange) send(out outgoingRequest) *attemptError {
	if err := x.conn.SetDeadline(out.deadline); err != nil {
		return newAttemptError(coltsattempt.PhaseUnsent, coltsbalance.OutcomeNeutral,
			"connection to %s is closed: %v", x.conn.Addr, err)
	}
	buffers := net.Buffers{out.head, out.body}
	n, err := buffers.WriteTo(x.conn.Conn)
	if err == nil {
		return nil
	}
	phase := coltsattempt.PhaseSent
	if n == 0 {
		phase = coltsattempt.PhaseUnsent
	}
	f := newAttemptError(phase, x.connectionOutcome(),
		"request to %s failed after %d bytes: %v", x.choice.Upstream.ID, n, err)
	f.connectionLost = true
	return f
}

// connectionOutcome returns the outcome of a broken connection for the balancer: neutral if the
// request was cancelled here, otherwise a failure of the upstream.
func (x *exchange) connectionOutcome() coltsbalance.Outcome {
	if x.ctx.Err() != nil {
		return coltsbalance.OutcomeNeutral
	}
	return coltsbalance.OutcomeFailed
}

// readMatchingHead reads the head of the response to this request. Responses to other
// requests, which an upstream may send late, are skipped.
func (x *exchange) readMatchingHead(out outgoingRequest) *attemptError {
	for stray := 0; ; stray++ {
		if failure := x.readHead(out); failure != nil {
			return failure
		}
		if x.meta.RequestID == out.id || x.meta.RequestID == "" && !x.conn.Reused && stray == 0 {
			x.reusable = stray == 0 && !x.resp.ConnectionClose()
			return x.checkHead()
		}
		if x.meta.RequestID == "" {
			// On a connection that carried other requests it may be a late response to one of those.
			return newAttemptError(coltsattempt.PhaseSent, coltsbalance.OutcomeAnswered,
				"upstream %s answered status %d without the ID of a request", x.choice.Upstream.ID, x.resp.StatusCode())
		}
		if stray == maxStrayResponses {
			return newAttemptError(coltsattempt.PhaseSent, coltsbalance.OutcomeFailed,
				"upstream %s answered only other requests", x.choice.Upstream.ID)
		}
		err := x.body.Discard(maxStrayBytes)
		if err == nil && !x.body.Reusable() {
			err = errors.New("it ends with the connection")
		}
		if err != nil {
			x.countUnreadable(err)
			return newAttemptError(coltsattempt.PhaseSent, coltsbalance.OutcomeFailed,
				"upstream %s answered request %s instead, and the body could not be skipped: %v",
				x.choice.Upstream.ID, x.meta.RequestID, err)
		}
	}
}

// readHead reads the next head that is not interim (1xx).
func (x *exchange) readHead(out outgoingRequest) *attemptError {
	x.resp.Reset()
	x.resp.DisableNormalizing()
	x.resp.SetNoDefaultContentType(true)
	framing, err := coltsresponse.ReadHead(x.conn.Reader, x.resp, func() {
		x.meta = x.g.dialect.ParseResponse(x.resp)
		x.recordLeaving()
	})
	if err != nil {
		return x.readFailure(coltsattempt.PhaseSent, err)
	}
	if out.noBody {
		framing = 0
	}
	x.body = coltsresponse.NewBody(x.conn.Reader, framing)
	return nil
}

// readFailure turns a read error into a failed attempt.
func (x *exchange) readFailure(phase coltsattempt.Phase, err error) *attemptError {
	if isTimeout(err) && x.ctx.Err() == nil {
		return newAttemptError(phase, coltsbalance.OutcomeFailed,
			"upstream %s did not answer in time", x.choice.Upstream.ID)
	}
	var exhausted *coltsbuffer.ExhaustedError
	if errors.As(err, &exhausted) {
		return newAttemptError(phase, coltsbalance.OutcomeAnswered,
			"the response from %s can't be buffered: %v", x.choice.Upstream.ID, err)
	}
	if x.countUnreadable(err) {
		return newAttemptError(phase, x.connectionOutcome(),
			"the response from %s can't be read: %v", x.choice.Upstream.ID, err)
	}
	f := newAttemptError(phase, x.connectionOutcome(),
		"response from %s was interrupted: %v", x.choice.Upstream.ID, err)
	f.connectionLost = isDisconnect(err)
	if f.connectionLost && x.ctx.Err() == nil {
		x.g.metrics.Add(coltsmetric.InterruptedAnswers, 1)
	}
	return f
}

// countUnreadable reports whether err is due to a response that is not HTTP/1.1, and counts it then.
func (x *exchange) countUnreadable(err error) bool {
	unreadable := coltsresponse.IsUnreadable(err)
	if unreadable {
		x.g.metrics.Add(coltsmetric.UnreadableAnswers, 1)
	}
	return unreadable
}

// checkHead returns a failure if the response's head shows that the attempt failed.
func (x *exchange) checkHead() *attemptError {
	id := x.choice.Upstream.ID
	status := x.resp.StatusCode()
	x.recordPause()
	switch {
	case x.meta.Misdirected:
		f := newAttemptError(coltsattempt.PhaseRefused, coltsbalance.OutcomeFailed,
			"upstream %s answered at the address of %s, or has other weights", x.meta.Upstream, id)
		f.misdirected = true
		return f
	case x.meta.NotRun:
		outcome := coltsbalance.OutcomeFull
		if x.meta.RetryAfter > 0 {
			// A pause takes the place of the backoff.
			outcome = coltsbalance.OutcomeAnswered
		}
		return newAttemptError(coltsattempt.PhaseRefused, outcome,
			"upstream %s refused the request with status %d and did not run it", id, status)
	case status < 300 && !x.meta.Sealed:
		return newAttemptError(coltsattempt.PhaseSent, coltsbalance.OutcomeFailed,
			"upstream %s answered status %d without its seal", id, status)
	}
	return nil
}

// discardBuffered consumes a short body that is buffered already, such as that of a refusal,
// so that the connection can be reused.
func (x *exchange) discardBuffered() {
	if x.body == nil || x.body.Framing() < 0 || x.conn.Reader.Buffered() < x.body.Remaining() {
		return
	}
	// The bytes are there, so this neither waits nor fails.
	_ = x.body.Discard(x.body.Remaining())
}

// close ends the exchange. The connection is kept only if the response was read to its end.
func (x *exchange) close() {
	stopped := x.stop()
	x.discardBuffered()
	if !stopped || !x.reusable || x.body == nil || !x.body.Reusable() {
		x.g.pool.Drop(x.conn)
		return
	}
	x.conn.ExpiresAt = time.Time{}
	if idleTimeout := x.meta.IdleTimeout; idleTimeout > 0 {
		x.conn.ExpiresAt = x.g.now().Add(idleTimeout - idleTimeoutMargin)
	}
	x.g.pool.Put(x.conn)
}

// appendBodyFraming appends a Content-Length header of n bytes if hasLength is set, and the
// empty line that ends the head.
func appendBodyFraming(dst []byte, n int, hasLength bool) []byte {
	if hasLength {
		dst = append(dst, "Content-Length: "...)
		dst = strconv.AppendInt(dst, int64(n), 10)
		dst = append(dst, "\r\n"...)
	}
	return append(dst, "\r\n"...)
}
