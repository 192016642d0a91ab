package coltscrowd

// Guards against a gateway that runs out of memory or descriptors because many clients send unfinished
// requests and stay. The bounds are what the settings name.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// machine is the size of the gateway's machine in these tests, few a machine with fewer descriptors than
// the crowd has connections.
var (
	machine = limits{memoryMegabytes: 96, descriptors: 1024}
	few     = limits{memoryMegabytes: 96, descriptors: 500}
)

const (
	chunked  = "Transfer-Encoding: chunked"
	chunkKB  = 256
	bodySize = 1 << 20
)

// largeChunks returns n chunks of chunkKB kilobytes each.
func largeChunks(n int) string {
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunkKB<<10, strings.Repeat("a", chunkKB<<10)), n)
}

// partialRequest is a request that begins with header lines and a text, goes on with a repeated text up to a
// number of bytes, and then stops.
type partialRequest struct {
	name          string
	headers       []string
	begin         string
	repeated      string
	repeatedBytes int
}

// assertWithstands opens a crowd of connections with unfinished requests at a gateway on a machine and
// asserts that the gateway lives, stays within the machine, and answers ordinary requests while the crowd
// is there.
func assertWithstands(t *testing.T, m limits, crowd int, path string, u partialRequest) {
	t.Helper()
	i := startInstances(t, limits{}, m)
	highest := i.gateway.watchDescriptors()
	openCrowd(t, i.callerAddr, crowd, func() string { return requestHead(path, u.headers...) + u.begin }, u.repeated, u.repeatedBytes)
	i.assertServed("/book/", strings.Repeat("a", 4<<10))
	i.assertServed("/once/", strings.Repeat("a", 4<<10))
	i.gateway.assertAlive()
	memory, descriptors := i.gateway.peakMemory(), highest()
	t.Logf("peak memory %d MB, most descriptors %d", memory>>20, descriptors)
	assert.Check(t, memory < m.memoryMegabytes<<20, "peak memory is %d MB", memory>>20)
	assert.Check(t, descriptors < m.descriptors, "%d descriptors were open", descriptors)
}

func TestUnfinishedRequests(t *testing.T) {
	const crowd = 400
	for _, u := range []partialRequest{
		{"large chunks that stop before the last byte", []string{chunked}, largeChunks(3) + fmt.Sprintf("%x\r\n", chunkKB<<10), "a", chunkKB<<10 - 1},
		{"large chunks that stop in the last chunk's line", []string{chunked}, largeChunks(4) + "0", "", 0},
		{"a large chunk that stops at once", []string{chunked}, "400000\r\n", "", 0},
		{"chunks of one byte that stop before the last byte", []string{chunked}, strings.Repeat("1\r\na\r\n", 96<<10) + "1\r\n", "", 0},
		{"an endless chunk extension", []string{chunked}, "1;", "a", bodySize},
		{"endless extensions of small chunks", []string{chunked}, "", "1;aaaaaaaaaaaaaa\r\na\r\n", bodySize},
		{"endless trailers", []string{chunked}, "1\r\na\r\n0\r\n", "A: b\r\n", bodySize},
		{"a body with a length that stops before the last byte", []string{fmt.Sprintf("Content-Length: %d", bodySize)}, "", "a", bodySize - 1},
		{"a body with a length that stops at once", []string{"Content-Length: 4194304"}, "", "", 0},
		{"a small body that stops before the last byte", []string{"Content-Length: 30000"}, "", "a", 29999},
	} {
		for _, path := range []string{"/book/", "/once/"} {
			t.Run(u.name+" at "+path, func(t *testing.T) {
				assertWithstands(t, machine, crowd, path, u)
			})
		}
	}
	t.Run("a head that stops", func(t *testing.T) {
		header := "X-Long: " + strings.Repeat("a", 15<<10) + "\r\nX-Unfinished: "
		i := startInstances(t, limits{}, machine)
		openCrowd(t, i.callerAddr, crowd, func() string { return strings.TrimSuffix(requestHead("/book/"), "\r\n") + header }, "", 0)
		i.assertServed("/book/", "a")
		assert.Check(t, i.gateway.peakMemory() < machine.memoryMegabytes<<20)
	})
}

func TestConnectionsBeyondDescriptors(t *testing.T) {
	const crowd = 600
	t.Run("connections that send nothing", func(t *testing.T) {
		i := startInstances(t, limits{}, few)
		highest := i.gateway.watchDescriptors()
		openCrowd(t, i.callerAddr, crowd, func() string { return "" }, "", 0)
		i.assertServed("/book/", "a")
		most := highest()
		t.Logf("most descriptors %d", most)
		assert.Check(t, most < few.descriptors, "%d descriptors were open", most)
	})
	t.Run("connections with unfinished bodies", func(t *testing.T) {
		assertWithstands(t, few, crowd, "/book/", partialRequest{headers: []string{"Content-Length: 100"}, begin: "a"})
	})
	t.Run("connections beyond the process's own limit", func(t *testing.T) {
		i := startInstances(t, limits{}, limits{})
		limitDescriptors(t, i.gateway, 200)
		openCrowd(t, i.callerAddr, crowd, func() string { return "" }, "", 0)
		i.assertServed("/book/", "a")
		assert.Assert(t, metric(t, i.operatorAddr, "connections-shed") > 0)
	})
	t.Run("a gateway that can't accept connections says that it is not ready", func(t *testing.T) {
		i := startInstances(t, limits{}, limits{})
		// The connection of the readiness check stays open, as that of a load balancer does.
		client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		t.Cleanup(client.CloseIdleConnections)
		assertReady := func(want int) {
			eventually(t, fmt.Sprint("the readiness check gets ", want), func() bool {
				// While it can't accept, a connection that waits is tried again and again.
				nc, err := net.Dial("tcp", i.callerAddr.String())
				assert.NilError(t, err)
				defer func() { _ = nc.Close() }()
				time.Sleep(10 * time.Millisecond)
				resp, err := client.Get("http://" + i.operatorAddr.String() + "/ready")
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				return err == nil && resp.Body.Close() == nil && resp.StatusCode == want
			})
		}
		assertReady(http.StatusOK)
		limitDescriptors(t, i.gateway, 5)
		assertReady(http.StatusServiceUnavailable)
		limitDescriptors(t, i.gateway, 500)
		assertReady(http.StatusOK)
		i.assertServed("/book/", "a")
	})
}
