package coltsupstream

// Health requests, by which the pool finds out whether an idle connection still reaches its upstream.

import (
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltscodec"
	"coltsfootstall/coltspool"
	"coltsfootstall/coltsresponse"
)

// maxHealthBytes bounds the body of a health response.
const maxHealthBytes = 64 << 10

// probe sends a health request over an idle connection and reads the response, after which the connection can
// carry another request.
func (c *Client) probe(conn *coltspool.Conn, deadline time.Time) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(coltscodec.PathHealth)
	req.Header.SetHost(conn.Addr.String())
	if err := conn.SetDeadline(deadline); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	if err := req.Write(conn.Writer); err != nil {
		return errors.Wrap(err, "write probe")
	}
	if err := conn.Writer.Flush(); err != nil {
		return errors.Wrap(err, "write probe")
	}
	err := readHealth(conn)
	if coltsresponse.IsUnreadable(err) {
		c.cfg.OnBrokenAnswer(conn.Addr, err)
	}
	return errors.Wrap(err, "read probe response")
}

// readHealth reads a health response whole.
func readHealth(conn *coltspool.Conn) error {
	var head fasthttp.ResponseHeader
	framing, err := coltsresponse.ReadHead(conn.Reader, &head, nil)
	if err != nil {
		return err
	}
	body := coltsresponse.NewBody(conn.Reader, framing)
	if err := body.Discard(maxHealthBytes); err != nil {
		return err
	}
	if !body.Reusable() || head.ConnectionClose() {
		return errors.New("the upstream closes the connection")
	}
	return nil
}
