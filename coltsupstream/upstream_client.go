// Package coltsupstream speaks to upstreams: it sends requests over pooled
// connections, reads their streams, and says how far a failed attempt had come.
//
// It decides nothing: whether a failure is tried again is coltsattempt's rule.
package coltsupstream

// One function sends a request, and every way in which it can fail is turned
// into a Failure with the phase that it had reached, here and nowhere else.

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltscache"
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltspool"
)

// silenceSteps is in how many steps the deadline of a stream's connection moves on
// during the silence that is allowed.
const silenceSteps = 4

// maxAnswerBytes bounds an answer that is read whole.
const maxAnswerBytes = 64 << 20

// Config says how to reach upstreams. A zero field gets its default.
type Config struct {
	// Dial makes a connection; nil for TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Now reads the clock; nil for time.Now.
	Now func() time.Time
	// SilenceTimeout is how long a connection may give no byte while an answer
	// is due.
	SilenceTimeout time.Duration
	// ProbeTimeout is how long an idle connection may take to answer a probe.
	ProbeTimeout time.Duration
	// OnSilent is told of each connection that was found silent; nil for nobody.
	OnSilent func(addr netip.AddrPort)
	// OnCrossed is told of each answer with another request's identity.
	OnCrossed func(addr netip.AddrPort)
}

// Client sends requests to upstreams. It may be used concurrently.
type Client struct {
	cfg  Config
	pool *coltspool.Pool
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.OnCrossed == nil {
		cfg.OnCrossed = func(netip.AddrPort) {}
	}
	return &Client{cfg: cfg, pool: coltspool.New(coltspool.Config{
		Dial:         cfg.Dial,
		Now:          cfg.Now,
		Probe:        probe,
		ProbeTimeout: cfg.ProbeTimeout,
		OnSilent:     cfg.OnSilent,
	})}
}

// Close closes the idle connections. Requests under way end as usual.
func (c *Client) Close() {
	c.pool.CloseIdle()
}

// Request is what is sent to an upstream.
type Request struct {
	ID          coltsidentity.Request
	Addr        netip.AddrPort
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Headers are those of the protocol, by name.
	Headers map[string]string
	// Deadline is when the request is given up.
	Deadline time.Time
	// Once says that the request may not be sent twice, so that it goes only over
	// a connection that has just answered a probe.
	Once bool
	// Unheard says that the upstream sends no heartbeat, so that only the
	// deadline ends the wait for its answer.
	Unheard bool
}

// Answer is an upstream's whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// RestoreHeader returns the value of HeaderRestore for a plan: the store's
// address and the piece up to which to restore.
func RestoreHeader(plan coltscache.RestorePlan) string {
	return fmt.Sprintf("%s %d", plan.Addr, plan.UpTo)
}

// PiecesHeader returns the value of HeaderPieces.
func PiecesHeader(pieces []coltscache.Piece) string {
	return strings.Join(coltscodec.PieceNames(pieces), ",")
}

// Failure is a failed attempt as an error.
type Failure struct {
	coltsattempt.Failure
}

// Error gives the detail.
func (f *Failure) Error() string {
	return f.Detail
}

func failed(phase coltsattempt.Phase, crashed bool, format string, args ...any) *Failure {
	return &Failure{coltsattempt.Failure{Phase: phase, Crashed: crashed, Detail: fmt.Sprintf(format, args...)}}
}

// exchange is one request on one connection.
type exchange struct {
	client *Client
	ctx    context.Context
	conn   *coltspool.Conn
	req    Request
	resp   *fasthttp.Response
	// stop ends the watch on the context.
	stop func() bool
	// due is the deadline that the connection has.
	due time.Time
	// ended says that the answer was read to its end.
	ended bool
}

// begin sends a request and reads the head of its answer. A nil Failure comes
// with an exchange that must be closed.
func (c *Client) begin(ctx context.Context, r Request) (*exchange, *Failure) {
	nc, err := c.pool.Get(ctx, r.Addr, r.Once)
	if err != nil {
		return nil, failed(coltsattempt.PhaseUnsent, false, "upstream %s can't be reached: %v", r.Addr, err)
	}
	x := &exchange{client: c, ctx: ctx, conn: nc, req: r, resp: fasthttp.AcquireResponse()}
	x.stop = context.AfterFunc(ctx, func() { c.pool.Drop(nc) })
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

// send writes the request. As soon as a byte may have left, the phase is sent.
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
		return failed(coltsattempt.PhaseUnsent, false, "connection to %s is closed: %v", x.req.Addr, err)
	}
	err := req.Write(x.conn.Writer)
	if err == nil {
		err = x.conn.Writer.Flush()
	}
	if err != nil {
		return failed(coltsattempt.PhaseSent, x.hasCrashed(), "request to %s was cut off: %v", x.req.Addr, err)
	}
	return nil
}

// readHead reads status and headers and checks whose answer it is.
func (x *exchange) readHead() *Failure {
	x.resp.StreamBody = true
	x.await()
	err := x.resp.ReadLimitBody(x.conn.Reader, 0)
	if err != nil {
		return x.readFailure(coltsattempt.PhaseSent, err)
	}
	if !x.isOurs(string(x.resp.Header.Peek(coltscodec.HeaderRequest))) {
		return x.crossed()
	}
	if string(x.resp.Header.Peek(coltscodec.HeaderOutcome)) == string(coltsattempt.OutcomeNotRun) {
		return x.refused()
	}
	return nil
}

func (x *exchange) isOurs(identity string) bool {
	return identity == x.req.ID.String()
}

// crossed reports an answer to another request. The connection is not used
// again, since what follows on it is not known either.
func (x *exchange) crossed() *Failure {
	x.client.cfg.OnCrossed(x.req.Addr)
	return failed(coltsattempt.PhaseSent, false, "upstream %s answered another request", x.req.Addr)
}

// refused reports that the upstream says that it did not run the request.
func (x *exchange) refused() *Failure {
	f := failed(coltsattempt.PhaseRefused, false, "upstream %s refused with status %d", x.req.Addr, x.resp.StatusCode())
	f.Permanent = x.resp.StatusCode() < fasthttp.StatusInternalServerError &&
		x.resp.StatusCode() != fasthttp.StatusTooManyRequests
	seconds, err := strconv.Atoi(string(x.resp.Header.Peek(fasthttp.HeaderRetryAfter)))
	if err == nil {
		f.RetryAt = x.client.cfg.Now().Add(time.Duration(seconds) * time.Second)
	}
	return f
}

// await sets when the next byte is due. A stream waits for every token, so the
// connection's deadline is moved only when it would otherwise come too early by
// more than a part of the silence that is allowed.
func (x *exchange) await() {
	due := x.req.Deadline
	if !x.req.Unheard {
		silentAt := x.client.cfg.Now().Add(x.client.cfg.SilenceTimeout)
		if silentAt.Before(due) {
			due = silentAt
		}
	}
	if due.Sub(x.due) < x.client.cfg.SilenceTimeout/silenceSteps {
		return
	}
	x.due = due
	// A closed connection makes the read that follows fail.
	_ = x.conn.SetReadDeadline(due)
}

// readFailure turns an error of reading into a failure.
func (x *exchange) readFailure(phase coltsattempt.Phase, err error) *Failure {
	if isTimeout(err) {
		x.client.pool.MarkUnresponsive(x.req.Addr)
		return failed(phase, x.hasCrashed(), "upstream %s went silent", x.req.Addr)
	}
	return failed(phase, x.hasCrashed(), "answer of %s broke off: %v", x.req.Addr, err)
}

// hasCrashed says whether the upstream is gone, rather than one connection to it:
// an innocent request must not be blamed for what the network did.
func (x *exchange) hasCrashed() bool {
	return x.ctx.Err() == nil && !x.client.pool.Answers(x.req.Addr)
}

// isTimeout says whether a read ended by its deadline. The library has an error
// of its own for it.
func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout)
}

// close ends the exchange. The connection is kept only if the answer was read
// to its end.
func (x *exchange) close() {
	mine := x.stop()
	// Closing the body's stream of a whole answer reads nothing more.
	if x.ended && mine && !x.resp.ConnectionClose() {
		_ = x.resp.CloseBodyStream()
		x.client.pool.Put(x.conn)
	} else {
		x.client.pool.Drop(x.conn)
		_ = x.resp.CloseBodyStream()
	}
	fasthttp.ReleaseResponse(x.resp)
}

// Do sends a request and reads the whole answer.
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
		Status:      x.resp.StatusCode(),
		ContentType: string(x.resp.Header.ContentType()),
		Body:        body,
	}, nil
}

// readBody reads an answer to its end; heartbeats keep it from going silent.
func (x *exchange) readBody() ([]byte, *Failure) {
	var body []byte
	stream := x.resp.BodyStream()
	if stream == nil {
		x.ended = true
		return x.resp.Body(), nil
	}
	buffer := make([]byte, coltspool.BufferBytes)
	for len(body) <= maxAnswerBytes {
		x.await()
		n, err := stream.Read(buffer)
		body = append(body, buffer[:n]...)
		if isEnd(err) {
			x.ended = true
			return body, nil
		}
		if err != nil {
			return nil, x.readFailure(coltsattempt.PhaseSent, err)
		}
	}
	return nil, failed(coltsattempt.PhaseSent, false, "answer of %s is too long", x.req.Addr)
}

// probe asks an idle connection's other end for a sign of life.
func probe(c *coltspool.Conn, deadline time.Time) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(coltscodec.PathHealth)
	req.Header.SetHost(c.Addr.String())
	if err := c.SetDeadline(deadline); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	if err := req.Write(c.Writer); err != nil {
		return errors.Wrap(err, "write probe")
	}
	if err := c.Writer.Flush(); err != nil {
		return errors.Wrap(err, "write probe")
	}
	return errors.Wrap(resp.Read(c.Reader), "read probe's answer")
}
