package coltsupstream

// Upstreams that send bytes without end: before, in and after an answer.

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsbuffer"
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsidentity"
)

const silence = 300 * time.Millisecond

// serveEndlessly answers each request with begin, to which it gives the request's ID, and then with
// endless again and again until the connection is closed. It returns its address and the number of
// connections that the client has closed.
func serveEndlessly(t *testing.T, begin func(id string) string, endless string) (netip.AddrPort, *atomic.Int32) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	var closed atomic.Int32
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, err = c.Write([]byte(begin(r.Header.Get(coltscodec.HeaderRequest))))
				block := []byte(strings.Repeat(endless, 1000))
				for err == nil {
					_, err = c.Write(block)
				}
				closed.Add(1)
			}()
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String()), &closed
}

func newRequest(addr netip.AddrPort) Request {
	return Request{
		ID: coltsidentity.NewRequest(), Addr: addr, Method: "POST", Path: "/x", Deadline: time.Now().Add(2 * time.Second),
	}
}

// streamHead returns the head of a streamed answer.
func streamHead(id string) string {
	return "HTTP/1.1 200 OK\r\n" + coltscodec.HeaderRequest + ": " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n"
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// assertNext asserts the kind of a stream's next event.
func assertNext(t *testing.T, s *Stream, kind EventKind) {
	t.Helper()
	event, failure := s.Next()
	assert.Assert(t, failure == nil, "%v", failure)
	assert.Equal(t, event.Kind, kind)
}

// assertClosed asserts that a connection is closed.
func assertClosed(t *testing.T, closed *atomic.Int32) {
	t.Helper()
	for deadline := time.Now().Add(3 * time.Second); closed.Load() == 0; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the connection is still open")
	}
}

func TestEndless(t *testing.T) {
	client := New(Config{SilenceTimeout: silence, ProbeTimeout: silence, Buffers: coltsbuffer.NewBudget(1 << 20)})
	for name, endless := range map[string]string{
		"garbage in chunks": chunk("garbage"), "bytes that are no chunk": "zzzz", "trailer lines": "0\r\nX-More: y\r\n",
	} {
		t.Run("an answer is complete with its final event, whatever follows: "+name, func(t *testing.T) {
			addr, closed := serveEndlessly(t, func(id string) string {
				return streamHead(id) + chunk(`data: {"id":"`+id+"\"}\n\n") + chunk("data: [DONE]\n\n")
			}, endless)
			s, failure := client.Open(context.Background(), newRequest(addr))
			assert.Assert(t, failure == nil, "%v", failure)
			began := time.Now()
			assertNext(t, s, EventPart)
			assertNext(t, s, EventEnd)
			assert.Assert(t, time.Since(began) < time.Second, "%v", time.Since(began))
			s.Close()
			assertClosed(t, closed)
		})
	}
	for name, begin := range map[string]func(id string) string{
		"a head": func(string) string { return "HTTP/1.1 200 OK\r\nX-Long: " },
		"a line": func(id string) string { return streamHead(id) + "fffffff\r\ndata: " },
		"a body": func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + coltscodec.HeaderRequest + ": " + id + "\r\n\r\n"
		},
		"an absurd length": func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + coltscodec.HeaderRequest + ": " + id + "\r\nContent-Length: 9223372036854775807\r\n\r\n"
		},
		"another's answer":  func(string) string { return streamHead("another") },
		"a chunk extension": func(id string) string { return streamHead(id) + "4;" },
	} {
		t.Run(name+" without end fails, and the connection is closed", func(t *testing.T) {
			addr, closed := serveEndlessly(t, begin, "y")
			began := time.Now()
			_, failure := client.Do(context.Background(), newRequest(addr))
			assert.Assert(t, failure != nil)
			assert.Assert(t, time.Since(began) < 3*time.Second, "%v", time.Since(began))
			assertClosed(t, closed)
		})
	}
}
