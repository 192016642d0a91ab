package coltsloop

// A signal wakes whoever waits for a change, without polling and without knowing
// how many wait.

import "sync"

// Signal is fired any number of times; each firing wakes those that wait.
type Signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// NewSignal returns a signal that was not fired yet.
func NewSignal() *Signal {
	return &Signal{ch: make(chan struct{})}
}

// Channel returns a channel that is closed at the next firing. It must be called
// before the condition is checked, or a firing in between is missed.
func (s *Signal) Channel() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ch
}

// Broadcast wakes those that wait.
func (s *Signal) Broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ch)
	s.ch = make(chan struct{})
}
