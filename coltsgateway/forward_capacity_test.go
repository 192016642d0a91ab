package coltsgateway

// Guards against requests that wait in the queue, and are refused at last, though an upstream has room.

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsforward"
	"coltsfootstall/coltsroute"
)

func TestQueue(t *testing.T) {
	t.Run("all waiting requests for which there is room are woken when one request ends", func(t *testing.T) {
		g := newTestForwarding(t).g
		g.routes.Put(coltsroute.Table{
			Version:  2,
			Services: []coltsroute.Service{{Name: "s", Engine: &coltsroute.Engine{Slots: 20, CacheTokens: 100_000}}},
			Routes: []coltsroute.Route{{
				Name: "read", HostName: "h", Prefix: "/", Kind: coltsroute.KindSafe, Timeout: 10 * time.Second, MaxAttempts: 1,
				LatencyGoal: time.Second, Targets: []coltsroute.Target{{Service: "s", Weight: 1}},
			}},
		})
		table, now := g.routes.Current(), g.now()
		running, err := g.balancer.Choose(coltsbalance.Demand{Service: "s", Weight: 99_000, Capacity: 100_000}, now)
		assert.NilError(t, err)
		var group sync.WaitGroup
		for i := range 6 {
			lifecycle, err := coltsforward.NewRequest(
				coltsforward.InboundRequest{ID: fmt.Sprint(i), HostName: "h", Path: "/", PromptTokens: 12_000}, table, now)
			assert.NilError(t, err)
			group.Go(func() {
				_, err := (&forwarding{g: g, table: table, lifecycle: lifecycle}).choose(context.Background())
				assert.Check(t, err)
			})
		}
		for g.queue.Len("s") < 6 {
			time.Sleep(time.Millisecond)
		}
		// All of them wait for the signal then.
		time.Sleep(50 * time.Millisecond)
		g.balancer.Done(running, coltsbalance.OutcomeAnswered, g.now())
		g.capacityFreed.Broadcast()
		group.Wait()
	})
}
