package coltsgateway

// Guards against heads and trailers of many short lines, which take much more memory parsed than the gateway
// counts for a connection.

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"coltsfootstall/coltslog"
	"coltsfootstall/coltssettings"
	"coltsfootstall/coltswatch"
)

// readRequest reads a request from a connection of which the whole text arrives before it ends.
func readRequest(t *testing.T, text string) error {
	t.Helper()
	client, server := net.Pipe()
	defer func() { _ = server.Close() }()
	go func() {
		_, _ = io.WriteString(client, text)
		_ = client.Close()
	}()
	settings := coltssettings.Default()
	settings.MemoryMB = 96
	c := newCallerConn(New(Config{Settings: settings, Log: coltslog.Discard()}), &coltswatch.Conn{Conn: server})
	req := &fasthttp.Request{}
	if err := c.readHead(req, defaultLimits); err != nil {
		return err
	}
	return c.readBody(req, defaultLimits)
}

// startTestGateway starts a gateway on a machine of the given size, 0 for an unknown one. Control does not run.
func startTestGateway(t *testing.T, memoryMB float64, dialect Dialect) *Gateway {
	t.Helper()
	settings := coltssettings.Default()
	settings.MemoryMB = memoryMB
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	settings.Gateway.CallerAddr, settings.Gateway.ReadyAddr, settings.Gateway.OperatorAddr = anyPort, anyPort, anyPort
	g := New(Config{Settings: settings, Log: coltslog.Discard(), Dialect: dialect})
	assert.NilError(t, g.Start())
	t.Cleanup(g.stop)
	return g
}

func TestLinesOfHeads(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: h\r\n"
	lines := func(n int) string { return strings.Repeat("a:\r\n", n) }
	for name, text := range map[string]string{
		"a head":            post + "Content-Length: 1\r\n" + lines(250) + "\r\na",
		"a head and a body": post + "Content-Length: 4000\r\n" + lines(250) + "\r\n" + lines(1000),
		"a trailer":         post + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n" + lines(250) + "\r\n",
		"small chunks":      post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\na\r\n", 1000) + "0\r\n\r\n",
	} {
		t.Run(name+" with as many lines as allowed is read", func(t *testing.T) { assert.NilError(t, readRequest(t, text)) })
	}
	for name, text := range map[string]string{
		"a head":                     post + "Content-Length: 1\r\n" + lines(900) + "\r\na",
		"a head of the longest size": post + "Content-Length: 1\r\n" + lines(3900) + "\r\na",
		"an unfinished head":         post + lines(900),
		"a trailer":                  post + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n" + lines(900) + "\r\n",
	} {
		t.Run(name+" with too many lines is refused", func(t *testing.T) {
			assert.ErrorContains(t, readRequest(t, text), "too many lines")
		})
	}
	t.Run("the refusal is answered", func(t *testing.T) {
		g := startTestGateway(t, 0, Dialect{})
		nc, err := net.Dial("tcp", g.CallerAddr().String())
		assert.NilError(t, err)
		defer func() { _ = nc.Close() }()
		assert.NilError(t, nc.SetDeadline(time.Now().Add(5*time.Second)))
		_, _ = io.WriteString(nc, post+lines(900))
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
	})
}
