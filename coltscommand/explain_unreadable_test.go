package coltscommand

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsresponse"
)

// serveAnswer answers one request with a text and returns its address.
func serveAnswer(t *testing.T, text string) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		if r, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(nc, text)
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

func TestExplainAnswers(t *testing.T) {
	for name, begin := range map[string]string{
		"status 000":           "HTTP/1.1 000 OK\r\n",
		"a blank in a name":    "HTTP/1.1 200 OK\r\nX Name: v\r\n",
		"a blank after a name": "HTTP/1.1 200 OK\r\nX-Name : v\r\n",
		"a bare line feed":     "HTTP/1.1 200 OK\n",
		"an interim head":      "HTTP/1.1 103 x\r\nX Name: v\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		for framing, rest := range map[string]string{
			"with a length": "Content-Length: 2\r\n\r\n{}", "with chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", "ended by a close": "\r\n{}",
		} {
			t.Run(name+" "+framing+" is no answer of a gateway", func(t *testing.T) {
				_, err := askForExplanation(context.Background(), serveAnswer(t, begin+rest), "GET / HTTP/1.1\r\n\r\n")
				assert.Assert(t, coltsresponse.IsUnreadable(err), "%v", err)
			})
			t.Run("a sound answer "+framing+" is read", func(t *testing.T) {
				text, err := askForExplanation(context.Background(), serveAnswer(t, "HTTP/1.1 200 \r\n"+rest), "GET / HTTP/1.1\r\n\r\n")
				assert.NilError(t, err)
				assert.Equal(t, string(text), "{}")
			})
		}
	}
	t.Run("an answer of failure is an error with its status", func(t *testing.T) {
		_, err := askForExplanation(context.Background(), serveAnswer(t, "HTTP/1.1 400 x\r\n\r\nno head"), "")
		assert.ErrorContains(t, err, "400: no head")
	})
}
