//go:build review

package main

// A stand-in for a managed store of kept KV cache, and what a runner does with it.

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maker is the model, and the version of its weights, under which a part was made.
type maker struct {
	model   string
	version uint64
}

// storedKey is how a store identifies a part.
type storedKey struct{ salt, id string }

type storedPart struct {
	tokens int
	made   maker
}

// store is a managed store.
type store struct {
	c    *cluster
	addr string

	mu     sync.Mutex
	parts  map[storedKey]storedPart
	events []any
}

// bootEpoch is the store's only one.
const bootEpoch = 77120

func (c *cluster) startStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{c: c, addr: ln.Addr().String(), parts: map[storedKey]storedPart{}}
	go func() { _ = http.Serve(ln, http.HandlerFunc(s.serve)) }()
	return s, nil
}

func clockMs() float64 { return float64(time.Now().UnixMicro()) / 1000 }

func (s *store) serve(w http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/v1/kv-events":
		since, _ := strconv.Atoi(req.URL.Query().Get("since"))
		wait, _ := strconv.Atoi(req.Header.Get("Wait-Ms"))
		deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
		for {
			s.mu.Lock()
			if since < len(s.events) || !time.Now().Before(deadline) {
				break
			}
			s.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
		}
		defer s.mu.Unlock()
		writeJSON(w, map[string]any{
			"bootEpoch": bootEpoch, "next": len(s.events), "lost": false, "events": s.events[min(since, len(s.events)):], "clock_ms": clockMs(),
		})
	case "/v1/kv-list":
		s.mu.Lock()
		defer s.mu.Unlock()
		held := []any{}
		for key, part := range s.parts {
			held = append(held, []any{key.salt, key.id, part.tokens, part.made.model})
		}
		writeJSON(w, map[string]any{
			"bootEpoch": bootEpoch, "next": len(s.events), "held": held, "partial": []any{}, "clock_ms": clockMs(),
		})
	case "/v1/kv-free":
		s.free(w, req)
	case "/v1/report":
		writeJSON(w, map[string]any{"kvUsed": 0, "kvTotal": 1490096, "bootEpoch": bootEpoch, "clock_ms": clockMs()})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) free(w http.ResponseWriter, req *http.Request) {
	var order struct {
		Parts     [][2]string `json:"parts"`
		BootEpoch uint64      `json:"bootEpoch"`
		UntilMs   float64     `json:"until_ms"`
	}
	err := json.NewDecoder(req.Body).Decode(&order)
	if err != nil || order.BootEpoch != bootEpoch || order.UntilMs > 0 && order.UntilMs < clockMs() {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range order.Parts {
		key := storedKey{p[0], p[1]}
		if part, held := s.parts[key]; held {
			delete(s.parts, key)
			s.events = append(s.events, []any{len(s.events) + 1, "-", key.salt, key.id, 0, part.made.model})
			s.c.logf("the store frees %s under %q", key.id, key.salt)
		}
	}
}

// transfer does what a runner does with the store before it begins a request: it fetches the parts that the store
// holds, and saves others that it has read. A part that the store holds stays as it was first made. It returns the
// makers of the parts that were fetched.
func (s *store) transfer(h http.Header, by maker) []maker {
	salt := h.Get(header + "Cache-Salt")
	fetch, save := strings.Split(h.Get(header+"Kv-Fetch"), ","), strings.Split(h.Get(header+"Kv-Save"), ",")
	until, _ := strconv.ParseFloat(h.Get(header+"Kv-Until"), 64)
	var used []maker
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, part := range strings.Split(h.Get(header+"Prompt-Prefix"), ",") {
		id, count, _ := strings.Cut(part, ":")
		key := storedKey{salt, id}
		held, isHeld := s.parts[key]
		if i < len(fetch) && strings.HasPrefix(fetch[i], s.addr) && isHeld && (until == 0 || until > clockMs()) {
			used = append(used, held.made)
			continue
		}
		if i < len(save) && strings.HasPrefix(save[i], s.addr) && !isHeld {
			tokens, _ := strconv.Atoi(count)
			s.parts[key] = storedPart{tokens: tokens, made: by}
			s.events = append(s.events, []any{len(s.events) + 1, "+", salt, id, tokens, by.model})
			s.c.logf("the store holds %s under %q, made by version %d of %s", id, salt, by.version, by.model)
		}
	}
	return slices.Clip(used)
}
