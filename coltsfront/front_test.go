package coltsfront

// Guards against clients that take the memory or the connections of a front end from others. A real server
// listens on a loopback address; the bounds are small.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"coltsfootstall/coltsbody"
)

const (
	testMaxBytes   = 1 << 20
	testLargeBytes = testMaxBytes + 4<<10
	testTimeout    = 20 * time.Second
	chunked        = "Transfer-Encoding: chunked"
)

// startServer starts a server that responds with the length of each body, and returns its address. A request
// to /hold sends to the returned channel once its body has been read, and is served once that is closed.
func startServer(t testing.TB, maxConns int, timeout time.Duration) (addr string, hold chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	hold = make(chan struct{})
	var s *Server
	s = NewServer(Config{
		Listener: ln, MaxConns: maxConns, ReadTimeout: testTimeout, WriteTimeout: testTimeout,
		Intake: coltsbody.NewIntake(coltsbody.Config{
			MaxBytes: testMaxBytes, LargeBytes: testLargeBytes, SmallBytes: 256 << 10, Timeout: timeout,
		}),
		Handler: func(ctx *fasthttp.RequestCtx) {
			body, err := s.ReadBody(ctx)
			var refused *coltsbody.RefusedError
			if errors.As(err, &refused) {
				ctx.Error(string(refused.Reason), refused.Status())
				return
			}
			defer body.Release()
			if string(ctx.Path()) == "/hold" {
				hold <- struct{}{}
				<-hold
			}
			ctx.SetBodyString(fmt.Sprint(len(body.Bytes)))
		},
	})
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String(), hold
}

// client is one connection to a server.
type client struct {
	t  testing.TB
	nc net.Conn
	br *bufio.Reader
}

// dial connects to a server and sends a text.
func dial(t testing.TB, addr, text string) *client {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	assert.NilError(t, nc.SetDeadline(time.Now().Add(testTimeout)))
	c := &client{t: t, nc: nc, br: bufio.NewReader(nc)}
	c.send(text)
	return c
}

// send sends a text. The server may close the connection meanwhile; the response shows whether it should.
func (c *client) send(text string) { _, _ = io.WriteString(c.nc, text) }

// assertResponse asserts the status and body of the next response.
func (c *client) assertResponse(status int, body string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.br, nil)
	assert.NilError(c.t, err)
	text, err := io.ReadAll(resp.Body)
	assert.NilError(c.t, err)
	assert.Equal(c.t, resp.StatusCode, status, "%s", text)
	assert.Equal(c.t, string(text), body)
}

// request returns a request with header lines and a body.
func request(path, body string, lines ...string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

// whole returns a request with a body of n bytes that has a length.
func whole(path string, n int) string {
	return request(path, strings.Repeat("a", n), fmt.Sprint("Content-Length: ", n))
}

// chunks returns n bytes in chunks of size bytes, without the last chunk.
func chunks(n, size int) string {
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("a", size)), n/size)
}

func TestBodies(t *testing.T) {
	addr, _ := startServer(t, 100, testTimeout)
	const last = "0\r\n\r\n"
	for _, c := range []struct {
		name, text string
		status     int
		body       string
	}{
		{"no body", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 200, "0"},
		{"an empty body", whole("/", 0), 200, "0"},
		{"a short body", whole("/", 500), 200, "500"},
		{"the longest body", whole("/", testMaxBytes), 200, fmt.Sprint(testMaxBytes)},
		{"an empty body in chunks", request("/", last, chunked), 200, "0"},
		{"a short body in chunks", request("/", chunks(500, 1)+last, chunked), 200, "500"},
		{"the longest body in chunks", request("/", chunks(testMaxBytes, 1<<16)+last, chunked), 200, fmt.Sprint(testMaxBytes)},
		{"a body that is too long", request("/", strings.Repeat("a", 9000), "Content-Length: 1048577"), 413, "too-long"},
		{"chunks that are too long", request("/", chunks(testMaxBytes, 1<<16)+"1\r\na\r\n", chunked), 413, "too-long"},
		{"a broken chunk", request("/", "zz\r\n", chunked), 400, "broken"},
		{"a short trailer", request("/", "0\r\nA: b\r\n\r\n", chunked), 200, "0"},
		{"a trailer of many lines", request("/", "0\r\n"+strings.Repeat("A: b\r\n", 300), chunked), 400, "Error when parsing request"},
		{"a head of many lines", request("/", "", strings.Repeat("A: b\r\n", 300)), 400, "Error when parsing request"},
		{"a form", request("/", "--b\r\n", "Content-Type: multipart/form-data; boundary=b", "Content-Length: 5"), 200, "5"},
	} {
		t.Run(c.name+" gets its response", func(t *testing.T) { dial(t, addr, c.text).assertResponse(c.status, c.body) })
	}
	t.Run("a connection serves one request after another", func(t *testing.T) {
		c := dial(t, addr, whole("/", 100<<10))
		c.assertResponse(200, "102400")
		c.send(request("/", chunks(10, 1)+last, chunked) + whole("/", 3))
		c.assertResponse(200, "10")
		c.assertResponse(200, "3")
	})
}

func TestSlowBodies(t *testing.T) {
	t.Run("an unfinished body is refused at its time limit", func(t *testing.T) {
		addr, _ := startServer(t, 100, 100*time.Millisecond)
		dial(t, addr, request("/", chunks(100, 1), chunked)).assertResponse(408, "too-slow")
		dial(t, addr, request("/", strings.Repeat("a", 9000), "Content-Length: 10000")).assertResponse(408, "too-slow")
	})
	t.Run("a body that finds no room is refused", func(t *testing.T) {
		addr, hold := startServer(t, 100, testTimeout)
		held := dial(t, addr, whole("/hold", 700<<10))
		<-hold
		dial(t, addr, whole("/", 1000)).assertResponse(200, "1000")
		dial(t, addr, request("/", strings.Repeat("a", 600<<10), "Content-Length: 1000000")).assertResponse(503, "no-room")
		close(hold)
		held.assertResponse(200, "716800")
	})
	t.Run("unfinished bodies give way to a whole one", func(t *testing.T) {
		addr, _ := startServer(t, 100, testTimeout)
		var slow []*client
		for range 4 {
			slow = append(slow, dial(t, addr, request("/", chunks(200<<10, 1<<10), chunked)))
		}
		for deadline := time.Now().Add(testTimeout); ; {
			c := dial(t, addr, whole("/", testMaxBytes))
			resp, err := http.ReadResponse(c.br, nil)
			if err == nil && resp.StatusCode == http.StatusOK {
				break
			}
			assert.Assert(t, time.Now().Before(deadline), "no whole body was accepted")
			time.Sleep(50 * time.Millisecond)
		}
		slow[3].assertResponse(408, "too-slow")
	})
	t.Run("unfinished large bodies leave room for small ones", func(t *testing.T) {
		addr, _ := startServer(t, 100, testTimeout)
		for range 8 {
			dial(t, addr, request("/", chunks(128<<10, 1<<10), chunked))
		}
		for range 20 {
			dial(t, addr, whole("/", 60_000)).assertResponse(200, "60000")
		}
	})
}

func TestConnections(t *testing.T) {
	t.Run("connections that send nothing, or stop, don't close the server to others", func(t *testing.T) {
		addr, _ := startServer(t, 3, testTimeout)
		for range 10 {
			dial(t, addr, "")
			dial(t, addr, request("/", "", "Content-Length: 5"))
		}
		dial(t, addr, whole("/", 20)).assertResponse(200, "20")
	})
}

// The failure guarded against: a server that reads no bodies closed a connection for another one while its request was
// being answered.
func TestBodilessConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	hold := make(chan struct{})
	s := NewServer(Config{Listener: ln, Handler: func(ctx *fasthttp.RequestCtx) {
		hold <- struct{}{}
		<-hold
		ctx.SetBodyString("held")
	}})
	go func() { _ = s.Serve() }()
	held := dial(t, ln.Addr().String(), request("/hold", ""))
	<-hold
	for range 2 * bodilessMaxConns {
		dial(t, ln.Addr().String(), "")
	}
	for deadline := time.Now().Add(testTimeout); s.OpenConns() < bodilessMaxConns; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline))
	}
	hold <- struct{}{}
	held.assertResponse(200, "held")
}

// BenchmarkReport measures a short request on a kept connection, as the reports of upstreams are. plain is
// a server that reads bodies whole, as before.
func BenchmarkReport(b *testing.B) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	go func() {
		_ = (&fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(fmt.Sprint(len(ctx.PostBody()))) }}).Serve(plain)
	}()
	bounded, _ := startServer(b, 100, testTimeout)
	for name, addr := range map[string]string{"plain": plain.Addr().String(), "bounded": bounded} {
		b.Run(name, func(b *testing.B) {
			nc, err := net.Dial("tcp", addr)
			assert.NilError(b, err)
			defer func() { _ = nc.Close() }()
			text, buffer := []byte(whole("/", 500)), make([]byte, 4<<10)
			for b.Loop() {
				_, _ = nc.Write(text)
				_, _ = nc.Read(buffer)
			}
		})
	}
}
