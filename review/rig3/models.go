//go:build review

package main

// Runners have two models, and prompts to both begin with the same part. A version of the one is named whose number
// the other has already.

import (
	"fmt"
	"sync"
	"time"
)

const (
	modelsGateways = 2
	modelsRunners  = 4
	otherModel     = "m1"
	// sharedPart is the part with which all prompts begin.
	sharedPart = "5e5e5e5e"
	// modelsEvery is the time between two requests, modelsTime how long they come before and after the name.
	modelsEvery = 20 * time.Millisecond
	modelsTime  = 8 * time.Second
)

// modelsConfig is the config with two models and a store.
func modelsConfig(s *store) map[string]any {
	cfg := config(7)
	services := cfg["services"].([]any)
	engine := services[0].(map[string]any)["engine"].(map[string]any)
	engine["models"] = []any{map[string]any{"name": model}, map[string]any{"name": otherModel}}
	cfg["services"] = append(services, map[string]any{
		"name": "keep", "kvStoreAddr": s.addr, "zone": "z1", "kvCapacity": 1490096, "linkMbps": 590000.0, "maxInflight": 12,
		"managed": true, "first_ms": 6.0,
	})
	return cfg
}

func playTwoModels(c *cluster, trouble bool) ([]string, error) {
	if err := c.start(3, 1, modelsGateways); err != nil {
		return nil, err
	}
	keep, err := c.startStore()
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	all, asked := []begun{}, map[string]string{}
	for i := range modelsRunners {
		err := c.addRunner(&runner{
			name: fmt.Sprintf("r%d", i+1), service: "lm", tokens: 2, pause: 30 * time.Millisecond, downFor: time.Second,
			models: []string{model, otherModel}, store: keep,
			onBegun: func(b begun) {
				mu.Lock()
				defer mu.Unlock()
				all = append(all, b)
			},
		})
		if err != nil {
			return nil, err
		}
	}
	if err := c.post("/v1/config/put", modelsConfig(keep), time.Now().Add(10*time.Second)); err != nil {
		return nil, err
	}
	if err := c.await(time.Now().Add(10 * time.Second)); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	name := func(of string, version int) error {
		err := c.post("/v1/version-put", map[string]any{"model": of, "version": version}, time.Now().Add(4*time.Second))
		c.logf("version %d of %s is acknowledged: %v", version, of, err == nil)
		return err
	}
	if err := name(otherModel, 2); err != nil {
		return nil, err
	}
	time.Sleep(versionTime)
	done := make(chan struct{})
	var senders sync.WaitGroup
	senders.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(modelsEvery):
			}
			to, id, of := c.gateways[i%len(c.gateways)], newID("ask"), []string{model, otherModel}[i/2%2]
			p := prompt{
				path: fmt.Sprintf("/chat/%d", i), parts: fmt.Sprintf("%s:400,%08x:40", sharedPart, 0x20000000+i),
				body: fmt.Sprintf("question %d", i), tokens: "440,40", model: of,
			}
			mu.Lock()
			asked[id] = of
			mu.Unlock()
			senders.Go(func() {
				a := c.send(id, to, p)
				c.logf("%s for %s at %s: status %d, whole %t, %v", id, of, to.name, a.status, a.whole, a.err)
			})
		}
	})
	time.Sleep(modelsTime)
	if trouble {
		if err := name(model, 2); err != nil {
			return nil, err
		}
	}
	time.Sleep(modelsTime)
	close(done)
	senders.Wait()
	mu.Lock()
	defer mu.Unlock()
	var violations []string
	fetched := 0
	for _, b := range all {
		own := maker{model: asked[b.id], version: b.version}
		c.logf("%s for %s began on %s at version %d, with fetched parts of %v", b.id, own.model, b.runner, b.version, b.used)
		for _, used := range b.used {
			fetched++
			if used != own {
				violations = append(violations, fmt.Sprintf("STALE: %s for version %d of %s runs on KV cache made by version %d of %s",
					b.id, own.version, own.model, used.version, used.model))
			}
		}
	}
	c.logf("%d requests began, with %d fetched parts", len(all), fetched)
	if fetched == 0 {
		return nil, fmt.Errorf("no part was fetched")
	}
	return violations, nil
}
