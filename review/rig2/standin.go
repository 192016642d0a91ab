//go:build review

package rig2

// Stand-ins of the platform: a runner that answers the requests of gateways and reports to control, an
// operator, and consumers. They follow PROTOCOL.md; where it is silent, they behave as sound ones.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	beatEvery   = 1200 * time.Millisecond
	callTimeout = time.Second
)

// Runner is a runner. Serve handles the requests that are meant for it.
type Runner struct {
	ID, Service, Zone, Addr string
	Slots                   int
	Model                   string
	// OnLoad is called when it has loaded weights, before it serves with them; nil for nothing.
	OnLoad func()
	Serve  http.HandlerFunc

	rig      *Rig
	born     int64
	mu       sync.Mutex
	state    string
	sequence int
	// version is that of its weights, loading is set while it loads others, orders counts those accepted.
	version int
	loading bool
	orders  int
	fence   int
	target  string
	server  *http.Server
	stop    context.CancelFunc
}

// StartRunner starts a runner's server and its heartbeats.
func (r *Rig) StartRunner(n *Runner) error {
	n.rig, n.born, n.state, n.version = r, time.Now().UnixMilli(), "ready", 1
	l, err := net.Listen("tcp", n.Addr)
	if err != nil {
		return err
	}
	n.Addr = l.Addr().String()
	n.server = &http.Server{Handler: http.HandlerFunc(n.handle)}
	go func() { _ = n.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go n.beat(ctx)
	return nil
}

func (n *Runner) handle(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("X-Coltsfootstall-Instance-Id", n.ID)
	if id := q.Header.Get("X-Coltsfootstall-Request-Id"); id != "" {
		w.Header().Set("X-Coltsfootstall-Request-Id", id)
	}
	if want := q.Header.Get("X-Coltsfootstall-Expect-Instance"); want != "" && want != n.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/health":
	case "/v1/report":
		w.Header().Set("Content-Type", "application/json")
		n.mu.Lock()
		defer n.mu.Unlock()
		fmt.Fprintf(w, `{"stage":"colocated","models":[{"name":%q,"version":%d,"adapters":[]}],"busy":%v,"sequence":%d,`+
			`"queued":0,"running":0,"kvUsed":0,"kvTotal":110016,"handles":0}`, n.Model, n.version, n.loading, n.orders)
	case "/v1/order":
		n.order(w, q)
	default:
		n.mu.Lock()
		loading, version := n.loading, n.version
		n.mu.Unlock()
		want := q.Header.Get("X-Coltsfootstall-Expect-Version")
		switch {
		case want != "" && want != strconv.Itoa(version):
			w.WriteHeader(http.StatusMisdirectedRequest)
		case loading:
			w.Header().Set("X-Coltsfootstall-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			n.Serve(w, q)
		}
	}
}

// loadTime is how long the runner takes to load weights.
const loadTime = 270 * time.Millisecond

// Version returns the version of the weights that the runner has.
func (n *Runner) Version() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version
}

// order carries out an order to load weights.
func (n *Runner) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Version, FenceToken int
		Expected            *int
	}
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case o.FenceToken < n.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case n.loading || o.Expected != nil && *o.Expected != n.orders:
		w.WriteHeader(http.StatusConflict)
		return
	case o.Version == n.version:
		w.WriteHeader(http.StatusOK)
		return
	}
	n.fence, n.loading = o.FenceToken, true
	n.orders++
	n.rig.Note("%s is ordered to load version %d", n.ID, o.Version)
	time.AfterFunc(loadTime, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.OnLoad != nil {
			n.OnLoad()
		}
		n.version, n.loading = o.Version, false
		n.rig.Note("%s has version %d", n.ID, o.Version)
	})
	w.WriteHeader(http.StatusAccepted)
}

// heartbeat returns the next heartbeat. If own is false it is one of another writer, which repeats the
// runner's newest one without the field models.
func (n *Runner) heartbeat(own bool) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	if own {
		n.sequence++
	}
	body := map[string]any{
		"service": n.Service, "address": n.Addr, "zone": n.Zone, "version": "v1", "slots": n.Slots, "state": n.state,
		"coldLeftMs": 0, "sequence": n.sequence, "born": n.born,
	}
	if n.Model != "" && own {
		body["stage"] = "colocated"
		body["models"] = []any{map[string]any{"name": n.Model, "version": n.version, "adapters": []any{}}}
	}
	text, _ := json.Marshal(body)
	return text
}

// WriteWithoutModels sends a heartbeat of another writer, without the field models, to a control instance.
func (n *Runner) WriteWithoutModels(service string) error {
	status, _, err := n.rig.Call(http.MethodPost, service, "/v1/instances/"+n.ID+"/heartbeat", n.heartbeat(false), callTimeout)
	n.rig.Note("another writer sends a heartbeat of %s without models: %d", n.ID, status)
	return err
}

// beat reports to control until ctx ends.
func (n *Runner) beat(ctx context.Context) {
	client := &http.Client{Timeout: callTimeout}
	for i := 0; ctx.Err() == nil; i++ {
		text := n.heartbeat(true)
		target := n.target
		if target == "" {
			services := n.rig.Services()
			target = services[i%len(services)]
		}
		if n.report(ctx, client, target, text) {
			select {
			case <-ctx.Done():
			case <-time.After(beatEvery):
			}
			continue
		}
		n.target = ""
		time.Sleep(50 * time.Millisecond)
	}
}

func (n *Runner) report(ctx context.Context, client *http.Client, target string, text []byte) bool {
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/v1/instances/"+n.ID+"/heartbeat", bytes.NewReader(text))
	q.Header.Set("Content-Type", "application/json")
	p, err := client.Do(q)
	if err != nil {
		return false
	}
	defer p.Body.Close()
	var reply struct {
		HeartbeatAddr string `json:"heartbeatAddr"`
	}
	if p.StatusCode/100 != 2 || json.NewDecoder(io.LimitReader(p.Body, 4096)).Decode(&reply) != nil {
		return false
	}
	n.target = reply.HeartbeatAddr
	return true
}

// Leader returns the address that control has named for later heartbeats.
func (n *Runner) Leader() string { return n.target }

// Operator sends an order to the control instances in the given order, one second each with a new
// connection, until one confirms it, and returns which one did.
func (r *Rig) Operator(what, method, path string, body []byte, nodes []string, limit time.Duration) (string, error) {
	until := time.Now().Add(limit)
	pause := 100 * time.Millisecond
	for i := 0; time.Now().Before(until); i++ {
		node := nodes[i%len(nodes)]
		status, _, err := r.Call(method, node, path, body, callTimeout)
		if err != nil {
			r.Note("operator: %s to %s: no answer: %v", what, node, err)
		} else {
			r.Note("operator: %s to %s: %d", what, node, status)
		}
		switch {
		case err == nil && status/100 == 2:
			return node, nil
		case err == nil && status/100 == 4 && status != 408 && status != 429:
			return "", fmt.Errorf("%s was refused with %d", what, status)
		}
		time.Sleep(pause)
		pause *= 2
	}
	return "", fmt.Errorf("%s was not confirmed within %s", what, limit)
}

// Call makes one call with a connection of its own.
func (r *Rig) Call(method, addr, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Timeout: timeout, Transport: transport}
	q, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		q.Header.Set("Content-Type", "application/json")
	}
	p, err := client.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer p.Body.Close()
	text, err := io.ReadAll(p.Body)
	return p.StatusCode, text, err
}

// AwaitReady waits until a gateway reports itself ready.
func (r *Rig) AwaitReady(gateway int, limit time.Duration) error {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		if status, _, err := r.Call(http.MethodGet, r.Ready(gateway), "/v1/ready", nil, callTimeout); err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("gateway %d is not ready after %s", gateway, limit)
}
