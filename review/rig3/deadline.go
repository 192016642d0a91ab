//go:build review

package main

// Two versions of weights are named, the second before the first is in place everywhere, because a runner leaves
// orders unanswered and carries them out late. A gateway is killed and started again right after the second.

import (
	"fmt"
	"sync"
	"time"
)

const (
	// deadlineGateways and deadlineRunners are the sizes of the deployment.
	deadlineGateways = 3
	deadlineRunners  = 12
	// nameEvery is the time between the two names, killAfter that from the second name to the kill.
	nameEvery = 2700 * time.Millisecond
	killAfter = 100 * time.Millisecond
	// lateTime is how long orders to the last runner get no answer, counted from the first name.
	lateTime = 7 * time.Second
	// askEvery is the time between two requests.
	askEvery = 15 * time.Millisecond
	// firstName and lastName are the versions that are named.
	firstName = 2
	lastName  = 3
)

// sentOn is a request with the gateway that it was sent to.
type sentOn struct {
	gateway string
	sentAt  time.Time
}

func playEarlyDeadline(c *cluster, trouble bool) ([]string, error) {
	if err := c.start(3, 1, deadlineGateways); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var all []begun
	var lateUntil time.Time
	sent := map[string]sentOn{}
	for i := range deadlineRunners {
		r := &runner{
			name: fmt.Sprintf("r%02d", i+1), service: "lm", tokens: 2, pause: 50 * time.Millisecond, downFor: time.Second,
			onBegun: func(b begun) {
				mu.Lock()
				defer mu.Unlock()
				all = append(all, b)
			},
		}
		if i == deadlineRunners-1 {
			r.onOrder = func() bool {
				mu.Lock()
				defer mu.Unlock()
				return time.Now().After(lateUntil)
			}
		}
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
	// Longer than order-wait after the leader's election.
	time.Sleep(5 * time.Second)
	done := make(chan struct{})
	var senders sync.WaitGroup
	senders.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(askEvery):
			}
			to, id := c.gateways[i%len(c.gateways)], newID("ask")
			p := prompt{
				path: fmt.Sprintf("/chat/%d", i), parts: fmt.Sprintf("%08x:100,%08x:40", 0x10000000+i%97, 0x20000000+i),
				body: fmt.Sprintf("question %d", i), tokens: "140,40",
			}
			mu.Lock()
			sent[id] = sentOn{gateway: to.name, sentAt: time.Now()}
			mu.Unlock()
			senders.Go(func() {
				a := c.send(id, to, p)
				c.logf("%s at %s: status %d, whole %t, %v", id, to.name, a.status, a.whole, a.err)
			})
		}
	})
	time.Sleep(time.Second)
	mu.Lock()
	lateUntil = time.Now().Add(lateTime)
	mu.Unlock()
	acked := map[uint64]time.Time{}
	inTouch := time.Time{}
	for version := uint64(firstName); version <= lastName; version++ {
		if err := c.post("/v1/version-put", map[string]any{"model": model, "version": version}, time.Now().Add(4*time.Second)); err != nil {
			return nil, err
		}
		acked[version] = time.Now()
		c.logf("version %d is acknowledged", version)
		if version == firstName+1 && trouble {
			time.Sleep(killAfter)
			if err := c.restart(c.gateways[0], 0); err != nil {
				return nil, err
			}
			inTouch = time.Now().Add(contactTime)
		}
		time.Sleep(time.Until(acked[version].Add(nameEvery)))
	}
	time.Sleep(2 * versionTime)
	close(done)
	senders.Wait()
	mu.Lock()
	defer mu.Unlock()
	var violations []string
	for _, b := range all {
		s := sent[b.id]
		c.logf("%s began on %s at version %d", b.id, b.runner, b.version)
		if s.gateway == c.gateways[0].name && s.sentAt.Before(inTouch) {
			continue
		}
		// The oldest version that is newer is the one that was acknowledged first.
		if late := b.at.Sub(acked[b.version+1]); b.version < lastName && late > versionTime {
			violations = append(violations, fmt.Sprintf("VERSION: %s, sent on by %s, began on version %d %.3f s after version %d was acknowledged",
				b.id, s.gateway, b.version, late.Seconds(), b.version+1))
		}
	}
	return violations, nil
}
