package coltscontrol

// A signal wakes whoever waits for a change, without polling and without knowing
// how many wait.

import "sync"

// signal is fired any number of times; each firing wakes those that wait.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

func newSignal() *signal {
	return &signal{ch: make(chan struct{})}
}

// wait returns a channel that is closed at the next firing. It must be called
// before the condition is checked, or a firing in between is missed.
func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ch
}

// fire wakes those that wait.
func (s *signal) fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ch)
	s.ch = make(chan struct{})
}
