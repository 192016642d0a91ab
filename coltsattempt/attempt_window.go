package coltsattempt

// Several instances share a budget of retries that nobody hands out: in any window,
// a service may get a share of its requests more, and a fixed number besides. Each
// instance keeps to that share of the requests that it sees itself, and to its part of
// the fixed number.

import (
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

const (
	// windowSlots is the number of slots that a window is counted in.
	windowSlots = 10
	// windowMargin is the part of the budget that is used: counts are kept by slot,
	// and the number of instances is known a moment late.
	windowMargin = 0.8
)

// WindowConfig is the budget that all instances share.
type WindowConfig struct {
	// Ratio is the share of a service's requests that may be retries.
	Ratio float64
	// Slack is the number of retries allowed besides.
	Slack int
	// Window is the span over which both are counted.
	Window time.Duration
}

// RetryWindow counts requests and retries by service. It may be used concurrently.
type RetryWindow struct {
	cfg    WindowConfig
	shards [coltsshard.Count]windowShard
}

type windowShard struct {
	mu     sync.Mutex
	counts map[coltsidentity.Service]*windowCounts
}

// windowCounts is a ring of slots.
type windowCounts struct {
	slots [windowSlots]struct{ requests, retries int }
	at    int64
}

// NewWindow returns a budget of which nothing is used.
func NewWindow(cfg WindowConfig) *RetryWindow {
	w := &RetryWindow{cfg: cfg}
	for i := range w.shards {
		w.shards[i].counts = map[coltsidentity.Service]*windowCounts{}
	}
	return w
}

// CountRequest counts a request for a service.
func (w *RetryWindow) CountRequest(service coltsidentity.Service, now time.Time) {
	s := &w.shards[coltsshard.Of(service)]
	s.mu.Lock()
	defer s.mu.Unlock()
	c := w.countsLocked(s, service, now)
	c.slots[c.at%windowSlots].requests++
}

// Retry takes one retry for a service and says whether the budget holds it. instances
// is the number of those that share the budget.
func (w *RetryWindow) Retry(service coltsidentity.Service, instances int, now time.Time) bool {
	s := &w.shards[coltsshard.Of(service)]
	s.mu.Lock()
	defer s.mu.Unlock()
	c := w.countsLocked(s, service, now)
	requests, retries := 0, 0
	for _, slot := range c.slots {
		requests += slot.requests
		retries += slot.retries
	}
	slack := float64(w.cfg.Slack) / float64(max(1, instances))
	if float64(retries+1) > windowMargin*(w.cfg.Ratio*float64(requests)+slack) {
		return false
	}
	c.slots[c.at%windowSlots].retries++
	return true
}

// countsLocked returns a service's counts with the slots that have passed emptied.
func (w *RetryWindow) countsLocked(s *windowShard, service coltsidentity.Service, now time.Time) *windowCounts {
	at := now.UnixNano() / int64(w.cfg.Window/windowSlots)
	c, known := s.counts[service]
	if !known {
		c = &windowCounts{at: at}
		s.counts[service] = c
	}
	if at-c.at >= windowSlots || at < c.at {
		*c = windowCounts{at: at}
	}
	for c.at < at {
		c.at++
		c.slots[c.at%windowSlots] = struct{ requests, retries int }{}
	}
	return c
}
