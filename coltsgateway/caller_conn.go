package coltsgateway

// Each caller connection is served by one goroutine, one request after another. A request with
// ambiguous framing is refused and its connection closed, because another HTTP parser might
// split the same bytes into different requests (request smuggling).

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsaccept"
	"coltsfootstall/coltsbuffer"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltswatch"
)

const (
	// callerReadBytes is the size of a connection's read buffer. A request with a longer head
	// gets a larger buffer.
	callerReadBytes = 4 << 10
	// bodyTimeout bounds reading a request's body.
	bodyTimeout = 10 * time.Second
	// acceptRetryPause is the pause after a failed accept, for example when the process has
	// run out of file descriptors.
	acceptRetryPause = 20 * time.Millisecond
	// acceptRecovery is how long an instance counts as not ready after a failed accept, unless it accepts
	// another connection meanwhile. There may be none to accept.
	acceptRecovery = time.Second
	// closeLinger is how long a connection that is about to be closed may still receive what its
	// caller has already sent. It exceeds the round trip to callers.
	closeLinger = 250 * time.Millisecond
	// maxDiscardBytes bounds what is read and discarded of a refused request.
	maxDiscardBytes = 1 << 20
)

// defaultLimits apply until the first route table arrives.
var defaultLimits = coltsroute.Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   4 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

// accept serves connections until the listener is closed.
func (g *Gateway) accept() {
	for {
		nc, err := g.callerListener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.log.Warn("A connection could not be accepted.", coltslog.Fields{
				"error": err, "open": g.openConns.count(),
			})
			g.acceptFailedAt.Store(g.now().UnixNano())
			g.shed(coltsbuffer.Need{Connections: max(1, g.openConns.count()/shedBatchShare)})
			time.Sleep(acceptRetryPause)
			continue
		}
		g.acceptFailedAt.Store(0)
		conn, ok := nc.(*coltswatch.Conn)
		if !ok {
			g.log.Error("A connection has the wrong type.", coltslog.Fields{"type": nc})
			continue
		}
		c := newCallerConn(g, conn)
		if !g.admit(c) {
			g.countRefused()
			_ = conn.Close() // an error here needs no handling
			continue
		}
		g.callers.Go(c.serve)
	}
}

// callerConn is one connection from a caller.
type callerConn struct {
	g  *Gateway
	nc *coltswatch.Conn
	// lines is the same connection. It bounds the lines of heads and trailers, for each of which the
	// parsed head takes about 80 bytes, however short it is.
	lines *coltsaccept.Conn
	br    *bufio.Reader
	// base is what the connection takes of the memory for buffers as long as it is open, share what the
	// current request takes besides.
	base  *coltsbuffer.Share
	share *coltsbuffer.Share
	state connState
	// acceptedAt is when the connection was accepted.
	acceptedAt time.Time
}

func newCallerConn(g *Gateway, nc *coltswatch.Conn) *callerConn {
	c := &callerConn{
		g: g, nc: nc, lines: &coltsaccept.Conn{Conn: nc}, base: g.buffers.NewShare(), share: g.buffers.NewShare(),
		acceptedAt: g.now(),
	}
	c.br = bufio.NewReaderSize((*countingReader)(c), callerReadBytes)
	return c
}

// errShed reports that the connection was chosen to end, to free memory or descriptors.
var errShed = errors.New("the connection makes no progress, and memory or descriptors are short")

// countingReader reads from a caller's connection and counts what arrives. It fails once the connection
// was chosen to end.
type countingReader callerConn

// Read reads from the connection.
func (r *countingReader) Read(p []byte) (int, error) {
	// The flag is set before the deadline that ends a read, which the connection's own goroutine may
	// replace by a later one.
	if r.state.phase() == coltsbuffer.PhaseShed {
		return 0, errShed
	}
	n, err := r.lines.Read(p)
	r.state.received.Add(int64(n))
	return n, err
}

// endRead ends the pending read.
func (c *callerConn) endRead() {
	// An error means that the connection is closed, and then its read has ended already.
	_ = c.nc.SetReadDeadline(time.Unix(1, 0))
}

// grow takes memory so that the current request may hold size bytes.
func (c *callerConn) grow(size int) error {
	if err := c.share.Grow(size); err != nil {
		return err
	}
	c.state.held.Store(int64(c.g.connBytes + size))
	return nil
}

// serve serves requests until the connection ends. An unexpected error ends this connection alone.
func (c *callerConn) serve() {
	defer func() {
		c.share.Release()
		c.base.Release()
		c.g.openConns.remove(c)
		_ = c.nc.Close() // an error here needs no handling
	}()
	defer func() {
		c.g.log.HandlePanic(recover(), coltslog.Fields{"caller": c.nc.RemoteAddr()}, func() {
			c.g.metrics.Add(coltsmetric.Panics, 1)
		})
	}()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	for c.awaitRequest() {
		reusable := c.serveOne(req)
		// An idle connection keeps no body, which would not count in the memory for buffers.
		req.ResetBody()
		c.share.Release()
		if !reusable {
			return
		}
	}
}

func (c *callerConn) limits() coltsroute.Limits {
	if ix := c.g.routes.Current(); ix != nil {
		return ix.Table.Limits
	}
	return defaultLimits
}

// awaitRequest waits for the first byte of the next request and reports whether it arrived.
func (c *callerConn) awaitRequest() bool {
	c.state.held.Store(int64(c.g.connBytes))
	c.state.received.Store(int64(c.br.Buffered()))
	if c.br.Buffered() > 0 {
		return c.state.enter(coltsbuffer.PhaseReading, c.g.now())
	}
	// On a closed connection the reads below fail, so errors of setting deadlines need no handling.
	_ = c.nc.SetReadDeadline(c.g.now().Add(c.limits().IdleTimeout))
	if !c.state.enter(coltsbuffer.PhaseIdle, c.g.now()) {
		return false
	}
	var err error
	if !c.g.closing.Load() {
		_, err = c.br.Peek(1)
	}
	if c.g.closing.Load() && (err == nil && c.br.Buffered() == 0 || isTimeout(err)) {
		// A request may be on its way, on a connection that was accepted just before.
		_ = c.nc.SetReadDeadline(c.g.now().Add(closeLinger))
		_, err = c.br.Peek(1)
	}
	if err != nil && !errors.Is(err, errShed) && !isTimeout(err) && !isDisconnect(err) {
		// The first bytes of the request are refused, for example because of too many lines.
		return c.refuseUnread(err)
	}
	return err == nil && c.state.enter(coltsbuffer.PhaseReading, c.g.now())
}

// serveOne reads and serves one request and reports whether the connection can serve another.
func (c *callerConn) serveOne(req *fasthttp.Request) bool {
	limits := c.limits()
	_ = c.nc.SetReadDeadline(c.g.now().Add(limits.HeaderTimeout))
	if err := c.readHead(req, limits); err != nil {
		return c.refuseUnread(err)
	}
	_ = c.nc.SetReadDeadline(c.g.now().Add(bodyTimeout))
	if err := c.readBody(req, limits); err != nil {
		return c.refuseUnread(err)
	}
	if !c.state.enter(coltsbuffer.PhaseServing, c.g.now()) {
		return c.refuseUnread(errShed)
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	f := &forwarding{
		g: c.g, conn: c, req: req, closeConn: req.Header.ConnectionClose() || !req.Header.IsHTTP11(),
		buffered: c.g.buffers.NewShare(), fallbackBuffered: c.g.buffers.NewShare(),
	}
	defer func() {
		f.buffered.Release()
		f.fallbackBuffered.Release()
	}()
	return f.serve()
}

// readHead reads and validates a request's head.
func (c *callerConn) readHead(req *fasthttp.Request, limits coltsroute.Limits) error {
	req.Reset()
	req.Header.DisableNormalizing()
	req.Header.SetNoDefaultContentType(true)
	err := req.Header.Read(c.br)
	var smallBuffer *fasthttp.ErrSmallBuffer
	if errors.As(err, &smallBuffer) && c.br.Size() < limits.MaxHeaderBytes {
		if err := c.enlarge(limits.MaxHeaderBytes); err != nil {
			return err
		}
		err = req.Header.Read(c.br)
	}
	if errors.As(err, &smallBuffer) {
		return &badRequestError{status: fasthttp.StatusRequestHeaderFieldsTooLarge, reason: "its head is too long"}
	}
	if err != nil {
		return err
	}
	return checkFraming(&req.Header)
}

// enlarge replaces the read buffer by a larger one that starts with the bytes already
// buffered.
func (c *callerConn) enlarge(size int) error {
	// The connection keeps the larger buffer and the parsed head, so their part stays taken as long as it
	// is open.
	if c.g.connBytes > 0 {
		if err := c.base.Grow(c.g.connBytes + 2*size + callerReadBytes); err != nil {
			return err
		}
	}
	buffered, _ := c.br.Peek(c.br.Buffered()) // peeking at buffered bytes can't fail
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), (*countingReader)(c)), size+callerReadBytes)
	return nil
}

// checkFraming refuses a head whose end or body length another parser might read differently.
func checkFraming(h *fasthttp.RequestHeader) error {
	raw := h.RawHeaders()
	for i, b := range raw {
		if b == '\n' && (i == 0 || raw[i-1] != '\r') {
			return &badRequestError{status: fasthttp.StatusBadRequest, reason: "a line of its head has no carriage return"}
		}
		if b == '\n' && i+1 < len(raw) && (raw[i+1] == ' ' || raw[i+1] == '\t') {
			return &badRequestError{status: fasthttp.StatusBadRequest, reason: "a line of its head is folded"}
		}
	}
	if countHeader(h, fasthttp.HeaderContentLength)+countHeader(h, fasthttp.HeaderTransferEncoding) > 1 {
		return &badRequestError{
			status: fasthttp.StatusBadRequest, reason: "it declares the length of its body more than once",
		}
	}
	if len(h.Host()) == 0 {
		return &badRequestError{status: fasthttp.StatusBadRequest, reason: "it has no host header"}
	}
	return nil
}

// countHeader counts the lines of the raw head that have the given header name.
func countHeader(h *fasthttp.RequestHeader, name string) int {
	n := 0
	for _, line := range bytes.Split(h.RawHeaders(), []byte("\r\n")) {
		key, _, found := bytes.Cut(line, []byte(":"))
		if found && bytes.EqualFold(bytes.TrimSpace(key), []byte(name)) {
			n++
		}
	}
	return n
}

// readBody reads a request's entire body.
func (c *callerConn) readBody(req *fasthttp.Request, limits coltsroute.Limits) error {
	if req.MayContinue() {
		if _, err := c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	b := &bodyReader{br: c.br, limit: limits.MaxBodyBytes, grow: c.grow}
	switch n := req.Header.ContentLength(); {
	case n == framingUntilClose:
		// A request without either header has no body.
		if !req.Header.IsGet() && !req.Header.IsHead() {
			req.Header.SetContentLength(0)
		}
		return nil
	case n == framingChunked:
		if err := c.readChunkedBody(b, req); err != nil {
			return err
		}
	default:
		b.total = n
		if err := b.read(n); err != nil {
			return err
		}
	}
	if len(b.content) > 0 {
		req.SetBodyRaw(b.content)
	}
	return nil
}

// readChunkedBody reads a chunked body and its trailer.
func (c *callerConn) readChunkedBody(b *bodyReader, req *fasthttp.Request) error {
	if err := b.readChunks(); err != nil {
		return err
	}
	if len(b.content) == 0 {
		req.Header.SetContentLength(0)
	}
	err := req.Header.ReadTrailer(c.br)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
