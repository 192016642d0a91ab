//go:build review && exp

package rig2

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

func TestControlStorm(t *testing.T) {
	r, err := New("/tmp/rev/exp1", 5, Bounds{LeaseMs: 3000, VersionMs: 6000, RetryRatio: .2, RetrySlack: 58, RetryWindowS: 10, GraceS: 8, FrontMemoryMb: 134, CoreMemoryMb: 280})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Stop()
	for i := range 5 {
		r.StartControl(i, "z1", true)
	}
	for i := range 2 {
		r.StartGateway(i, "z1")
	}
	n := &Runner{ID: "i-0", Service: "svc", Zone: "z1", Addr: r.RunnerIP(0) + ":0", Slots: 48}
	n.Serve = func(w http.ResponseWriter, q *http.Request) { w.Header().Set("X-Coltsfootstall-Server-Seal", "x") }
	r.StartRunner(n)
	pad := strings.Repeat("p", 3000)
	cfg := func(v int) []byte {
		return []byte(fmt.Sprintf(`{"version":%d,"pad":%q,"routes":[{"name":"a","host":"h.example","pathPrefix":"/v%d/","kind":"safe","timeoutMs":4000,"goalMs":300,"priority":1,"service":"svc","maxAttempts":1,"public":true}],"services":[{"name":"svc","healthPath":"/health","maxConns":400}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["k1"]}]}`, v, pad, v))
	}
	if _, err := r.Operator("cfg", "POST", "/v1/config/put", cfg(1), r.Services(), 15*time.Second); err != nil {
		t.Fatal(err)
	}
	time.Sleep(6 * time.Second)
	var acked, next, acks, reads, stale, rerr atomic.Int64
	next.Store(1)
	acked.Store(1)
	until := time.Now().Add(70 * time.Second)
	var wg sync.WaitGroup
	for range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(until) {
				v := next.Add(1)
				for k := 0; k < 8 && time.Now().Before(until); k++ {
					st, _, err := r.Call("POST", r.Service(rand.Intn(5)), "/v1/config/put", cfg(int(v)), time.Second)
					if err == nil && st == 200 {
						acks.Add(1)
						for {
							a := acked.Load()
							if a >= v || acked.CompareAndSwap(a, v) {
								break
							}
						}
						break
					}
					if err == nil && st/100 == 4 {
						fmt.Println("REFUSED", v, st)
					}
				}
			}
		}()
	}
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(until) {
				min := acked.Load()
				st, body, err := r.Call("GET", r.Service(rand.Intn(5)), "/v1/config/get", nil, 3*time.Second)
				if err != nil || st != 200 {
					rerr.Add(1)
					continue
				}
				reads.Add(1)
				var c struct{ Version int64 }
				if json.Unmarshal(body, &c) != nil || c.Version < min {
					stale.Add(1)
					fmt.Println("STALE", c.Version, "<", min)
				}
			}
		}()
	}
	// chaos
	for time.Now().Before(until.Add(-8 * time.Second)) {
		a, b := rand.Intn(5), rand.Intn(5)
		set := map[int]bool{a: true, b: true}
		for i := range set {
			name := fmt.Sprintf("core-%d", i)
			switch rand.Intn(3) {
			case 0:
				r.Signal(name, syscall.SIGKILL)
				for !r.Ended(name) {
					time.Sleep(time.Millisecond)
				}
				go func() { time.Sleep(time.Duration(rand.Intn(700)) * time.Millisecond); r.StartControl(i, "z1", false) }()
			default:
				r.Signal(name, syscall.SIGSTOP)
				go func() { time.Sleep(time.Duration(200+rand.Intn(1800)) * time.Millisecond); r.Signal(name, syscall.SIGCONT) }()
			}
		}
		time.Sleep(time.Duration(2200+rand.Intn(800)) * time.Millisecond)
	}
	wg.Wait()
	fmt.Println("acks", acks.Load(), "reads", reads.Load(), "stale", stale.Load(), "read errors", rerr.Load(), "acked", acked.Load())
	time.Sleep(3 * time.Second)
	for i := range 5 {
		st, body, err := r.Call("GET", r.Service(i), "/v1/config/get", nil, 3*time.Second)
		var c struct{ Version int64 }
		json.Unmarshal(body, &c)
		fmt.Println(i, st, c.Version, err, strings.Count(r.Log(fmt.Sprintf("core-%d", i)), "panic"), strings.Count(r.Log(fmt.Sprintf("core-%d", i)), "goroutine "))
	}
}
