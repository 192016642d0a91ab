package coltsentry

// Guards against clients that hold a connection by not reading a response.

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"coltsfootstall/coltslog"
	"coltsfootstall/coltssettings"
)

func TestUnreadResponses(t *testing.T) {
	t.Run("a connection at the upstreams' address ends if its response is not read", func(t *testing.T) {
		e, err := New(Config{Settings: coltssettings.Default(), Log: coltslog.Discard()})
		assert.NilError(t, err)
		longResponse := func(ctx *fasthttp.RequestCtx) { ctx.SetBody(make([]byte, 64<<20)) }
		s, err := listen(e, netip.MustParseAddrPort("127.0.0.1:0"), longResponse, e.intake, nil)
		assert.NilError(t, err)
		go func() { _ = s.Serve() }()
		nc, err := net.Dial("tcp", s.AddrPort().String())
		assert.NilError(t, err)
		defer func() { _ = nc.Close() }()
		_, err = io.WriteString(nc, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, s.OpenConns(), 1)
		for deadline := time.Now().Add(10 * time.Second); s.OpenConns() > 0; time.Sleep(100 * time.Millisecond) {
			assert.Assert(t, time.Now().Before(deadline), "the connection is still open")
		}
	})
}
