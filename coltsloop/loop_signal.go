package coltsloop

// A signal wakes all goroutines that wait for a change, without polling.

import "sync"

// Signal can be fired any number of times; each firing wakes all current waiters.
type Signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// NewSignal returns a signal that has not been fired.
func NewSignal() *Signal {
	return &Signal{ch: make(chan struct{})}
}

// Channel returns a channel that is closed at the next firing. It must be called before the
// condition is checked, or a firing in between is missed.
func (s *Signal) Channel() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ch
}

// Broadcast wakes all current waiters.
func (s *Signal) Broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ch)
	s.ch = make(chan struct{})
}
