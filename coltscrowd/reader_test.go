package coltscrowd

// Guards against a gateway that holds memory, descriptors or upstreams for callers that don't read their
// responses and for upstreams that don't read requests.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// readerMemory is that of the gateway's machine: its memory for buffers and what it uses besides.
	readerMemory = 96 << 20
	// readerBuffers is the gateway's memory for buffers.
	readerBuffers = 16 << 20
	// readerCrowd is the number of callers that don't read, readerResponse the size of what each is sent.
	readerCrowd    = 60
	readerResponse = 4 << 20
	// readerDeadlineMs is the deadline of their requests.
	readerDeadlineMs = 2000
	// unreadTime is how long an upstream waits for a response to be read. laterUnreadTime is that of the
	// stream whose caller reads later: a gateway blames the caller if the wait took at least 1 s, and a cut
	// after just 1 s falls on either side of it.
	unreadTime      = time.Second
	laterUnreadTime = 3 * time.Second
)

// answer writes a response as an upstream of the platform.
func answer(w http.ResponseWriter, r *http.Request, contentType string, write func(w io.Writer)) {
	w.Header()["X-Coltsfootstall-Request-Id"] = r.Header["X-Coltsfootstall-Request-Id"]
	w.Header().Set("X-Coltsfootstall-Server-Seal", "seal")
	w.Header().Set("Content-Type", contentType)
	write(w)
}

// aloneCutOff is set once serveReaders has cut off the stream of the caller that reads later.
var aloneCutOff atomic.Bool

// serveReaders serves requests by the last part of their path: long with a long response, endless with a
// stream that ends only when it isn't read for a while, and others with the length of their body.
func serveReaders(w http.ResponseWriter, r *http.Request) {
	n, _ := io.Copy(io.Discard, r.Body)
	switch {
	case strings.HasSuffix(r.URL.Path, "/long"):
		answer(w, r, "text/plain", func(w io.Writer) { _, _ = io.WriteString(w, strings.Repeat("a", readerResponse)) })
	case strings.HasSuffix(r.URL.Path, "/endless"):
		event := []byte("data: " + strings.Repeat("a", 16<<10) + "\n\n")
		alone, unread := r.URL.Path == "/once/alone/endless", unreadTime
		if alone {
			unread = laterUnreadTime
		}
		answer(w, r, "text/event-stream", func(body io.Writer) {
			for {
				_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(unread))
				if _, err := body.Write(event); err != nil {
					if alone {
						aloneCutOff.Store(true)
					}
					panic(http.ErrAbortHandler)
				}
			}
		})
	default:
		answer(w, r, "text/plain", func(w io.Writer) { _, _ = fmt.Fprintf(w, "got %d bytes", n) })
	}
}

// readerGateway is a control instance and a gateway whose upstreams are served by the test.
type readerGateway struct {
	*instances
	operatorAddr netip.AddrPort
}

// startReaders starts a control instance and a gateway. The service app is served by an upstream at app,
// the service llm by serveReaders.
func startReaders(t *testing.T, app netip.AddrPort) *readerGateway {
	t.Helper()
	addr := newSubnet()
	c, g := addr(11), addr(101)
	r := &readerGateway{
		instances: &instances{
			t: t, serviceAddr: netip.AddrPortFrom(c, servicePort), callerAddr: netip.AddrPortFrom(g, callerPort),
		},
		operatorAddr: netip.AddrPortFrom(g, operatorPort),
	}
	r.control = startProcess(t, "control", fmt.Sprintf(`{"instance":"control-1","data-centre":"z",
"control":{"address":"%[1]s:%[2]d","operator-address":"%[1]s:%[3]d","service-address":%[4]q,"data-folder":%[5]q,"seeds":[%[4]q],"founds":true,"order-wait":"0s"}}`,
		c, controlPort, operatorPort, r.serviceAddr, t.TempDir()))
	r.gateway = startProcess(t, "gateway", fmt.Sprintf(`{"instance":"gateway-1","data-centre":"z",
"gateway":{"caller-address":%q,"ready-address":"%[2]s:%[3]d","operator-address":%[4]q,"seeds":[%[5]q],"control-port":%[6]d,"buffer-bytes":%[7]d}}`,
		r.callerAddr, g, readyPort, r.operatorAddr, r.serviceAddr, controlPort, readerBuffers))
	eventually(t, "the route table is acknowledged", func() bool { return r.post("/v1/config/put", routeTable) })
	upstreams := map[string]netip.AddrPort{"app": app, "llm": serveUpstream(t, serveReaders)}
	for service, upstream := range upstreams {
		eventually(t, "a report is acknowledged", func() bool { return r.report(service, upstream) })
	}
	r.keepReporting(upstreams)
	r.assertServed("/once/", "a")
	return r
}

// report sends the report of an upstream and reports whether it is acknowledged.
func (r *readerGateway) report(service string, upstream netip.AddrPort) bool {
	return r.post("/v1/instances/"+service+"-1/heartbeat", fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1",
"slots":500,"state":"ready","coldLeftMs":0,"sequence":%d,"born":1}`, service, upstream, requestIDs.Add(1)))
}

// keepReporting repeats the reports until the end of the test. An upstream without reports counts as
// silent.
func (r *readerGateway) keepReporting(upstreams map[string]netip.AddrPort) {
	stop, stopped := make(chan struct{}), make(chan struct{})
	r.t.Cleanup(func() {
		close(stop)
		<-stopped
	})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
			for service, upstream := range upstreams {
				r.report(service, upstream) // the next report makes up for a lost one
			}
		}
	}()
}

// serveUpstream serves requests with a handler until the end of the test and returns the address.
func serveUpstream(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// head returns the head of a request with the deadline of the crowd.
func (r *readerGateway) head(path string, lines ...string) string {
	return strings.Replace(requestHead(path, lines...), "Deadline-Ms: 12000", fmt.Sprint("Deadline-Ms: ", readerDeadlineMs), 1)
}

// assertReadersEnd opens a crowd that does not read, and asserts that the gateway stays within its
// memory, gives up every request, and serves others.
func (r *readerGateway) assertReadersEnd(path, body string) {
	r.t.Helper()
	idle := r.gateway.descriptors()
	openCrowd(r.t, r.callerAddr, readerCrowd, func() string {
		return r.head(path, fmt.Sprintf("Content-Length: %d", len(body))) + body
	}, "", 0)
	r.assertServed("/once/", "a")
	eventually(r.t, "the gateway has closed the connections", func() bool { return r.gateway.descriptors() < idle+readerCrowd/2 })
	r.assertServed("/once/", "a")
	assertWithin(r.t, r.gateway, readerMemory, 1024, 0)
}

func TestSlowReaders(t *testing.T) {
	t.Run("callers that don't read long responses", func(t *testing.T) {
		r := startReaders(t, serveUpstream(t, serveReaders))
		r.assertReadersEnd("/book/long", "a")
	})
	t.Run("callers that don't read streams", func(t *testing.T) {
		r := startReaders(t, serveUpstream(t, serveReaders))
		r.assertReadersEnd("/once/endless", "a")
		assert.Equal(t, metric(t, r.operatorAddr, "retries"), 0.0, "the caller's fault counts as the upstream's")
	})
	t.Run("a caller that reads only after the upstream has cut off its stream", func(t *testing.T) {
		r := startReaders(t, serveUpstream(t, serveReaders))
		aloneCutOff.Store(false)
		nc, err := net.Dial("tcp", r.callerAddr.String())
		assert.NilError(t, err)
		defer func() { _ = nc.Close() }()
		_, err = io.WriteString(nc, requestHead("/once/alone/endless", "Content-Length: 0"))
		assert.NilError(t, err)
		eventually(t, "the upstream cuts off the stream", aloneCutOff.Load)
		assert.NilError(t, nc.SetReadDeadline(time.Now().Add(waitLimit)))
		_, err = io.Copy(io.Discard, nc)
		assert.NilError(t, err)
		eventually(t, "the end of the stream counts as the caller's fault", func() bool {
			text, err := os.ReadFile(r.gateway.log)
			assert.NilError(t, err)
			return strings.Contains(string(text), "the caller read too slowly")
		})
	})
	t.Run("an upstream that does not read requests", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = ln.Close() }()
		r := startReaders(t, ln.Addr().(*net.TCPAddr).AddrPort())
		r.assertReadersEnd("/book/unread", strings.Repeat("a", largeBody))
	})
}
