//go:build review

// Case 10: a new config makes a tenant isolated that was not. Another tenant's request, sent long after the
// confirmation, gets KV cache that the isolated tenant's request made.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"coltsfootstall/review/rig2"
)

const (
	controls = 5
	gateways = 2
	service  = "press-lm"
	keep     = "prompt-keep-a"
	host     = "desk.example"
	model    = "daka510000"

	// Bounds of the site pos-seedpress.
	apply   = 2000 * time.Millisecond
	contact = 3000 * time.Millisecond

	isolatedTenant, otherTenant = "council", "school"
	isolatedKey, otherKey       = "jnbanfqasnmgkcuyj8pj", "bvk9m68k7b2ex5wa5xwy"
	sharedPart                  = "5c1e07a2"
)

var zones = []string{"laventille", "st-james", "belmont"}

// use is the use of a part that a request of another tenant made.
type use struct{ id, tenant, maker, where, salt string }

// engine is a runner's engine.
type engine struct {
	r     *rig2.Rig
	store *rig2.Cache
	addr  string
	own   rig2.Cache
	uses  *[]use
	mu    *sync.Mutex
}

// serve runs a prompt: it takes the shared parts from its own cache or from the store that the system names,
// and keeps and saves those that it has to read.
func (e *engine) serve(w http.ResponseWriter, q *http.Request) {
	h := q.Header
	tenant, salt, id := h.Get("X-Coltsfootstall-Tenant"), h.Get("X-Coltsfootstall-Cache-Salt"), h.Get("X-Coltsfootstall-Request-Id")
	parts := strings.Split(h.Get("X-Coltsfootstall-Prompt-Prefix"), ",")
	fetch, save := strings.Split(h.Get("X-Coltsfootstall-Kv-Fetch"), ","), strings.Split(h.Get("X-Coltsfootstall-Kv-Save"), ",")
	for i, text := range parts[:len(parts)-1] {
		part, count, _ := strings.Cut(strings.TrimSpace(text), ":")
		tokens := 0
		_, _ = fmt.Sscan(count, &tokens)
		where, maker := "read anew", tenant
		if m, found := e.own.Find(salt, part); found {
			where, maker = "the runner's cache", m.Tenant
		} else if i < len(fetch) && strings.HasPrefix(fetch[i], e.addr) {
			if m, found := e.store.Find(salt, part); found {
				where, maker = "the store", m.Tenant
			}
		}
		e.r.Note("%s: request %s of %s, part %s under salt %q: %s, made by %s", h.Get("X-Coltsfootstall-Expect-Instance"), id, tenant, part, salt, where, maker)
		if maker != tenant {
			e.mu.Lock()
			*e.uses = append(*e.uses, use{id, tenant, maker, where, salt})
			e.mu.Unlock()
		}
		e.own.Add(salt, part, rig2.Made{Tenant: maker, Version: 1}, tokens)
		if i < len(save) && save[i] == e.addr {
			e.store.Add(salt, part, rig2.Made{Tenant: maker, Version: 1}, tokens)
		}
	}
	w.Header().Set("X-Coltsfootstall-Server-Seal", "3e1b.07."+id)
	w.Header().Set("X-Coltsfootstall-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprint(w, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

func config(version int, isolated bool, storeText string) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-manifest","host":%q,"pathPrefix":"/draft/","kind":"streaming",`+
		`"timeoutMs":10000,"goalMs":600,"priority":2,"service":%q,"maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapGoalMs":300}],`+
		`"services":[{"name":%q,"kvStoreAddr":%q,"zone":"st-james","kvCapacity":198679,"linkMbps":1500000.0,"maxInflight":12,"managed":true,"first_ms":0.5},`+
		`{"name":%q,"healthPath":"/health","maxConns":290,"protocol":"h1","tls":false,"engine":{"slots":48,"kvCapacity":109648,"tokenKvBytes":131072,`+
		`"linkMbps":260000.0,"moves":true,"backups":true,"managed":true,"stride":9,"maxInflight":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,`+
		`"models":[{"name":%q}]}}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":[{"name":%q,"apiKeys":[%q],"priority":1,"isolated":%v},{"name":%q,"apiKeys":[%q],"priority":1}]}`,
		version, host, service, keep, storeText, service, model, isolatedTenant, isolatedKey, isolated, otherTenant, otherKey))
}

// ask sends a prompt of a tenant to a gateway.
func ask(r *rig2.Rig, gateway int, id, key, last string) error {
	q, _ := http.NewRequest(http.MethodPost, "http://"+r.Front(gateway)+"/draft/1", strings.NewReader("{}"))
	q.Host = host
	q.Header.Set("X-Coltsfootstall-Request-Id", id)
	q.Header.Set("X-Coltsfootstall-Model", model)
	q.Header.Set("X-Coltsfootstall-Token-Usage", "900,80")
	q.Header.Set("X-Coltsfootstall-Prompt-Prefix", sharedPart+":800,"+last+":100")
	q.Header.Set("X-Coltsfootstall-Deadline-Ms", "10000")
	q.Header.Set("Authorization", "Bearer "+key)
	p, err := (&http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		return err
	}
	defer p.Body.Close()
	r.Note("consumer: request %s by front-%d: %d", id, gateway, p.StatusCode)
	if p.StatusCode != http.StatusOK {
		return fmt.Errorf("request %s got %d", id, p.StatusCode)
	}
	return nil
}

func run(r *rig2.Rig) (bool, error) {
	for i := range controls {
		if err := r.StartControl(i, zones[i%len(zones)], true); err != nil {
			return false, err
		}
	}
	for i := range gateways {
		if err := r.StartGateway(i, zones[i]); err != nil {
			return false, err
		}
	}
	store := &rig2.Cache{Model: model}
	listener, err := net.Listen("tcp", r.RunnerIP(20)+":0")
	if err != nil {
		return false, err
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(store.ServeStore)) }()
	var uses []use
	var mu sync.Mutex
	for i, zone := range zones {
		e := &engine{r: r, store: store, addr: listener.Addr().String(), uses: &uses, mu: &mu}
		n := &rig2.Runner{ID: "i-" + zone, Service: service, Zone: zone, Addr: r.RunnerIP(i) + ":0", Slots: 48, Model: model, Serve: e.serve}
		if err := r.StartRunner(n); err != nil {
			return false, err
		}
	}
	nodes := r.Services()
	put := func(version int, isolated bool) error {
		_, err := r.Operator(fmt.Sprintf("config %d (%s isolated: %v)", version, isolatedTenant, isolated),
			http.MethodPost, "/v1/config/put", config(version, isolated, listener.Addr().String()), nodes, 15*time.Second)
		return err
	}
	// Without the disruption the tenant is isolated from the first config on, and no other config follows.
	if err := put(3, !r.Trouble); err != nil {
		return false, err
	}
	for i := range gateways {
		if err := r.AwaitReady(i, 10*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(contact + time.Second)
	for i := range 4 {
		if err := ask(r, i%gateways, fmt.Sprintf("a-%d", i), isolatedKey, fmt.Sprintf("aa%02d", i)); err != nil {
			return false, err
		}
		time.Sleep(200 * time.Millisecond)
	}
	if r.Trouble {
		if err := put(8, true); err != nil {
			return false, err
		}
	}
	time.Sleep(apply + contact)
	r.Note("from now on no request may use what a request of %s made, but its own", isolatedTenant)
	mu.Lock()
	uses = nil
	mu.Unlock()
	for i := range 4 {
		if err := ask(r, i%gateways, fmt.Sprintf("b-%d", i), otherKey, fmt.Sprintf("bb%02d", i)); err != nil {
			return false, err
		}
		time.Sleep(200 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	for _, u := range uses {
		r.Note("request %s of %s used KV cache that a request of %s made, which is isolated: from %s, salt %q", u.id, u.tenant, u.maker, u.where, u.salt)
	}
	return len(uses) > 0, nil
}

func main() {
	r, err := rig2.New(os.Args[1], controls, rig2.Bounds{
		LeaseMs: 3000, VersionMs: 6000, RetryRatio: 0.2, RetrySlack: 52, RetryWindowS: 10, GraceS: 8,
		FrontMemoryMb: 284, CoreMemoryMb: 280,
	})
	if err != nil {
		fmt.Println(err)
		os.Exit(rig2.ExitUnusable)
	}
	r.Run(100*time.Second, func() (bool, error) { return run(r) })
}
