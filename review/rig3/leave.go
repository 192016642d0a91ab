//go:build review

package main

// A runner leaves right after its start, while its first heartbeat is still on its way.

import (
	"fmt"
	"sync"
	"time"
)

const (
	leaveGateways = 3
	leaveRunners  = 3
	// drainTime is the bound drainMs.
	drainTime = 2 * time.Second
	// beatDelay is how late the heartbeat arrives, leaveAfter when the runner leaves after its start. It would call
	// the next instance after a second without a confirmation.
	beatDelay  = 4 * time.Second
	leaveAfter = 800 * time.Millisecond
	// servesFor is how long it serves on after the confirmation.
	servesFor = 12 * time.Second
	// leaveEvery is the time between two requests.
	leaveEvery = 20 * time.Millisecond
)

func playEarlyLeave(c *cluster, trouble bool) ([]string, error) {
	if err := c.start(3, 1, leaveGateways); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var all []begun
	onBegun := func(b begun) {
		mu.Lock()
		defer mu.Unlock()
		all = append(all, b)
	}
	for i := range leaveRunners {
		r := &runner{name: fmt.Sprintf("r%d", i+1), service: "lm", tokens: 2, pause: 30 * time.Millisecond, downFor: time.Second, onBegun: onBegun}
		if err := c.addRunner(r); err != nil {
			return nil, err
		}
	}
	if err := c.post("/v1/config/put", config(7), time.Now().Add(10*time.Second)); err != nil {
		return nil, err
	}
	if err := c.await(time.Now().Add(10 * time.Second)); err != nil {
		return nil, err
	}
	// Longer than contactMs after the start of all machines.
	time.Sleep(2 * contactTime)
	done := make(chan struct{})
	var senders sync.WaitGroup
	senders.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(leaveEvery):
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
	time.Sleep(time.Second)
	leaver := &runner{name: "leaver", service: "lm", tokens: 2, pause: 30 * time.Millisecond, downFor: time.Second, onBegun: onBegun, quiet: true}
	if err := c.addRunner(leaver); err != nil {
		return nil, err
	}
	leaver.mu.Lock()
	id, born, beat := leaver.id, leaver.born, leaver.nextBeat()
	leaver.mu.Unlock()
	c.logf("%s starts and sends its first heartbeat", id)
	senders.Go(func() {
		if trouble {
			time.Sleep(beatDelay)
		}
		err := c.post("/v1/instances/"+id+"/heartbeat", beat, time.Now().Add(beatPeriod))
		c.logf("the first heartbeat of %s has arrived, confirmed %t", id, err == nil)
	})
	time.Sleep(leaveAfter)
	if err := c.post("/v1/instances/"+id+"/leave", map[string]any{"born": born.UnixMilli(), "sequence": 2}, time.Now().Add(2*time.Second)); err != nil {
		return nil, err
	}
	acked := time.Now()
	c.logf("it is confirmed that %s leaves", id)
	time.Sleep(servesFor)
	leaver.stop()
	c.logf("%s exits", id)
	time.Sleep(time.Second)
	close(done)
	senders.Wait()
	mu.Lock()
	defer mu.Unlock()
	var violations []string
	for _, b := range all {
		if b.runner != id {
			continue
		}
		c.logf("%s began on %s %.3f s after the confirmation", b.id, b.runner, b.at.Sub(acked).Seconds())
		if late := b.at.Sub(acked); late > drainTime {
			violations = append(violations, fmt.Sprintf("DRAIN: %s reached %s %.3f s after it was confirmed that it leaves", b.id, id, late.Seconds()))
		}
	}
	return violations, nil
}
