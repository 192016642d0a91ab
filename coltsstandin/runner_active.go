package coltsstandin

// The requests that a runner is working on, so that they can be cancelled by name,
// and those that it has begun, so that a refusal can be checked.

import (
	"context"
	"sync"
)

// activeRequests are those that run, so that they can be cancelled by name.
type activeRequests struct {
	mu     sync.Mutex
	cancel map[string]context.CancelFunc
	// began holds every request that was begun.
	began map[string]bool
	// cancelled counts the requests that were cancelled before their end.
	cancelled int
}

func (a *activeRequests) add(id string, cancel context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel[id] = cancel
	a.began[id] = true
}

func (a *activeRequests) remove(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.cancel, id)
}

func (a *activeRequests) end(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancel, known := a.cancel[id]; known {
		a.cancelled++
		cancel()
	}
}

func (a *activeRequests) countCancelled() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cancelled
}
