package coltsresponse

// The transport of clients that use the HTTP library's own pool of connections.

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// defaultBodyBytes is the longest body if the client sets no limit.
const defaultBodyBytes = 64 << 20

// Transport sends the requests of a fasthttp client and reads their responses by the grammar. After a response that
// can't be read, or that breaks off in its body, the request is not sent again, whatever the client's settings.
type Transport struct{}

// RoundTrip sends a request and reads its response. It reports whether the client may send the request again after
// an error. If the client streams bodies, closing the response's body stream ends the exchange.
func (Transport) RoundTrip(hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (retry bool, err error) {
	cc, err := hc.AcquireConn(req.GetTimeOut(), req.ConnectionClose())
	if err != nil {
		return false, err
	}
	br := hc.AcquireReader(cc.Conn())
	body, err := exchange(hc, cc.Conn(), br, req, resp)
	closing := err != nil || req.ConnectionClose() || resp.ConnectionClose()
	end := func(reusable bool) {
		reusable = reusable && br.Buffered() == 0 && !closing
		hc.ReleaseReader(br)
		if reusable {
			hc.ReleaseConn(cc)
		} else {
			hc.CloseConn(cc)
		}
	}
	if err != nil {
		end(false)
		return !IsUnreadable(err), err
	}
	if resp.StreamBody {
		resp.SetBodyStream(&streamedBody{Body: body, end: end}, -1)
		return false, nil
	}
	limit := hc.MaxResponseBodySize
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	content, err := body.ReadAll(limit, nil)
	end(err == nil && body.Reusable())
	if err != nil {
		return false, err
	}
	resp.SetBodyRaw(content)
	return false, nil
}

// exchange sends a request over a connection and reads the head of the response.
func exchange(
	hc *fasthttp.HostClient, nc net.Conn, br *bufio.Reader, req *fasthttp.Request, resp *fasthttp.Response,
) (*Body, error) {
	deadline := after(req.GetTimeOut())
	if err := nc.SetWriteDeadline(earlier(deadline, after(hc.WriteTimeout))); err != nil {
		return nil, err
	}
	bw := hc.AcquireWriter(nc)
	defer hc.ReleaseWriter(bw)
	if err := req.Write(bw); err != nil {
		return nil, err
	}
	if err := bw.Flush(); err != nil {
		return nil, err
	}
	if err := nc.SetReadDeadline(earlier(deadline, after(hc.ReadTimeout))); err != nil {
		return nil, err
	}
	if hc.DisableHeaderNamesNormalizing {
		resp.Header.DisableNormalizing()
	}
	framing, err := ReadHead(br, &resp.Header, nil)
	if err != nil {
		return nil, err
	}
	if resp.SkipBody || req.Header.IsHead() {
		framing = 0
	}
	return NewBody(br, framing), nil
}

// after returns the end of a timeout that begins now, the zero time for none.
func after(timeout time.Duration) time.Time {
	if timeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(timeout)
}

// earlier returns the earlier of two deadlines. The zero time is no deadline.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// streamedBody is a body that is read while it arrives.
type streamedBody struct {
	*Body
	// end releases the connection; nil once that has been done.
	end func(reusable bool)
}

var _ io.ReadCloser = (*streamedBody)(nil)

// Close closes the connection unless the body has been read to its end.
func (s *streamedBody) Close() error {
	if s.end != nil {
		s.end(s.Reusable())
		s.end = nil
	}
	return nil
}
