package coltscrowd

// Guards against limits that a client meets which keeps to those of the route table.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// assertAnswered asserts that an open connection gets a response with a status and body.
func assertAnswered(t *testing.T, nc net.Conn, status int, body string) {
	t.Helper()
	assert.NilError(t, nc.SetDeadline(time.Now().Add(waitLimit)))
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	assert.NilError(t, err)
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, status)
	assert.Equal(t, string(text), body)
}

// dial opens n connections that are closed at the end of the test.
func (i *instances) dial(t *testing.T, n int) []net.Conn {
	t.Helper()
	conns := make([]net.Conn, n)
	for k := range conns {
		nc, err := net.Dial("tcp", i.callerAddr.String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = nc.Close() })
		conns[k] = nc
	}
	return conns
}

func TestOrdinaryCallers(t *testing.T) {
	for name, m := range map[string]limits{"no limits of its own": {}, "the smallest machine": {memoryMegabytes: 184, descriptors: 10_762}} {
		i := startInstances(t, limits{}, m)
		t.Run("a body of the longest length is served with "+name, func(t *testing.T) {
			for _, text := range []string{
				requestHead("/book/", "Content-Length: 4194304") + strings.Repeat("a", 4<<20),
				requestHead("/once/", chunked) + largeChunks(16) + "0\r\n\r\n",
			} {
				nc := i.dial(t, 1)[0]
				go func() { _, _ = io.WriteString(nc, text) }()
				assertAnswered(t, nc, http.StatusOK, "got 4194304 bytes")
			}
		})
		t.Run("a slow upload is served with "+name, func(t *testing.T) {
			nc := i.dial(t, 1)[0]
			_, err := io.WriteString(nc, requestHead("/book/", "Content-Length: 8"))
			assert.NilError(t, err)
			for range 8 {
				time.Sleep(time.Second)
				_, err = io.WriteString(nc, "a")
				assert.NilError(t, err)
			}
			assertAnswered(t, nc, http.StatusOK, "got 8 bytes")
		})
		t.Run("many callers beside idle connections are served with "+name, func(t *testing.T) {
			idle := i.dial(t, 4096)
			var callers sync.WaitGroup
			for _, nc := range i.dial(t, 40) {
				callers.Go(func() {
					_, _ = io.WriteString(nc, requestHead("/book/", "Content-Length: 8000")+strings.Repeat("a", 8000))
					assertAnswered(t, nc, http.StatusOK, "got 8000 bytes")
				})
			}
			callers.Wait()
			for k, nc := range []net.Conn{idle[0], idle[2000], idle[4095]} {
				_, err := io.WriteString(nc, requestHead("/once/", fmt.Sprint("Content-Length: ", k))+strings.Repeat("a", k))
				assert.NilError(t, err)
				assertAnswered(t, nc, http.StatusOK, fmt.Sprintf("got %d bytes", k))
			}
			assert.Equal(t, metric(t, i.operatorAddr, "connections-shed"), 0.0)
			assert.Equal(t, metric(t, i.operatorAddr, "buffers-exhausted"), 0.0)
			t.Logf("peak memory %d MB", i.gateway.peakMemory()>>20)
		})
	}
}
