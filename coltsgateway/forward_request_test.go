package coltsgateway

// Guards against load that stays at an upstream after its request has ended, and against responses that take
// more or less of the memory for buffers than they hold.

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsforward"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltssettings"
)

// newTestForwarding returns a request at a gateway that knows one upstream with a free slot.
func newTestForwarding(t *testing.T) *forwarding {
	t.Helper()
	settings := coltssettings.Default()
	// Every byte of a response counts then.
	settings.MemoryMB = 96
	g := New(Config{Settings: settings, Log: coltslog.Discard(), Dialect: Dialect{
		AppendRequestHead:     func(dst []byte, _ *fasthttp.RequestHeader, _ RequestMetadata) []byte { return dst },
		ParseResponse:         func(*fasthttp.ResponseHeader) ResponseMetadata { return ResponseMetadata{} },
		AppendResponseHeaders: func(dst []byte, _ *fasthttp.ResponseHeader) []byte { return dst },
	}})
	g.ctx, g.stop = context.WithCancel(context.Background())
	t.Cleanup(g.stop)
	g.balancer.Update(coltsregistry.Entry{Upstream: coltsregistry.Upstream{
		ID: "u", Service: "s", Slots: 1, State: coltsregistry.StateReady, StartedAt: g.now(), Sequence: 1,
	}})
	g.routes.Put(coltsroute.Table{Version: 1, Routes: []coltsroute.Route{{
		Name: "read", HostName: "h", Prefix: "/", Kind: coltsroute.KindSafe, Timeout: time.Second, MaxAttempts: 1,
		Targets: []coltsroute.Target{{Service: "s", Weight: 1}},
	}}})
	table := g.routes.Current()
	lifecycle, err := coltsforward.NewRequest(coltsforward.InboundRequest{ID: "r", HostName: "h", Path: "/"}, table, g.now())
	assert.NilError(t, err)
	return &forwarding{
		g: g, table: table, lifecycle: lifecycle, req: &fasthttp.Request{},
		buffered: g.buffers.NewShare(), fallbackBuffered: g.buffers.NewShare(),
	}
}

// attemptAnswered makes an attempt at an upstream that answers status 500 with a part of its body and calls
// sent before it ends the connection.
func attemptAnswered(t *testing.T, f *forwarding, length, part int, sent func()) *attemptError {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		_, _ = io.ReadAtLeast(nc, make([]byte, 1<<10), 1)
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 500 X\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("a", part-1))
		time.Sleep(50 * time.Millisecond)
		sent()
		_, _ = io.WriteString(nc, "a")
	}()
	f.choice = coltsbalance.Choice{}
	f.choice.Upstream.ID, f.choice.Upstream.Addr = "u", netip.MustParseAddrPort(ln.Addr().String())
	return f.attempt(context.Background())
}

func TestCallerLeaves(t *testing.T) {
	t.Run("a caller that leaves while its upstream is chosen leaves no load there", func(t *testing.T) {
		f := newTestForwarding(t)
		ctx, cancel := context.WithCancel(f.g.ctx)
		cancel()
		assert.Assert(t, !f.runAttempts(ctx))
		assert.Equal(t, len(f.g.balancer.Loads()), 0)
	})
}

func TestBufferedResponses(t *testing.T) {
	const length = 100_000
	t.Run("an error response that is kept counts beside that of the next attempt", func(t *testing.T) {
		f := newTestForwarding(t)
		for want := length; want <= 2*length; want += length {
			var used atomic.Int64
			failure := attemptAnswered(t, f, length, length, func() { used.Store(int64(f.g.buffers.Used())) })
			assert.ErrorContains(t, failure, "answered status 500")
			assert.Equal(t, int(used.Load()), want)
			assert.Equal(t, f.g.buffers.Used(), length)
		}
	})
	t.Run("a response that breaks off counts no longer", func(t *testing.T) {
		f := newTestForwarding(t)
		assert.ErrorContains(t, attemptAnswered(t, f, length, length/2, func() {}), "interrupted")
		assert.Equal(t, f.g.buffers.Used(), 0)
	})
}
