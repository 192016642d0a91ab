//go:build review

package main

// A stand-in for the model runners of the platform, as far as the cases need one: it announces itself, streams
// answers, carries out orders for weights, and crashes over a part of a prompt.

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	header = "X-Coltsfootstall-"
	// beatPeriod is heartbeatMs.
	beatPeriod = 1200 * time.Millisecond
	model      = "m0"
)

// begun is a request that a runner has begun to work on.
type begun struct {
	id      string
	at      time.Time
	runner  string
	version uint64
	// used are the makers of the parts that were fetched for it.
	used []maker
}

// runner is one runner. Its process may end and start again at the same address.
type runner struct {
	c       *cluster
	name    string
	service string
	addr    string
	// tokens is the number of events of an answer, pause the time between two of them.
	tokens int
	pause  time.Duration
	// poison is a part of prompts over which the runner crashes.
	poison string
	// quiet is set if the case sends its heartbeats.
	quiet bool
	// models are the models that it runs, the common one if empty. store is the store that it fetches from and
	// saves to, nil for none.
	models []string
	store  *store
	// downFor is how long it is down after a crash, keepsID whether its next process has the same ID.
	downFor time.Duration
	keepsID bool
	// onBegun is called when it begins to run a request; onOrder decides how an order is carried out: true for
	// at once, false for unanswered and carried out late.
	onBegun func(b begun)
	onOrder func() bool

	mu       sync.Mutex
	server   *http.Server
	conns    map[net.Conn]bool
	id       string
	starts   int
	born     time.Time
	versions map[string]uint64
	busy     bool
	sequence uint64
	beats    int
	fence    uint64
	stopped  bool
	up       bool
}

// addRunner starts a runner and its heartbeats.
func (c *cluster) addRunner(r *runner) error {
	r.c, r.versions = c, map[string]uint64{}
	if len(r.models) == 0 {
		r.models = []string{model}
	}
	for _, m := range r.models {
		r.versions[m] = 1
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.addr = ln.Addr().String()
	r.boot(ln)
	c.mu.Lock()
	c.runners = append(c.runners, r)
	c.mu.Unlock()
	if !r.quiet {
		go r.beat()
	}
	return nil
}

// boot starts a process of the runner. It has the weights of the one before.
func (r *runner) boot(ln net.Listener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	if !r.keepsID || r.id == "" {
		r.id = fmt.Sprintf("i-%s-%d", r.name, r.starts)
	}
	r.born, r.beats, r.sequence, r.busy, r.fence = time.Now(), 0, 0, false, 0
	r.conns, r.up = map[net.Conn]bool{}, true
	conns := r.conns
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ConnState: func(nc net.Conn, state http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if state == http.StateClosed || state == http.StateHijacked {
			delete(conns, nc)
			return
		}
		conns[nc] = true
	}}
	server := r.server
	go func() { _ = server.Serve(ln) }()
}

// crash ends the process: its connections are reset and nothing listens at its address. It is back after downFor.
func (r *runner) crash(cause string) {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	server, conns, id := r.server, r.conns, r.id
	r.c.logf("crash %s over %s", id, cause)
	var open []net.Conn
	for nc := range conns {
		open = append(open, nc)
	}
	r.mu.Unlock()
	for _, nc := range open {
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = server.Close()
	time.AfterFunc(r.downFor, func() {
		ln, err := net.Listen("tcp", r.addr)
		r.mu.Lock()
		stopped := r.stopped
		r.mu.Unlock()
		if err != nil || stopped {
			if err == nil {
				_ = ln.Close()
			}
			return
		}
		r.boot(ln)
		r.sendBeat()
	})
}

func (r *runner) stop() {
	r.mu.Lock()
	r.stopped, r.up = true, false
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
}

func (r *runner) beat() {
	for {
		r.mu.Lock()
		stopped := r.stopped
		r.mu.Unlock()
		if stopped {
			return
		}
		r.sendBeat()
		time.Sleep(beatPeriod)
	}
}

func (r *runner) sendBeat() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	id, beat := r.id, r.nextBeat()
	r.mu.Unlock()
	_ = r.c.post("/v1/instances/"+id+"/heartbeat", beat, time.Now().Add(beatPeriod))
}

// nextBeat returns the body of the next heartbeat. The caller must hold the lock.
func (r *runner) nextBeat() map[string]any {
	r.beats++
	return map[string]any{
		"service": r.service, "address": r.addr, "zone": "z1", "version": "v1", "slots": 48, "state": "ready", "coldLeftMs": 0,
		"stage": "colocated", "models": r.listModels(), "sequence": r.beats, "born": r.born.UnixMilli(),
	}
}

func (r *runner) serve(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	id, version, up := r.id, r.versions[req.Header.Get(header+"Model")], r.up
	r.mu.Unlock()
	if !up {
		return
	}
	if want := req.Header.Get(header + "Expect-Instance"); want != "" && want != id {
		w.Header().Set(header+"Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/health":
		w.Header().Set(header+"Instance-Id", id)
	case "/v1/report":
		r.report(w)
	case "/v1/order":
		r.order(w, req)
	default:
		r.run(w, req, id, version)
	}
}

// run runs a request and streams its answer.
func (r *runner) run(w http.ResponseWriter, req *http.Request, id string, version uint64) {
	request := req.Header.Get(header + "Request-Id")
	w.Header().Set(header+"Request-Id", request)
	if request == "" {
		w.Header().Set(header+"Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := req.Header.Get(header + "Expect-Version"); want != "" && want != strconv.FormatUint(version, 10) {
		w.Header().Set(header+"Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b := begun{id: request, runner: id, version: version}
	if r.store != nil {
		b.used = r.store.transfer(req.Header, maker{model: req.Header.Get(header + "Model"), version: version})
	}
	time.Sleep(20 * time.Millisecond)
	b.at = time.Now()
	r.onBegun(b)
	if r.poison != "" && strings.Contains(req.Header.Get(header+"Prompt-Prefix"), r.poison+":") {
		r.crash("request " + request)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(header+"Server-Seal", "seal-"+id)
	w.Header().Set(header+"Weight-Versions", strconv.FormatUint(version, 10))
	flusher, _ := w.(http.Flusher)
	for i := range r.tokens {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i+1, request, i+1); err != nil {
			return
		}
		flusher.Flush()
		if i+1 == r.tokens {
			break
		}
		select {
		case <-req.Context().Done():
			return
		case <-time.After(r.pause):
		}
	}
}

// listModels returns the models with their versions. The caller must hold the lock.
func (r *runner) listModels() []any {
	var list []any
	for _, m := range r.models {
		list = append(list, map[string]any{"name": m, "version": r.versions[m], "adapters": []any{}})
	}
	return list
}

func (r *runner) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	writeJSON(w, map[string]any{
		"stage": "colocated", "models": r.listModels(), "busy": r.busy, "sequence": r.sequence, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 110016, "handles": 0,
	})
}

// loadTime is how long new weights take.
const loadTime = 270 * time.Millisecond

// order carries out an order to load weights, or leaves it unanswered and carries it out late.
func (r *runner) order(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Model      string  `json:"model"`
		Version    uint64  `json:"version"`
		FenceToken uint64  `json:"fenceToken"`
		Holder     string  `json:"holder"`
		Expected   *uint64 `json:"expected"`
	}
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	late := r.onOrder != nil && !r.onOrder()
	r.c.logf("order to %s: version %d of %s, fence %d, holder %s, late %t", r.name, o.Version, o.Model, o.FenceToken, o.Holder, late)
	if late {
		time.AfterFunc(lateBy, func() { r.accept(o.Model, o.Version, o.FenceToken, o.Expected) })
		<-req.Context().Done()
		return
	}
	w.WriteHeader(r.accept(o.Model, o.Version, o.FenceToken, o.Expected))
}

// lateBy is the longest time after which an order that got no answer is carried out.
const lateBy = 12 * time.Second

// accept begins to carry out an order and returns the status of its answer.
func (r *runner) accept(name string, version, fence uint64, expected *uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.up:
		return http.StatusServiceUnavailable
	case fence < r.fence:
		return http.StatusPreconditionFailed
	case r.versions[name] == version:
		return http.StatusOK
	case r.busy || expected != nil && *expected != r.sequence:
		return http.StatusConflict
	}
	r.fence, r.busy, r.sequence = fence, true, r.sequence+1
	born := r.born
	time.AfterFunc(loadTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.born.Equal(born) {
			r.versions[name], r.busy = version, false
			r.c.logf("%s has loaded version %d of %s", r.name, version, name)
		}
	})
	return http.StatusAccepted
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
