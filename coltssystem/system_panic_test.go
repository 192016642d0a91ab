package coltssystem

// An unexpected error in one request ends that request alone, with an outcome that is not known.

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltscaller"
	"coltsfootstall/coltsmetric"
)

func TestUnexpectedErrors(t *testing.T) {
	var broken atomic.Bool
	s := startSystem(t, func(c *Config) {
		c.Entries, c.Services = 1, 1
		c.Dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			if broken.Load() {
				panic("unexpected")
			}
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr.String())
		}
	})
	client := newSeedPaperClient()
	addr := s.Entries[0].CallerAddr()
	broken.Store(true)
	t.Run("a call is not said not to have run", func(t *testing.T) {
		r, err := client.Call(addr, coltscaller.Call{Service: ServiceName, IdempotencyKey: "broken"})
		assert.NilError(t, err)
		assert.Equal(t, r.Outcome, "unknown")
		assert.Equal(t, r.Reason, "unexpected-error")
	})
	t.Run("a prompt is not said not to have run", func(t *testing.T) {
		r, err := client.Stream(addr, newPrompt("broken", 0))
		assertRefusal(t, r, err, "unknown", "unexpected-error")
	})
	broken.Store(false)
	t.Run("the entry serves later requests and has counted the errors", func(t *testing.T) {
		p := newPrompt("later", 0)
		r, err := client.Stream(addr, p)
		assertComplete(t, p, r, err)
		assert.Assert(t, s.sumMetric(coltsmetric.Panics) >= 2)
	})
}
