//go:build review

package main

// The first orders to two runners are carried out late, after the runners have been restarted under their IDs with
// newer weights.

import (
	"fmt"
	"sync"
	"time"
)

const (
	lateGateways = 2
	lateRunners  = 12
	// lateCount is the number of runners whose first order gets no answer and that crash later.
	lateCount = 2
	// secondNameAfter is when the second version is named, crashAfter when the runners crash, both after the first name.
	secondNameAfter = 5 * time.Second
	crashAfter      = 9 * time.Second
	// endAfter is when the traffic ends, after the first name. The late orders have been carried out for longer than
	// 1.5 x versionMs by then.
	endAfter = 26 * time.Second
	// lateEvery is the time between two requests.
	lateEvery = 30 * time.Millisecond
	newest    = 3
)

func playLateOrder(c *cluster, trouble bool) ([]string, error) {
	if err := c.start(3, 1, lateGateways); err != nil {
		return nil, err
	}
	var runners []*runner
	for i := range lateRunners {
		r := &runner{
			name: fmt.Sprintf("r%02d", i+1), service: "lm", tokens: 2, pause: 30 * time.Millisecond, downFor: time.Second,
			keepsID: true, onBegun: func(begun) {},
		}
		if i < lateCount {
			orders := 0
			r.onOrder = func() bool {
				orders++
				return orders > 1
			}
		}
		if err := c.addRunner(r); err != nil {
			return nil, err
		}
		runners = append(runners, r)
	}
	if err := c.post("/v1/config/put", config(7), time.Now().Add(10*time.Second)); err != nil {
		return nil, err
	}
	if err := c.await(time.Now().Add(10 * time.Second)); err != nil {
		return nil, err
	}
	// Longer than order-wait after the leader's election.
	time.Sleep(5 * time.Second)
	done := make(chan struct{})
	var senders sync.WaitGroup
	senders.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(lateEvery):
			}
			to, id := c.gateways[i%len(c.gateways)], newID("ask")
			p := prompt{
				path: fmt.Sprintf("/chat/%d", i), parts: fmt.Sprintf("%08x:100,%08x:40", 0x10000000+i%97, 0x20000000+i),
				body: fmt.Sprintf("question %d", i), tokens: "140,40",
			}
			senders.Go(func() {
				a := c.send(id, to, p)
				c.logf("%s at %s: status %d, whole %t, %v", id, to.name, a.status, a.whole, a.err)
			})
		}
	})
	name := func(version int) error {
		err := c.post("/v1/version-put", map[string]any{"model": model, "version": version}, time.Now().Add(4*time.Second))
		c.logf("version %d is acknowledged: %t", version, err == nil)
		return err
	}
	if err := name(newest - 1); err != nil {
		return nil, err
	}
	first := time.Now()
	time.Sleep(time.Until(first.Add(secondNameAfter)))
	if err := name(newest); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(first.Add(crashAfter)))
	for _, r := range runners[:lateCount] {
		if trouble {
			r.crash("the plan of the case")
		}
	}
	time.Sleep(time.Until(first.Add(endAfter)))
	close(done)
	senders.Wait()
	older := 0
	for _, r := range runners {
		r.mu.Lock()
		c.logf("%s has version %d, started %.1f s ago", r.id, r.versions[model], time.Since(r.born).Seconds())
		if r.versions[model] < newest {
			older++
		}
		r.mu.Unlock()
	}
	if older > 1 && 10*older > lateRunners {
		return []string{fmt.Sprintf("VERSION: %d of %d runners still have an older version %.1f s after version %d was acknowledged",
			older, lateRunners, time.Since(first.Add(secondNameAfter)).Seconds(), newest)}, nil
	}
	return nil, nil
}
