package coltsgateway

// Guards against load that stays at an upstream after its request has ended.

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsforward"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltssettings"
)

// newTestForwarding returns a request at a gateway that knows one upstream with a free slot.
func newTestForwarding(t *testing.T) *forwarding {
	t.Helper()
	g := New(Config{Settings: coltssettings.Default(), Log: coltslog.Discard()})
	g.ctx, g.stop = context.WithCancel(context.Background())
	t.Cleanup(g.stop)
	g.balancer.Update(coltsregistry.Entry{Upstream: coltsregistry.Upstream{
		ID: "u", Service: "s", Slots: 1, State: coltsregistry.StateReady, StartedAt: g.now(), Sequence: 1,
	}})
	table := coltsroute.NewIndex(coltsroute.Table{Version: 1, Routes: []coltsroute.Route{{
		Name: "read", HostName: "h", Prefix: "/", Kind: coltsroute.KindSafe, Timeout: time.Second, MaxAttempts: 1,
		Targets: []coltsroute.Target{{Service: "s", Weight: 1}},
	}}})
	lifecycle, err := coltsforward.NewRequest(coltsforward.InboundRequest{ID: "r", HostName: "h", Path: "/"}, table, g.now())
	assert.NilError(t, err)
	return &forwarding{g: g, table: table, lifecycle: lifecycle, buffered: g.buffers.NewShare()}
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
