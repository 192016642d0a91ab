package coltsgateway

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsforward"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
)

// assertColdAfterCrash asserts how many upstreams are cold after a connection to an upstream at an address was lost.
func assertColdAfterCrash(t *testing.T, addr netip.AddrPort, want int) {
	t.Helper()
	now := time.Now()
	g := newTestWatcher(&now).g
	g.balancer.SetColdDurations(map[coltsidentity.Service]time.Duration{"llm": 3 * time.Second})
	g.balancer.Update(coltsregistry.Entry{Upstream: coltsregistry.Upstream{ID: "r0", Service: "llm", Addr: addr, StartedAt: time.Unix(1, 0)}})
	choice, err := g.balancer.Choose(coltsbalance.Demand{Service: "llm", Weight: 1, Capacity: 1}, now)
	assert.NilError(t, err)
	f := &forwarding{g: g, req: &fasthttp.Request{}, lifecycle: &coltsforward.Request{}, choice: choice}
	failure := newAttemptError(coltsattempt.PhaseSent, coltsbalance.OutcomeFailed, "the connection was lost")
	failure.connectionLost = true
	f.recordCrash(context.Background(), failure)
	assert.Equal(t, g.balancer.ColdUpstreams(now), want)
}

// The failure guarded against: an upstream that crashed while it ran requests is avoided for up to 5 s, so no request's
// connection is refused in that time, and it is filled when it has returned under the same ID.
func TestProbeAfterCrash(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := netip.MustParseAddrPort(listener.Addr().String())
	t.Run("an upstream that lost one connection is not cold", func(t *testing.T) { assertColdAfterCrash(t, addr, 0) })
	assert.NilError(t, listener.Close())
	t.Run("an upstream that refuses the probe is cold", func(t *testing.T) { assertColdAfterCrash(t, addr, 1) })
}
