//go:build review

package main

// A store of kept KV cache restarts while a gateway is frozen.

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"coltsfootstall/review/reviewkit"
)

const (
	// Figures of the site's engines and of its store prompt-keep-b.
	engineSlots  = 48
	engineTokens = 109648
	prefillPerMs = 140
	tokensPerMs  = 260e9 / 8 / 131072 / 1000
	storeFirst   = 6 * time.Millisecond
	storeTokens  = 2970910
	firstToken   = 53 * time.Millisecond
	staleRunners = 4
	staleParts   = 200
	stalePart    = 4000
	staleLast    = 100
	// staleRate is the number of requests a second at the gateway that is frozen, staleOthers at the others.
	staleRate      = 40
	staleOthers    = 20
	staleWarm      = 12 * time.Second
	staleRounds    = 5
	staleRound     = 8 * time.Second
	staleFreeze    = 2 * time.Second
	staleStoreAt   = 1500 * time.Millisecond
	staleStoreDown = 100 * time.Millisecond
)

// engine is a stand-in for a model runner that reads prompts one after another and keeps the parts that were
// used last.
type engine struct {
	store  *reviewkit.Store
	record *reviewkit.Record
	id     string
	broken *atomic.Int64
	counts *[4]atomic.Int64

	// prefill and link are held while a prompt is read and while memory is moved.
	prefill sync.Mutex
	link    sync.Mutex

	mu     sync.Mutex
	recent *list.List
	parts  map[reviewkit.PartKey]*list.Element
}

// keeps reports whether the engine keeps a part, which counts as its use.
func (e *engine) keeps(key reviewkit.PartKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	element, kept := e.parts[key]
	if kept {
		e.recent.MoveToFront(element)
	}
	return kept
}

// keep adds a part. Half of the memory is left for the requests that run.
func (e *engine) keep(key reviewkit.PartKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, kept := e.parts[key]; kept {
		return
	}
	e.parts[key] = e.recent.PushFront(key)
	for e.recent.Len() > engineTokens/2/stalePart {
		oldest := e.recent.Remove(e.recent.Back()).(reviewkit.PartKey)
		delete(e.parts, oldest)
	}
}

// move takes the time of a transfer of tokens.
func (e *engine) move(tokens int) {
	e.link.Lock()
	defer e.link.Unlock()
	time.Sleep(storeFirst + time.Duration(float64(tokens)/tokensPerMs*float64(time.Millisecond)))
}

// ServeHTTP runs a request.
func (e *engine) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	salt := req.Header.Get("X-Coltsfootstall-Cache-Salt")
	fetches := strings.Split(req.Header.Get("X-Coltsfootstall-Kv-Fetch"), ",")
	saves := strings.Split(req.Header.Get("X-Coltsfootstall-Kv-Save"), ",")
	id := req.Header.Get("X-Coltsfootstall-Request-Id")
	parts := strings.Split(req.Header.Get("X-Coltsfootstall-Prompt-Prefix"), ",")
	name, _, _ := strings.Cut(parts[0], ":")
	key := reviewkit.PartKey{Salt: salt, ID: name}
	epoch := e.store.Epoch()
	saving := named(saves, 0, e.store.Addr) && e.store.Reserve(key, stalePart)
	toRead := staleLast
	switch {
	case e.keeps(key):
		e.counts[0].Add(1)
	case named(fetches, 0, e.store.Addr):
		held, writing := e.store.Content(key)
		switch {
		case held:
			e.counts[1].Add(1)
			e.move(stalePart)
		case writing:
			e.broken.Add(1)
			e.record.Logf("runner %s: request %s takes part %s from the store, which is not whole there", e.id, id, name)
		default:
			e.counts[2].Add(1)
			toRead += stalePart
		}
	default:
		e.counts[3].Add(1)
		toRead += stalePart
	}
	e.prefill.Lock()
	time.Sleep(time.Duration(toRead) * time.Millisecond / prefillPerMs)
	e.prefill.Unlock()
	e.keep(key)
	if saving {
		go func() {
			e.move(stalePart)
			e.store.Complete(key, epoch)
		}()
	}
	time.Sleep(firstToken)
	reviewkit.Answer(w, req)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Coltsfootstall-Weight-Versions", "1")
	for i := 1; i <= 5; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// named reports whether a list of addresses names addr for part i; one address stands for all parts.
func named(addrs []string, i int, addr string) bool {
	return i < len(addrs) && strings.TrimSpace(addrs[i]) == addr
}

func engineTable(store string) string {
	return fmt.Sprintf(`{"version":3,"routes":[{"name":"r-draft","host":"press.example","pathPrefix":"/draft/","kind":"streaming",`+
		`"timeoutMs":10000,"goalMs":600,"priority":1,"service":"press-lm","maxAttempts":1,"public":true,"sticky":true,"resumable":false,"gapGoalMs":300}],`+
		`"services":[{"name":"keep","kvStoreAddr":%q,"zone":"laventille","kvCapacity":%d,"linkMbps":590000.0,"maxInflight":12,"managed":true,"first_ms":6.0},`+
		`{"name":"press-lm","healthPath":"/health","maxConns":290,"protocol":"h1","tls":false,"engine":{"slots":%d,"kvCapacity":%d,"tokenKvBytes":131072,`+
		`"linkMbps":260000.0,"moves":true,"backups":true,"managed":true,"stride":9,"maxInflight":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m0"}]}}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, store, storeTokens, engineSlots, engineTokens)
}

// staleDirectory checks the rule MIXED: no request takes memory from a store that is not whole there.
func staleDirectory(binary string, record *reviewkit.Record, trouble bool) (string, error) {
	c, err := reviewkit.Start(reviewkit.Config{Binary: binary, Record: record, Controls: 5, Gateways: 4, Tolerated: 2})
	if c != nil {
		defer c.Stop()
	}
	if err != nil {
		return "", err
	}
	store, err := reviewkit.NewStore(fmt.Sprintf("%s:%d", c.Addr(90), c.RunnerPort()))
	if err != nil {
		return "", err
	}
	defer store.Stop()
	var broken atomic.Int64
	var counts [4]atomic.Int64
	for i := range staleRunners {
		r := &reviewkit.Runner{
			ID: fmt.Sprintf("i-%d", i+1), Service: "press-lm", Slots: engineSlots,
			Models: []map[string]any{{"name": "m0", "version": 1, "adapters": []string{}}},
		}
		e := &engine{store: store, record: record, id: r.ID, broken: &broken, counts: &counts, recent: list.New(), parts: map[reviewkit.PartKey]*list.Element{}}
		if err := c.StartRunner(101+i, r, e); err != nil {
			return "", err
		}
		defer r.Close()
	}
	if err := c.Call("/v1/config/put", engineTable(store.Addr), 20*time.Second); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	var stop atomic.Bool
	var served, failed atomic.Int64
	var consumers sync.WaitGroup
	for i := range c.Gateways {
		rate := staleOthers
		if i == 0 {
			rate = staleRate
		}
		consumers.Go(func() { sendPrompts(c.Front(c.Gateways[i]), i, rate, &stop, &served, &failed) })
	}
	report := func(when string) {
		record.Logf("%s: %d served, %d failed; parts kept by the runner %d, fetched %d, missed %d, read %d; the store has %d parts; %d fetches of parts not whole",
			when, served.Load(), failed.Load(), counts[0].Load(), counts[1].Load(), counts[2].Load(), counts[3].Load(), store.Len(), broken.Load())
	}
	time.Sleep(staleWarm)
	report("warm")
	if counts[1].Load() == 0 {
		return "", fmt.Errorf("nothing was fetched from the store")
	}
	for range staleRounds {
		begin := time.Now()
		if trouble {
			c.Signal(c.Gateways[0], syscall.SIGSTOP)
			time.Sleep(time.Until(begin.Add(staleStoreAt)))
			record.Logf("the store restarts")
			store.Stop()
			time.Sleep(staleStoreDown)
			if err := store.Restart(); err != nil {
				return "", err
			}
			time.Sleep(time.Until(begin.Add(staleFreeze)))
			c.Signal(c.Gateways[0], syscall.SIGCONT)
		}
		time.Sleep(time.Until(begin.Add(staleRound)))
		report("after a round")
	}
	stop.Store(true)
	consumers.Wait()
	if n := broken.Load(); n > 0 {
		return fmt.Sprintf("MIXED: %d requests took memory from the store that was not whole there", n), nil
	}
	return "", nil
}

// sendPrompts sends requests to a gateway at a steady rate until stop is set.
func sendPrompts(front string, gateway, rate int, stop *atomic.Bool, served, failed *atomic.Int64) {
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for n := 0; !stop.Load(); n++ {
		<-ticker.C
		wg.Go(func() {
			ch, err := reviewkit.Dial(front)
			if err != nil {
				failed.Add(1)
				return
			}
			defer ch.Close()
			id := fmt.Sprintf("g%d-%d", gateway, n)
			result := ch.Do(reviewkit.Request{
				Method: "POST", Host: "press.example", Path: "/draft/a", ID: id, Body: "{}", Budget: 10 * time.Second,
				Headers: map[string]string{
					"X-Coltsfootstall-Model":         "m0",
					"X-Coltsfootstall-Token-Usage":   strconv.Itoa(stalePart+staleLast) + ",20",
					"X-Coltsfootstall-Prompt-Prefix": fmt.Sprintf("%08x:%d,%08x:%d", 4096+rand.IntN(staleParts), stalePart, rand.Uint32(), staleLast),
				},
			})
			if result.Err == nil && result.Status == http.StatusOK {
				served.Add(1)
			} else {
				failed.Add(1)
			}
		})
	}
	wg.Wait()
}
