//go:build review

package rig2

// A managed store of kept KV cache. It keeps a part as it was first made and drops nothing on its own.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Made says which request made a part.
type Made struct {
	Tenant  string
	Version int
}

// Cache is the KV cache of a runner or a store. The zero value is empty.
type Cache struct {
	// Model is named in events and lists.
	Model string

	mu     sync.Mutex
	parts  map[[2]string]Made
	events [][]any
}

// Find returns who made a part under a salt, and whether the cache has it.
func (c *Cache) Find(salt, part string) (Made, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	made, found := c.parts[[2]string{salt, part}]
	return made, found
}

// Add keeps a part unless the cache has it.
func (c *Cache) Add(salt, part string, made Made, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := [2]string{salt, part}
	if _, found := c.parts[key]; found {
		return
	}
	if c.parts == nil {
		c.parts = map[[2]string]Made{}
	}
	c.parts[key] = made
	c.events = append(c.events, []any{len(c.events) + 1, "+", salt, part, tokens, c.Model})
}

// Clear drops all parts, as a runner does when it loads weights.
func (c *Cache) Clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.parts)
}

// ServeStore answers the calls of control to a store.
func (c *Cache) ServeStore(w http.ResponseWriter, q *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := map[string]any{"bootEpoch": 77120, "clock_ms": float64(time.Now().UnixMicro()) / 1000}
	switch q.URL.Path {
	case "/v1/kv-list":
		held := [][]any{}
		for _, e := range c.events {
			held = append(held, e[2:])
		}
		reply["held"], reply["partial"] = held, []any{}
	case "/v1/kv-events":
		since := 0
		_, _ = fmt.Sscan(q.URL.Query().Get("since"), &since)
		if since > len(c.events) {
			c.mu.Unlock()
			time.Sleep(300 * time.Millisecond)
			c.mu.Lock()
		}
		events := [][]any{}
		for _, e := range c.events {
			if e[0].(int) >= since {
				events = append(events, e)
			}
		}
		reply["lost"], reply["events"] = false, events
		reply["clock_ms"] = float64(time.Now().UnixMicro()) / 1000
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply["next"] = len(c.events) + 1
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}
