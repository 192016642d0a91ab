package coltsgateway

// One goroutine serves a caller's connection, one request after another. Whatever is
// not plainly one request is refused and the connection closed, because a second
// reader of the same bytes might see another request in them.

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltswatch"
)

const (
	// callerReadBytes is the size of a connection's read buffer; longer heads get a
	// larger one for as long as they need it.
	callerReadBytes = 4 << 10
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 10 * time.Second
	// acceptPause is the pause after an accept that failed for want of descriptors.
	acceptPause = 20 * time.Millisecond
)

// defaultLimits hold until a route table says otherwise.
var defaultLimits = coltsroute.Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   4 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

// accept serves connections until the listener is closed.
func (g *Gateway) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.log.Warn("A connection could not be accepted.", coltslog.Fields{"error": err, "open": g.open.count()})
			time.Sleep(acceptPause)
			continue
		}
		conn, ok := nc.(*coltswatch.Conn)
		if !ok {
			g.log.Error("A connection has the wrong type.", coltslog.Fields{"type": nc})
			continue
		}
		c := &callerConn{g: g, nc: conn, br: bufio.NewReaderSize(conn, callerReadBytes)}
		go c.serve()
	}
}

// callerConn is one connection of a caller.
type callerConn struct {
	g  *Gateway
	nc *coltswatch.Conn
	br *bufio.Reader
}

// serve serves requests until the connection ends.
func (c *callerConn) serve() {
	defer func() {
		c.g.open.remove(c.nc)
		_ = c.nc.Close() // nothing is left to be done about an error here
	}()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	for c.awaitRequest() {
		c.g.requests.Add(1)
		keep := c.serveOne(req)
		c.g.requests.Done()
		if !keep {
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

// awaitRequest waits for the first byte of a request and says whether it came.
func (c *callerConn) awaitRequest() bool {
	if c.br.Buffered() > 0 {
		return true
	}
	// A connection that is closed fails at the read that follows.
	_ = c.nc.SetReadDeadline(c.g.now().Add(c.limits().IdleTimeout))
	c.g.open.set(c.nc, true)
	defer c.g.open.set(c.nc, false)
	if c.g.draining.Load() {
		_ = c.nc.SetReadDeadline(c.g.now().Add(noticeTime))
	}
	_, err := c.br.Peek(1)
	return err == nil
}

// serveOne reads and serves one request and says whether another may follow.
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
	_ = c.nc.SetReadDeadline(time.Time{})
	f := &forwarding{g: c.g, conn: c, req: req, closes: req.Header.ConnectionClose() || !req.Header.IsHTTP11()}
	return f.serve()
}

// readHead reads and checks a request's head.
func (c *callerConn) readHead(req *fasthttp.Request, limits coltsroute.Limits) error {
	req.Reset()
	req.Header.DisableNormalizing()
	req.Header.SetNoDefaultContentType(true)
	err := req.Header.Read(c.br)
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) && c.br.Size() < limits.MaxHeaderBytes {
		c.enlarge(limits.MaxHeaderBytes)
		err = req.Header.Read(c.br)
	}
	if errors.As(err, &small) {
		return &badRequestError{status: fasthttp.StatusRequestHeaderFieldsTooLarge, reason: "its head is too long"}
	}
	if err != nil {
		return err
	}
	return checkFraming(&req.Header)
}

// enlarge makes room for a longer head, behind what is read already.
func (c *callerConn) enlarge(size int) {
	held, _ := c.br.Peek(c.br.Buffered()) // what is buffered is always there
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(held)), c.nc), size+callerReadBytes)
}

// checkFraming refuses a head that another reader might end elsewhere.
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
		return &badRequestError{status: fasthttp.StatusBadRequest, reason: "it gives the length of its body twice"}
	}
	if len(h.Host()) == 0 {
		return &badRequestError{status: fasthttp.StatusBadRequest, reason: "it names no host"}
	}
	return nil
}

// countHeader counts the lines of a name as they were sent.
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

// readBody reads a request's body whole.
func (c *callerConn) readBody(req *fasthttp.Request, limits coltsroute.Limits) error {
	if req.MayContinue() {
		if _, err := c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	err := req.ContinueReadBody(c.br, limits.MaxBodyBytes, false)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return &badRequestError{status: fasthttp.StatusRequestEntityTooLarge, reason: "its body is too long"}
	}
	return err
}

// badRequestError reports a request that breaks the rules of its framing.
type badRequestError struct {
	status int
	reason string
}

// Error gives the reason.
func (e *badRequestError) Error() string { return "the request is refused: " + e.reason }

// refuseUnread ends a connection whose request could not be read. The rest of what
// it sent can't be told apart from another request, so it is not used again.
func (c *callerConn) refuseUnread(err error) bool {
	var bad *badRequestError
	switch {
	case errors.As(err, &bad):
	case isTimeout(err):
		bad = &badRequestError{status: fasthttp.StatusRequestTimeout, reason: "it did not come whole in time"}
	case isBroken(err):
		c.g.log.Debug("A caller left within its request.", coltslog.Fields{"caller": c.nc.RemoteAddr(), "error": err})
		return false
	default:
		bad = &badRequestError{status: fasthttp.StatusBadRequest, reason: err.Error()}
	}
	c.g.log.Info("A request could not be read.", coltslog.Fields{
		"caller": c.nc.RemoteAddr(), "status": bad.status, "reason": bad.reason, "outcome": coltsattempt.OutcomeNotRun,
	})
	text := appendHead(nil, bad.status)
	text = append(text, "Connection: close\r\nContent-Length: 0\r\n\r\n"...)
	// A caller that does not take the answer has closed the connection itself.
	_, _ = c.nc.Write(text)
	return false
}
