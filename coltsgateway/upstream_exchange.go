package coltsgateway

// One attempt at one upstream: the request goes out whole, and the answer that belongs
// to it is found. How far the attempt had come when it failed is worked out here and
// nowhere else.

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltspool"
)

const (
	// strayAnswers bounds the answers to other requests that are passed over on one
	// connection while the right one is awaited.
	strayAnswers = 2
	// maxPlainBytes bounds an answer that is read whole before it is passed on.
	maxPlainBytes = 8 << 20
	// keepMargin is taken off the time for which an upstream keeps a connection, for
	// the way there and for clocks that run apart.
	keepMargin = 700 * time.Millisecond
)

// attemptError is a failed attempt.
type attemptError struct {
	coltsattempt.Failure
	// outcome is what it says of the upstream.
	outcome coltsbalance.Outcome
	// misdirected says that another upstream was reached, or one with other weights.
	misdirected bool
	// broke says that the connection broke, as it does when the upstream dies.
	broke bool
}

// Error gives the detail.
func (e *attemptError) Error() string { return e.Detail }

func failed(phase coltsattempt.Phase, outcome coltsbalance.Outcome, format string, args ...any) *attemptError {
	return &attemptError{
		Failure: coltsattempt.Failure{Phase: phase, Detail: fmt.Sprintf(format, args...)},
		outcome: outcome,
	}
}

// exchange is one attempt.
type exchange struct {
	g      *Gateway
	ctx    context.Context
	choice coltsbalance.Choice
	conn   *coltspool.Conn
	resp   *fasthttp.ResponseHeader
	meta   Answer
	body   *body
	// stop ends the watch on the context.
	stop func() bool
	// reusable says that the connection may serve another request once the body has
	// been read whole.
	reusable bool
}

// outgoing is what an attempt sends.
type outgoing struct {
	id       string
	head     []byte
	body     []byte
	deadline time.Time
	// noBody says that the answer has no body whatever its head says.
	noBody bool
}

// exchangeWith makes an attempt and reads the head of its answer. The exchange must be
// closed.
func (g *Gateway) exchangeWith(ctx context.Context, choice coltsbalance.Choice, out outgoing) (*exchange, *attemptError) {
	addr := choice.Upstream.Addr
	dialCtx, cancel := context.WithDeadline(ctx, out.deadline)
	conn, err := g.pool.Get(dialCtx, addr, false)
	cancel()
	if err != nil {
		outcome := coltsbalance.OutcomeFailed
		if ctx.Err() != nil {
			outcome = coltsbalance.OutcomeUntold
		}
		return nil, failed(coltsattempt.PhaseUnsent, outcome, "upstream %s at %s can't be reached: %v", choice.Upstream.ID, addr, err)
	}
	x := &exchange{g: g, ctx: ctx, choice: choice, conn: conn, resp: &fasthttp.ResponseHeader{}}
	x.stop = context.AfterFunc(ctx, func() { g.pool.Drop(conn) })
	failure := x.send(out)
	if failure == nil {
		failure = x.awaitHead(out)
	}
	if failure != nil {
		x.close()
		return nil, failure
	}
	return x, nil
}

// send writes the request in one piece.
func (x *exchange) send(out outgoing) *attemptError {
	if err := x.conn.SetDeadline(out.deadline); err != nil {
		return failed(coltsattempt.PhaseUnsent, coltsbalance.OutcomeUntold, "connection to %s is closed: %v", x.conn.Addr, err)
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
	f := failed(phase, x.blame(), "request to %s was cut off after %d bytes: %v", x.choice.Upstream.ID, n, err)
	f.broke = true
	return f
}

// blame is what a broken connection says of the upstream: nothing if the request was
// given up here.
func (x *exchange) blame() coltsbalance.Outcome {
	if x.ctx.Err() != nil {
		return coltsbalance.OutcomeUntold
	}
	return coltsbalance.OutcomeFailed
}

// awaitHead reads the head of the answer that belongs to the request. Answers to other
// requests, which an upstream may send late, are passed over.
func (x *exchange) awaitHead(out outgoing) *attemptError {
	for stray := 0; ; stray++ {
		if failure := x.readHead(out); failure != nil {
			return failure
		}
		if x.meta.RequestID == "" || x.meta.RequestID == out.id {
			x.reusable = stray == 0 && !x.resp.ConnectionClose()
			return x.judgeHead()
		}
		if stray == strayAnswers {
			return failed(coltsattempt.PhaseSent, coltsbalance.OutcomeFailed, "upstream %s answered other requests", x.choice.Upstream.ID)
		}
		if _, err := x.body.readAll(maxPlainBytes); err != nil || x.body.framing == framedByClose {
			return failed(coltsattempt.PhaseSent, coltsbalance.OutcomeFailed,
				"upstream %s answered request %s and broke off", x.choice.Upstream.ID, x.meta.RequestID)
		}
	}
}

// readHead reads one head, passing over interim answers.
func (x *exchange) readHead(out outgoing) *attemptError {
	for {
		x.resp.Reset()
		x.resp.DisableNormalizing()
		x.resp.SetNoDefaultContentType(true)
		if err := x.resp.Read(x.conn.Reader); err != nil {
			return x.readFailure(coltsattempt.PhaseSent, err)
		}
		if status := x.resp.StatusCode(); status < 200 {
			continue
		}
		break
	}
	framing := x.resp.ContentLength()
	status := x.resp.StatusCode()
	if out.noBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		framing = 0
	}
	x.body = newBody(x.conn.Reader, framing)
	x.meta = x.g.dialect.ReadAnswer(x.resp)
	return nil
}

// readFailure turns an error of reading into a failure.
func (x *exchange) readFailure(phase coltsattempt.Phase, err error) *attemptError {
	if isTimeout(err) && x.ctx.Err() == nil {
		return failed(phase, coltsbalance.OutcomeFailed, "upstream %s did not answer in time", x.choice.Upstream.ID)
	}
	f := failed(phase, x.blame(), "answer of %s broke off: %v", x.choice.Upstream.ID, err)
	f.broke = isBroken(err)
	return f
}

// judgeHead finds out whether the answer is one that the request can end with.
func (x *exchange) judgeHead() *attemptError {
	id := x.choice.Upstream.ID
	status := x.resp.StatusCode()
	switch {
	case x.meta.Misdirected:
		f := failed(coltsattempt.PhaseRefused, coltsbalance.OutcomeFailed, "upstream %s answers at the address of %s, or has other weights", x.meta.From, id)
		f.misdirected = true
		return f
	case x.meta.NotRun:
		return failed(coltsattempt.PhaseRefused, coltsbalance.OutcomeFull, "upstream %s refused with status %d as not run", id, status)
	case status < 300 && !x.meta.Sealed:
		return failed(coltsattempt.PhaseSent, coltsbalance.OutcomeFailed, "upstream %s answered status %d without its mark", id, status)
	}
	return nil
}

// discard takes a short body off the connection that has arrived already, as that of
// a refusal has, so that the connection can be kept.
func (x *exchange) discard() {
	if x.body == nil || x.body.framing < 0 || x.conn.Reader.Buffered() < x.body.left {
		return
	}
	_, err := x.conn.Reader.Discard(x.body.left)
	x.body.whole = err == nil
}

// close ends the exchange. The connection is kept only if the answer was read whole.
func (x *exchange) close() {
	mine := x.stop()
	x.discard()
	if !mine || !x.reusable || x.body == nil || !x.body.whole || x.body.framing == framedByClose {
		x.g.pool.Drop(x.conn)
		return
	}
	x.conn.CloseAt = time.Time{}
	if kept := x.meta.KeptFor; kept > 0 {
		x.conn.CloseAt = x.g.now().Add(kept - keepMargin)
	}
	x.g.pool.Put(x.conn)
}

// bodyLines appends the framing of a request's body and the empty line.
func bodyLines(dst []byte, n int, has bool) []byte {
	if has {
		dst = append(dst, "Content-Length: "...)
		dst = strconv.AppendInt(dst, int64(n), 10)
		dst = append(dst, "\r\n"...)
	}
	return append(dst, "\r\n"...)
}
