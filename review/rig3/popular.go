//go:build review

package main

// A part of prompts crashes runners. A sound request that shares the first part and the key, and that is asked
// often, is in progress when they crash.

import (
	"fmt"
	"sync"
	"time"
)

const (
	// popularGateways and popularRunners are the sizes of the deployment.
	popularGateways = 9
	popularRunners  = 5
	// popularEvery is the time between two sound requests, poisonEvery that between two with the part that crashes
	// runners.
	popularEvery = 80 * time.Millisecond
	poisonEvery  = time.Second
	// otherEvery is the time between two requests of another tenant, no two alike and with another first part.
	otherEvery = 100 * time.Millisecond
	// calmTime is how long sound requests come before.
	calmTime = 12 * time.Second
	// judgedTime is how long the requests are judged after that.
	judgedTime = 20 * time.Second
)

// popularSeen collects what runners and consumers saw.
type popularSeen struct {
	mu      sync.Mutex
	begun   map[string]time.Time
	sound   []answer
	poison  []answer
	crashes []time.Time
}

func playPopularRequest(c *cluster, trouble bool) ([]string, error) {
	if err := c.start(3, 1, popularGateways); err != nil {
		return nil, err
	}
	seen := &popularSeen{begun: map[string]time.Time{}}
	for i := range popularRunners {
		r := &runner{
			name: fmt.Sprintf("r%d", i+1), service: "lm", tokens: 5, pause: 200 * time.Millisecond,
			poison: "bad0bad0", downFor: 3 * time.Second,
			onBegun: func(b begun) {
				seen.mu.Lock()
				defer seen.mu.Unlock()
				seen.begun[b.id] = b.at
			},
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
	time.Sleep(3 * time.Second)
	calmFrom := time.Now()
	done := make(chan struct{})
	var senders sync.WaitGroup
	senders.Go(func() { c.sendSound(seen, done) })
	senders.Go(func() { c.sendOthers(done) })
	time.Sleep(calmTime)
	troubleFrom := time.Now()
	c.logf("the calm ends")
	if trouble {
		senders.Go(func() { c.sendPoison(seen, done) })
	}
	lastCrash := troubleFrom
	for {
		time.Sleep(100 * time.Millisecond)
		last, n := seen.lastCrash(troubleFrom)
		if n > 0 {
			lastCrash = last
		}
		// After the fifth crash, or the last one if there are fewer.
		if time.Since(lastCrash) > 2*contactTime+judgedTime || time.Since(troubleFrom) > 60*time.Second {
			break
		}
	}
	close(done)
	senders.Wait()
	return seen.judge(c, calmFrom, troubleFrom, lastCrash, trouble), nil
}

// sendSound sends the same request again and again, to the gateways in turn.
func (c *cluster) sendSound(seen *popularSeen, done chan struct{}) {
	sound := prompt{path: "/chat/label", parts: "a0a0a0a0:300,0b0b0b0b:200,50505050:40", body: "the label of batch 12", tokens: "540,40"}
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(popularEvery):
		}
		to := c.gateways[i%len(c.gateways)]
		wg.Go(func() {
			a := c.send(newID("sound"), to, sound)
			c.logf("%s at %s: status %d, whole %t, retry-after %q, %v", a.id, to.name, a.status, a.whole, a.retry, a.err)
			seen.mu.Lock()
			defer seen.mu.Unlock()
			seen.sound = append(seen.sound, a)
		})
	}
}

// sendOthers sends the requests of another tenant, which are not judged.
func (c *cluster) sendOthers(done chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(otherEvery):
		}
		to := c.gateways[i%len(c.gateways)]
		p := prompt{
			path: fmt.Sprintf("/chat/other-%d", i), parts: fmt.Sprintf("c0c0c0c0:300,%08x:40", 0x60000000+i),
			body: fmt.Sprintf("other request %d", i), tokens: "340,40", key: "key-of-harbour",
		}
		wg.Go(func() {
			a := c.send(newID("other"), to, p)
			c.logf("%s at %s: status %d, whole %t, %v", a.id, to.name, a.status, a.whole, a.err)
		})
	}
}

// sendPoison sends requests with the part that crashes runners, no two alike, to the gateways in turn.
func (c *cluster) sendPoison(seen *popularSeen, done chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(poisonEvery):
		}
		to := c.gateways[(i+1)%len(c.gateways)]
		p := prompt{
			path: fmt.Sprintf("/chat/odd-%d", i), parts: fmt.Sprintf("a0a0a0a0:300,bad0bad0:200,%08x:40", 0x70000000+i),
			body: fmt.Sprintf("odd request %d", i), tokens: "540,40",
		}
		wg.Go(func() {
			a := c.send(newID("odd"), to, p)
			c.logf("%s at %s: status %d, retry-after %q, %v", a.id, to.name, a.status, a.retry, a.err)
			seen.mu.Lock()
			defer seen.mu.Unlock()
			seen.poison = append(seen.poison, a)
		})
	}
}

// lastCrash returns when the fifth crash was, or the last one if there are fewer, and the number of crashes.
func (s *popularSeen) lastCrash(since time.Time) (time.Time, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var at []time.Time
	for id, begunAt := range s.begun {
		if id[:3] == "odd" && begunAt.After(since) {
			at = append(at, begunAt)
		}
	}
	if len(at) == 0 {
		return time.Time{}, 0
	}
	for i := range at {
		for j := i + 1; j < len(at); j++ {
			if at[j].Before(at[i]) {
				at[i], at[j] = at[j], at[i]
			}
		}
	}
	return at[min(len(at), 5)-1], len(at)
}

// judge compares how often sound requests begin at their first attempt.
func (s *popularSeen) judge(c *cluster, calmFrom, troubleFrom, fifth time.Time, trouble bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := func(from, to time.Time) (float64, int) {
		n, began := 0, 0
		for _, a := range s.sound {
			if a.sentAt.Before(from) || !a.sentAt.Before(to) {
				continue
			}
			n++
			if _, ok := s.begun[a.id]; ok {
				began++
			}
		}
		return float64(began) / max(1, float64(n)), n
	}
	calm, nCalm := share(calmFrom, troubleFrom)
	from := fifth.Add(2 * contactTime)
	later, nLater := share(from, from.Add(judgedTime))
	c.logf("calm: %.3f of %d sound requests began; from 2 x contactMs after the fifth crash or the last: %.3f of %d", calm, nCalm, later, nLater)
	if nCalm < 20 || nLater < 20 || later >= calm/2 {
		return nil
	}
	return []string{fmt.Sprintf("LOST: sound requests with the same key and first part began %.3f of the time, %.3f in the calm", later, calm)}
}
