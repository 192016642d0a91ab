//go:build review

package reviewkit

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// eventLag is how late a store tells its events.
const eventLag = 60 * time.Millisecond

// PartKey names a part of a prompt that is kept.
type PartKey struct{ Salt, ID string }

// Store is a stand-in for a managed store of kept KV cache.
type Store struct {
	Addr string

	mu     sync.Mutex
	server *http.Server
	epoch  uint64
	events []storeEvent
	// held has the tokens of complete parts, partial those of parts that are being written.
	held    map[PartKey]int
	partial map[PartKey]int
}

type storeEvent struct {
	row []any
	at  time.Time
}

// NewStore starts a store.
func NewStore(addr string) (*Store, error) {
	s := &Store{Addr: addr}
	return s, s.Restart()
}

// Restart ends the store's process, if one runs, and starts another: it holds nothing.
func (s *Store) Restart() error {
	s.Stop()
	ln, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-events", s.serveEvents)
	mux.HandleFunc("GET /v1/kv-list", s.serveList)
	mux.HandleFunc("POST /v1/kv-free", s.serveFree)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = uint64(time.Now().UnixMilli())
	s.events, s.held, s.partial = nil, map[PartKey]int{}, map[PartKey]int{}
	s.server = &http.Server{Handler: mux}
	go func(server *http.Server) { _ = server.Serve(ln) }(s.server) // it ends when the store is stopped
	return nil
}

// Stop ends the store's process.
func (s *Store) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		_ = s.server.Close() // an error does not matter
	}
}

// Epoch returns the boot epoch of the running process.
func (s *Store) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// Reserve begins to write a part, and reports whether the store takes it.
func (s *Store) Reserve(key PartKey, tokens int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held[key] > 0 || s.partial[key] > 0 {
		return false
	}
	s.partial[key] = tokens
	return true
}

// Complete ends the writing of a part that was begun in the process with this epoch.
func (s *Store) Complete(key PartKey, epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens, writing := s.partial[key]
	if !writing || s.epoch != epoch {
		return
	}
	delete(s.partial, key)
	s.held[key] = tokens
	s.events = append(s.events, storeEvent{row: []any{len(s.events) + 1, "+", key.Salt, key.ID, tokens, "m0"}, at: time.Now()})
}

// Content reports whether the store holds a part completely, or is having it written.
func (s *Store) Content(key PartKey) (held, writing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[key] > 0, s.partial[key] > 0
}

// Len returns the number of complete parts.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held)
}

// serveEvents answers as soon as there is an event that is told, or after the time that the caller waits.
func (s *Store) serveEvents(w http.ResponseWriter, req *http.Request) {
	since, _ := strconv.Atoi(req.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(req.Header.Get("Wait-Ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := [][]any{}
		for _, e := range s.events[min(since, len(s.events)):] {
			if time.Since(e.at) >= eventLag {
				rows = append(rows, e.row)
			}
		}
		epoch := s.epoch
		s.mu.Unlock()
		if len(rows) > 0 || !time.Now().Before(deadline) {
			writeJSON(w, map[string]any{
				"bootEpoch": epoch, "next": since + len(rows), "lost": false, "events": rows, "clock_ms": time.Now().UnixMilli(),
			})
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *Store) serveList(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, partial := [][]any{}, [][]any{}
	for key, tokens := range s.held {
		held = append(held, []any{key.Salt, key.ID, tokens, "m0"})
	}
	for key, tokens := range s.partial {
		partial = append(partial, []any{key.Salt, key.ID, 0, tokens})
	}
	writeJSON(w, map[string]any{
		"bootEpoch": s.epoch, "next": len(s.events), "held": held, "partial": partial, "clock_ms": time.Now().UnixMilli(),
	})
}

func (s *Store) serveFree(w http.ResponseWriter, req *http.Request) {
	var order struct {
		Parts     [][2]string `json:"parts"`
		BootEpoch uint64      `json:"bootEpoch"`
	}
	if err := json.NewDecoder(req.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if order.BootEpoch != s.epoch {
		w.WriteHeader(http.StatusConflict)
		return
	}
	for _, part := range order.Parts {
		key := PartKey{Salt: part[0], ID: part[1]}
		delete(s.held, key)
		delete(s.partial, key)
		s.events = append(s.events, storeEvent{row: []any{len(s.events) + 1, "-", key.Salt, key.ID, 0, "m0"}, at: time.Now()})
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // an error means that the caller has left
}
