//go:build review

package main

// Consumers and the operator's config.

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// config is a small config: one service of model runners and one streaming route to it.
func config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-chat", "host": "desk.example", "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 8000, "goalMs": 300,
			"priority": 1, "service": "lm", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapGoalMs": 300,
		}},
		"services": []any{map[string]any{
			"name": "lm", "healthPath": "/health", "maxConns": 310, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 48, "kvCapacity": 110016, "tokenKvBytes": 131072, "linkMbps": 260000.0, "moves": true, "backups": true,
				"managed": true, "stride": 9, "maxInflight": 12, "models": []any{map[string]any{"name": model}},
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{
			map[string]any{"name": "depot", "apiKeys": []any{"key-of-depot"}, "priority": 1},
			map[string]any{"name": "harbour", "apiKeys": []any{"key-of-harbour"}, "priority": 1},
		},
	}
}

// prompt is a request of a consumer.
type prompt struct {
	path   string
	parts  string
	body   string
	tokens string
	// key is the consumer's, empty for that of the depot, and model the model, empty for the common one.
	key   string
	model string
}

// answer is what a consumer saw.
type answer struct {
	id     string
	sentAt time.Time
	status int
	whole  bool
	retry  string
	err    error
}

var requests atomic.Int64

// newID returns the ID of a consumer attempt.
func newID(kind string) string { return fmt.Sprintf("%s-%06d", kind, requests.Add(1)) }

// send sends a request on a new channel and reads the answer.
func (c *cluster) send(id string, to *process, p prompt) answer {
	a := answer{id: id, sentAt: time.Now()}
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", to.ip, c.frontPort, p.path), bytes.NewReader([]byte(p.body)))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "desk.example"
	req.Close = true
	for name, value := range map[string]string{
		header + "Request-Id": id, header + "Model": cmp.Or(p.model, model), header + "Token-Usage": p.tokens,
		header + "Prompt-Prefix": p.parts, header + "Deadline-Ms": "8000", "Authorization": "Bearer " + cmp.Or(p.key, "key-of-depot"),
	} {
		req.Header.Set(name, value)
	}
	client := http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.retry = resp.StatusCode, resp.Header.Get("Retry-After")
	_, a.err = io.Copy(io.Discard, resp.Body)
	a.whole = a.err == nil && a.status == http.StatusOK
	return a
}
