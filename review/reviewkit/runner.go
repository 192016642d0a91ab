//go:build review

package reviewkit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Runner is a stand-in for a runner. Its handler serves the requests; heartbeats are sent to control.
type Runner struct {
	ID      string
	Service string
	Addr    string
	// Models is the value of the field "models" of its heartbeats, nil for a plain service.
	Models []map[string]any
	Slots  int

	cluster  *Cluster
	server   *http.Server
	born     int64
	mu       sync.Mutex
	state    string
	sequence int
	stop     chan struct{}
}

// StartRunner starts a runner on host n of the cluster's network.
func (c *Cluster) StartRunner(n int, r *Runner, handler http.Handler) error {
	r.Addr = fmt.Sprintf("%s:%d", c.Addr(n), c.RunnerPort())
	r.cluster, r.born, r.state, r.stop = c, time.Now().UnixMilli(), "ready", make(chan struct{})
	ln, err := net.Listen("tcp", r.Addr)
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if expected := req.Header.Get("X-Coltsfootstall-Expect-Instance"); expected != "" && expected != r.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		handler.ServeHTTP(w, req)
	})}
	go func() { _ = r.server.Serve(ln) }() // it ends when the runner is closed
	go r.beat()
	return nil
}

// Close ends the runner.
func (r *Runner) Close() {
	close(r.stop)
	_ = r.server.Close() // an error does not matter at the end
}

// beat sends heartbeats until the runner ends.
func (r *Runner) beat() {
	target := ""
	for attempt := 0; ; attempt++ {
		addr := target
		if addr == "" {
			addr = r.cluster.service(r.cluster.Controls[attempt%len(r.cluster.Controls)])
		}
		next, err := r.sendBeat(addr, r.Beat())
		wait := Heartbeat
		switch {
		case err != nil:
			target, wait = "", 100*time.Millisecond
		case next != "":
			target = next
		}
		select {
		case <-r.stop:
			return
		case <-time.After(wait):
		}
	}
}

// Beat returns the next heartbeat.
func (r *Runner) Beat() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	beat := map[string]any{
		"service": r.Service, "address": r.Addr, "zone": "laventille", "version": "v1", "slots": r.Slots,
		"state": r.state, "coldLeftMs": 0, "sequence": r.sequence, "born": r.born,
	}
	if r.Models != nil {
		beat["stage"], beat["models"] = "colocated", r.Models
	}
	return beat
}

func (r *Runner) sendBeat(addr string, beat map[string]any) (string, error) {
	text, err := json.Marshal(beat)
	if err != nil {
		return "", err
	}
	resp, err := client.Post("http://"+addr+"/v1/instances/"+r.ID+"/heartbeat", "application/json", bytes.NewReader(text))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return "", fmt.Errorf("status %d", resp.StatusCode)
	}
	var reply struct {
		HeartbeatAddr string `json:"heartbeatAddr"`
	}
	err = json.NewDecoder(resp.Body).Decode(&reply)
	return reply.HeartbeatAddr, err
}

// Seal is the header with which a runner marks its answers.
const Seal = "X-Coltsfootstall-Server-Seal"

// Answer sets the headers of an answer to a request that has run.
func Answer(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("X-Coltsfootstall-Request-Id", req.Header.Get("X-Coltsfootstall-Request-Id"))
	w.Header().Set(Seal, "seal-"+req.Header.Get("X-Coltsfootstall-Request-Id"))
}

// Drain reports that the runner is draining, serves for the time of drainMs and a little longer, says that it
// leaves, and ends.
func (r *Runner) Drain() {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	for attempt := range 20 {
		addr := r.cluster.service(r.cluster.Controls[attempt%len(r.cluster.Controls)])
		if _, err := r.sendBeat(addr, r.Beat()); err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(Drain + 1500*time.Millisecond)
	r.Leave()
	r.Close()
}

// Leave says that the runner leaves and reports whether a control machine acknowledged it.
func (r *Runner) Leave() bool {
	text := fmt.Sprintf(`{"born":%d}`, r.born)
	for attempt := range 20 {
		addr := r.cluster.service(r.cluster.Controls[attempt%len(r.cluster.Controls)])
		resp, err := client.Post("http://"+addr+"/v1/instances/"+r.ID+"/leave", "application/json", bytes.NewReader([]byte(text)))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode/100 == 2 {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
