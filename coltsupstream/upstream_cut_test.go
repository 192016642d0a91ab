package coltsupstream

// Guards against answers that an upstream broke off and that count as whole.

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsidentity"
)

// serveCut answers each request with the first bytes of an answer and closes the connection, or resets
// it. It returns its address.
func serveCut(t *testing.T, answer func(id string) string, n int, reset bool) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				text := answer(r.Header.Get(coltscodec.HeaderRequest))
				_, _ = c.Write([]byte(text[:min(n, len(text))]))
			}
			if reset {
				// The bytes before the reset must arrive first.
				time.Sleep(2 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

func TestCutAnswers(t *testing.T) {
	client := New(Config{SilenceTimeout: silence, ProbeTimeout: silence})
	head := func(id string) string { return "HTTP/1.1 200 OK\r\n" + coltscodec.HeaderRequest + ": " + id + "\r\n" }
	whole := len(head(coltsidentity.NewRequest().String()))
	for name, c := range map[string]struct {
		rest string
		// untilClose is set if only a reset tells a short body from a whole one.
		untilClose bool
	}{
		"with a length":                 {rest: "Content-Length: 4\r\n\r\nbody"},
		"with a length of zero":         {rest: "Content-Length: 0\r\n\r\n"},
		"with chunks":                   {rest: "Transfer-Encoding: chunked\r\n\r\n" + chunk("bo") + chunk("dy") + "0\r\n\r\n"},
		"that ends with its connection": {rest: "Connection: close\r\n\r\nbody", untilClose: true},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("an answer %s that is cut off, with a reset %t, fails", name, reset), func(t *testing.T) {
				t.Parallel()
				answer := func(id string) string { return head(id) + c.rest }
				length := whole + len(c.rest)
				if c.untilClose && !reset {
					length -= len("body")
				}
				for n := range length {
					got, failure := client.Do(context.Background(), newRequest(serveCut(t, answer, n, reset)))
					assert.Assert(t, failure != nil, "cut after %d of %d bytes: status %d, body %q", n, length, got.Status, got.Body)
				}
			})
		}
	}
	t.Run("a whole answer does not fail", func(t *testing.T) {
		rest := "Content-Length: 4\r\n\r\nbody"
		addr := serveCut(t, func(id string) string { return head(id) + rest }, whole+len(rest), false)
		got, failure := client.Do(context.Background(), newRequest(addr))
		assert.Assert(t, failure == nil, "%v", failure)
		assert.Equal(t, string(got.Body), "body")
	})
}
