package coltsresponse

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// server answers each request on its connections with answer, which may close them.
type server struct {
	url string
	// requests counts the requests, connections the connections that were accepted.
	requests    atomic.Int32
	connections atomic.Int32
}

func startServer(t *testing.T, answer func(r *http.Request, nc net.Conn)) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := &server{url: "http://" + ln.Addr().String()}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(nc, answer)
		}
	}()
	return s
}

func (s *server) serve(nc net.Conn, answer func(r *http.Request, nc net.Conn)) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		s.requests.Add(1)
		answer(r, nc)
	}
}

// get sends a request and returns the answer's status and body.
func get(client *fasthttp.Client, url, body string) (int, string, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.SetBodyString(body)
	if err := client.DoTimeout(req, resp, 2*time.Second); err != nil {
		return 0, "", err
	}
	if !client.StreamResponseBody {
		return resp.StatusCode(), string(resp.Body()), nil
	}
	text, err := io.ReadAll(resp.BodyStream())
	return resp.StatusCode(), string(text), err
}

// clients are the kinds of clients that use the transport.
func clients() map[string]*fasthttp.Client {
	return map[string]*fasthttp.Client{
		"read whole": {Transport: Transport{}}, "streamed": {Transport: Transport{}, StreamResponseBody: true},
	}
}

// framed are a body of "body" in each framing.
var framed = map[string]string{
	"with a length":    "Content-Length: 4\r\n\r\nbody",
	"with chunks":      "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
	"ended by a close": "\r\nbody",
}

func TestTransport(t *testing.T) {
	for kind, client := range clients() {
		for framing, rest := range framed {
			write := func(begin string) func(_ *http.Request, nc net.Conn) {
				return func(_ *http.Request, nc net.Conn) {
					_, _ = io.WriteString(nc, begin+rest)
					if framing == "ended by a close" {
						_ = nc.Close()
					}
				}
			}
			t.Run(fmt.Sprintf("an answer %s, %s, is complete", framing, kind), func(t *testing.T) {
				s := startServer(t, write(statusOK))
				for range 3 {
					status, body, err := get(client, s.url, "")
					assert.NilError(t, err)
					assert.Equal(t, status, 200)
					assert.Equal(t, body, "body")
				}
				if framing != "ended by a close" {
					assert.Equal(t, s.connections.Load(), int32(1))
				}
			})
			for name, begin := range map[string]string{
				"status 000":         "HTTP/1.1 000 x\r\n",
				"a blank in a name":  statusOK + "A b: c\r\n",
				"a control byte":     statusOK + "A\x01: c\r\n",
				"an interim head":    "HTTP/1.1 103 x\r\nA : c\r\n\r\n" + statusOK,
				"another first line": "\r\n" + statusOK,
			} {
				t.Run(fmt.Sprintf("%s %s, %s, is no answer and not asked for again", name, framing, kind), func(t *testing.T) {
					s := startServer(t, write(begin))
					_, _, err := get(client, s.url, "")
					assert.Assert(t, IsUnreadable(err), "%v", err)
					assert.Equal(t, s.requests.Load(), int32(1))
				})
			}
			t.Run(fmt.Sprintf("a part of an answer %s, %s, to an upload is no answer", framing, kind), func(t *testing.T) {
				s := startServer(t, func(_ *http.Request, nc net.Conn) {
					_, _ = io.WriteString(nc, statusOK+strings.TrimSuffix(rest, "dy\r\n0\r\n\r\n")[:len(rest)/2])
					time.Sleep(20 * time.Millisecond)
					_ = nc.(*net.TCPConn).SetLinger(0)
					_ = nc.Close()
				})
				status, body, err := get(client, s.url, string(bytes.Repeat([]byte("a"), 24<<20)))
				assert.Assert(t, err != nil, "status %d, body %q", status, body)
			})
			if framing == "ended by a close" {
				continue
			}
			t.Run(fmt.Sprintf("a connection with more than an answer %s, %s, is not used again", framing, kind), func(t *testing.T) {
				s := startServer(t, func(_ *http.Request, nc net.Conn) {
					_, _ = io.WriteString(nc, statusOK+rest+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
				})
				for range 2 {
					_, body, err := get(client, s.url, "")
					assert.NilError(t, err)
					assert.Equal(t, body, "body")
				}
				assert.Equal(t, s.connections.Load(), int32(2))
			})
		}
	}
	t.Run("an answer that is too long fails", func(t *testing.T) {
		s := startServer(t, func(_ *http.Request, nc net.Conn) { _, _ = io.WriteString(nc, statusOK+framed["with a length"]) })
		_, _, err := get(&fasthttp.Client{Transport: Transport{}, MaxResponseBodySize: 3}, s.url, "")
		assert.ErrorContains(t, err, "more than 3")
	})
	t.Run("an answer that does not come ends at the deadline", func(t *testing.T) {
		s := startServer(t, func(*http.Request, net.Conn) {})
		began := time.Now()
		_, _, err := get(&fasthttp.Client{Transport: Transport{}, ReadTimeout: 100 * time.Millisecond, MaxIdemponentCallAttempts: 1}, s.url, "")
		assert.Assert(t, err != nil)
		assert.Assert(t, time.Since(began) < time.Second)
	})
	t.Run("an answer that announces a close is the last of its connection", func(t *testing.T) {
		s := startServer(t, func(_ *http.Request, nc net.Conn) {
			_, _ = io.WriteString(nc, statusOK+"Connection: close\r\n"+framed["with a length"])
		})
		client := &fasthttp.Client{Transport: Transport{}}
		for range 2 {
			_, _, err := get(client, s.url, "")
			assert.NilError(t, err)
		}
		assert.Equal(t, s.connections.Load(), int32(2))
	})
	t.Run("an answer to HEAD has no body", func(t *testing.T) {
		s := startServer(t, func(_ *http.Request, nc net.Conn) { _, _ = io.WriteString(nc, statusOK+"Content-Length: 4\r\n\r\n") })
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI(s.url)
		req.Header.SetMethod(fasthttp.MethodHead)
		assert.NilError(t, (&fasthttp.Client{Transport: Transport{}}).DoTimeout(req, resp, time.Second))
		assert.Equal(t, len(resp.Body()), 0)
	})
}
