// Package coltsupstream is the client of the upstreams: it sends requests over pooled
// connections, reads responses and streams, and reports the phase in which an attempt
// failed.
//
// It makes no retry decisions; those are made in coltsattempt.
package coltsupstream

// All requests are sent by Client.begin. This file and upstream_stream.go turn every error
// into a Failure with the phase that the attempt had reached.

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbuffer"
	"coltsfootstall/coltscache"
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltspool"
	"coltsfootstall/coltsresponse"
)

// deadlineStepsPerTimeout limits how often a connection's read deadline is extended: at most
// this many times in each SilenceTimeout.
const deadlineStepsPerTimeout = 4

const (
	// maxAnswerBytes is the maximum size of an answer that is not streamed.
	maxAnswerBytes = 64 << 20
	// defaultBufferBytes is the default memory for all such answers together.
	defaultBufferBytes = 128 << 20
)

// Config is the configuration of a client.
type Config struct {
	// Dial opens a connection; nil for TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Now returns the current time; nil for time.Now.
	Now func() time.Time
	// SilenceTimeout is how long a connection may deliver no byte while a response is
	// awaited. It has no default.
	SilenceTimeout time.Duration
	// ProbeTimeout bounds the probe of an idle connection. It has no default.
	ProbeTimeout time.Duration
	// Buffers bounds the memory for answers that are not streamed; nil for defaultBufferBytes.
	Buffers *coltsbuffer.Budget
	// OnUnresponsive is called with the upstream's address whenever a connection was found
	// unresponsive; nil for none.
	OnUnresponsive func(addr netip.AddrPort)
	// OnWrongRequestID is called with the upstream's address for each response that carries
	// the ID of another request; nil for none.
	OnWrongRequestID func(addr netip.AddrPort)
	// OnBrokenAnswer is called with the upstream's address and the cause for each response that is not HTTP/1.1
	// (coltsresponse.UnreadableError) or whose connection ended before it did; nil for none.
	OnBrokenAnswer func(addr netip.AddrPort, err error)
}

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	cfg  Config
	pool *coltspool.Pool
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Buffers == nil {
		cfg.Buffers = coltsbuffer.NewBudget(defaultBufferBytes)
	}
	if cfg.OnWrongRequestID == nil {
		cfg.OnWrongRequestID = func(netip.AddrPort) {}
	}
	if cfg.OnBrokenAnswer == nil {
		cfg.OnBrokenAnswer = func(netip.AddrPort, error) {}
	}
	c := &Client{cfg: cfg}
	c.pool = coltspool.New(coltspool.Config{
		Dial:           cfg.Dial,
		Now:            cfg.Now,
		Probe:          c.probe,
		ProbeTimeout:   cfg.ProbeTimeout,
		OnUnresponsive: cfg.OnUnresponsive,
	})
	return c
}

// Close closes the idle connections. Running requests are not affected.
func (c *Client) Close() {
	c.pool.CloseIdle()
}

// Request is a request to an upstream.
type Request struct {
	ID          coltsidentity.Request
	Addr        netip.AddrPort
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Headers are additional headers by name.
	Headers map[string]string
	// Deadline is when the request times out.
	Deadline time.Time
	// NotRepeatable is set if the request must not be sent twice. It is then sent only over a
	// connection that is new or has just answered a probe.
	NotRepeatable bool
	// OnSent is called once the whole request has been written to its connection; nil for none.
	OnSent func()
	// NoHeartbeats is set if the upstream sends no heartbeats while it works, so that
	// SilenceTimeout does not apply and only Deadline ends the wait for the response.
	NoHeartbeats bool
}

// Answer is a complete response of an upstream.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// FormatRestoreHeader returns the value of HeaderRestore for a plan: the address of the store
// and RestorePlan.UpTo, the index after the last piece to restore.
func FormatRestoreHeader(plan coltscache.RestorePlan) string {
	return fmt.Sprintf("%s %d", plan.Addr, plan.UpTo)
}

// FormatPiecesHeader returns the value of HeaderPieces: the names of the pieces, separated by
// commas.
func FormatPiecesHeader(pieces []coltscache.Piece) string {
	return strings.Join(coltscodec.PieceNames(pieces), ",")
}

// Failure is a coltsattempt.Failure that implements error.
type Failure struct {
	coltsattempt.Failure
}

// Error returns the detail.
func (f *Failure) Error() string {
	return f.Detail
}

// newFailure returns a failure whose detail is formatted as by fmt.Sprintf.
func newFailure(phase coltsattempt.Phase, crashed bool, format string, args ...any) *Failure {
	return &Failure{coltsattempt.Failure{Phase: phase, Crashed: crashed, Detail: fmt.Sprintf(format, args...)}}
}

// exchange is one request and its response on one connection.
type exchange struct {
	client *Client
	ctx    context.Context
	conn   *coltspool.Conn
	req    Request
	head   *fasthttp.ResponseHeader
	// body is the body of the response; nil until its head has been read.
	body *coltsresponse.Body
	// stop cancels the function that closes the connection when ctx ends. It returns false
	// if that function has been started.
	stop func() bool
	// readDeadline is the current read deadline of the connection.
	readDeadline time.Time
}

// begin sends a request and reads the status and headers of the response. If the Failure is
// nil, the caller must close the exchange.
func (c *Client) begin(ctx context.Context, r Request) (*exchange, *Failure) {
	conn, err := c.pool.Get(ctx, r.Addr, r.NotRepeatable)
	if err != nil {
		return nil, newFailure(coltsattempt.PhaseUnsent, false, "upstream %s can't be reached: %v", r.Addr, err)
	}
	x := &exchange{client: c, ctx: ctx, conn: conn, req: r, head: &fasthttp.ResponseHeader{}}
	x.stop = context.AfterFunc(ctx, func() { c.pool.Drop(conn) })
	if failure := x.send(); failure != nil {
		x.close()
		return nil, failure
	}
	if failure := x.readHead(); failure != nil {
		x.close()
		return nil, failure
	}
	return x, nil
}

// send writes the request. Once writing has begun, a failure has the phase PhaseSent, since
// some bytes may have reached the upstream.
func (x *exchange) send() *Failure {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(x.req.Method)
	req.Header.SetContentType(x.req.ContentType)
	req.SetRequestURI(x.req.Path)
	req.Header.SetHost(x.req.Addr.String())
	req.Header.Set(coltscodec.HeaderRequest, x.req.ID.String())
	for name, value := range x.req.Headers {
		req.Header.Set(name, value)
	}
	req.SetBodyRaw(x.req.Body)
	if err := x.conn.SetWriteDeadline(x.req.Deadline); err != nil {
		return newFailure(coltsattempt.PhaseUnsent, false, "connection to %s is closed: %v", x.req.Addr, err)
	}
	err := req.Write(x.conn.Writer)
	if err == nil {
		err = x.conn.Writer.Flush()
	}
	if err != nil {
		return newFailure(coltsattempt.PhaseSent, x.hasCrashed(),
			"sending the request to upstream %s failed: %v", x.req.Addr, err)
	}
	if x.req.OnSent != nil {
		x.req.OnSent()
	}
	return nil
}

// readHead reads the status and headers and checks that the response belongs to the
// request.
func (x *exchange) readHead() *Failure {
	x.extendReadDeadline()
	framing, err := coltsresponse.ReadHead(x.conn.Reader, x.head, nil)
	if err != nil {
		return x.readFailure(coltsattempt.PhaseSent, err)
	}
	x.body = coltsresponse.NewBody(x.conn.Reader, framing)
	if !x.matchesID(string(x.head.Peek(coltscodec.HeaderRequest))) {
		return x.mismatchFailure()
	}
	if string(x.head.Peek(coltscodec.HeaderOutcome)) == string(coltsattempt.OutcomeNotRun) {
		return x.refusalFailure()
	}
	return nil
}

// matchesID reports whether a response with the given request ID belongs to the request.
func (x *exchange) matchesID(id string) bool {
	return id == x.req.ID.String()
}

// mismatchFailure returns the failure for a response to another request. The connection is
// not reused, since it may carry further responses to other requests.
func (x *exchange) mismatchFailure() *Failure {
	x.client.cfg.OnWrongRequestID(x.req.Addr)
	return newFailure(coltsattempt.PhaseSent, false,
		"upstream %s sent the response to another request", x.req.Addr)
}

// refusalFailure returns the failure for a response which states that the request was not
// run.
func (x *exchange) refusalFailure() *Failure {
	f := newFailure(coltsattempt.PhaseRefused, false,
		"upstream %s refused the request with status %d", x.req.Addr, x.head.StatusCode())
	f.Permanent = x.head.StatusCode() < fasthttp.StatusInternalServerError &&
		x.head.StatusCode() != fasthttp.StatusTooManyRequests
	if pause := coltscodec.ParseRetryAfter(string(x.head.Peek(fasthttp.HeaderRetryAfter))); pause > 0 {
		f.RetryAt = x.client.cfg.Now().Add(pause)
	}
	return f
}

// extendReadDeadline sets the deadline for the next byte. It is called before every token of
// a stream, so the connection's deadline is changed only if that extends it by at least
// SilenceTimeout/deadlineStepsPerTimeout.
func (x *exchange) extendReadDeadline() {
	deadline := x.req.Deadline
	if !x.req.NoHeartbeats {
		silenceDeadline := x.client.cfg.Now().Add(x.client.cfg.SilenceTimeout)
		if silenceDeadline.Before(deadline) {
			deadline = silenceDeadline
		}
	}
	if deadline.Sub(x.readDeadline) < x.client.cfg.SilenceTimeout/deadlineStepsPerTimeout {
		return
	}
	x.readDeadline = deadline
	// If the connection is closed, the next read fails and reports it.
	_ = x.conn.SetReadDeadline(deadline)
}

// readFailure returns the failure for an error while reading the response.
func (x *exchange) readFailure(phase coltsattempt.Phase, err error) *Failure {
	if isTimeout(err) {
		x.client.pool.MarkUnresponsive(x.req.Addr)
		return newFailure(phase, x.hasCrashed(), "timed out waiting for data from upstream %s", x.req.Addr)
	}
	if x.ctx.Err() == nil {
		x.client.cfg.OnBrokenAnswer(x.req.Addr, err)
	}
	if coltsresponse.IsUnreadable(err) {
		return newFailure(phase, false, "the response of upstream %s can't be read: %v", x.req.Addr, err)
	}
	return newFailure(phase, x.hasCrashed(), "reading the response of upstream %s failed: %v", x.req.Addr, err)
}

// hasCrashed reports whether the upstream itself appears to be down, as opposed to a single
// connection to it, so that a request is not suspected of a crash because of a network
// fault. It returns false if the context has ended.
func (x *exchange) hasCrashed() bool {
	return x.ctx.Err() == nil && !x.client.pool.RespondsToProbe(x.req.Addr)
}

// isTimeout reports whether a read reached its deadline. fasthttp returns an error of
// its own for that.
func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout)
}

// close releases the connection. It returns to the pool only if the response was read to its end, the context
// has not ended and the upstream keeps the connection open.
func (x *exchange) close() {
	stopped := x.stop()
	if stopped && x.body != nil && x.body.Reusable() && !x.head.ConnectionClose() {
		x.client.pool.Put(x.conn)
		return
	}
	x.client.pool.Drop(x.conn)
}

// Do sends a request and reads the complete response.
func (c *Client) Do(ctx context.Context, r Request) (Answer, *Failure) {
	x, failure := c.begin(ctx, r)
	if failure != nil {
		return Answer{}, failure
	}
	defer x.close()
	body, failure := x.readBody()
	if failure != nil {
		return Answer{}, failure
	}
	return Answer{
		Status:      x.head.StatusCode(),
		ContentType: string(x.head.ContentType()),
		Body:        body,
	}, nil
}

// readBody reads the response body to its end. Heartbeats from the upstream extend the read
// deadline.
func (x *exchange) readBody() ([]byte, *Failure) {
	var body []byte
	buffer := make([]byte, coltspool.BufferBytes)
	share := x.client.cfg.Buffers.NewShare()
	defer share.Release()
	for len(body) <= maxAnswerBytes {
		x.extendReadDeadline()
		n, err := x.body.Read(buffer)
		// Growing a slice at most doubles its memory.
		if growErr := share.Grow(2 * (len(body) + n)); growErr != nil {
			return nil, newFailure(coltsattempt.PhaseSent, false,
				"the response of upstream %s can't be buffered: %v", x.req.Addr, growErr)
		}
		body = append(body, buffer[:n]...)
		if isEnd(err) {
			return body, nil
		}
		if err != nil {
			return nil, x.readFailure(coltsattempt.PhaseSent, err)
		}
	}
	return nil, newFailure(coltsattempt.PhaseSent, false, "response of upstream %s is too long", x.req.Addr)
}
