package coltsstandin

// A runner tracks its active requests, so that they can be cancelled by ID, and all requests
// that it has ever started, so that a test can check that a refused request did not run.

import (
	"context"
	"sync"
)

// activeRequests tracks requests by ID.
type activeRequests struct {
	mu sync.Mutex
	// cancel holds the requests that are active.
	cancel map[string]context.CancelFunc
	// started holds every request that was ever started.
	started map[string]bool
	// cancelled counts the requests that were cancelled before they completed.
	cancelled int
}

func (a *activeRequests) add(id string, cancel context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel[id] = cancel
	a.started[id] = true
}

func (a *activeRequests) remove(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.cancel, id)
}

// cancelRequest cancels an active request. An unknown ID is ignored.
func (a *activeRequests) cancelRequest(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancel, ok := a.cancel[id]; ok {
		a.cancelled++
		cancel()
	}
}

func (a *activeRequests) countCancelled() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cancelled
}
