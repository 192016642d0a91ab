package coltsattempt

// A retry budget that several instances share without coordination. Within a time window,
// the retries of a service are limited to a share of its requests plus a fixed number (the
// slack). Each instance applies the share to the requests that it sees itself and uses an
// equal part of the slack.

import (
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

const (
	// windowSlots is the number of time slots into which a window is divided.
	windowSlots = 10
	// budgetUseShare is the share of its budget that an instance uses. The rest is a margin,
	// because the window moves in steps of a slot and a change in the number of instances is
	// noticed late.
	budgetUseShare = 0.8
	// minWindow is the shortest window; the slots of a shorter one would have no length.
	minWindow = windowSlots * time.Millisecond
)

// RetryWindowConfig is the retry budget that all instances share.
type RetryWindowConfig struct {
	// Ratio is the number of retries allowed per request of a service.
	Ratio float64
	// Slack is the number of additional retries allowed per window, over all instances. It may
	// have a fraction.
	Slack float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
}

// RetryWindow counts requests and retries by service in a sliding window. It is safe for
// concurrent use.
type RetryWindow struct {
	cfg    RetryWindowConfig
	shards [coltsshard.Count]windowShard
}

type windowShard struct {
	mu    sync.Mutex
	rings map[coltsidentity.Service]*slotRing
}

// slotRing is a ring buffer of the slots of a window.
type slotRing struct {
	slots [windowSlots]struct{ requests, retries int }
	// newest is the number of the newest slot, counted from the Unix epoch.
	newest int64
}

// NewRetryWindow returns a window without requests or retries.
func NewRetryWindow(cfg RetryWindowConfig) *RetryWindow {
	cfg.Window = max(cfg.Window, minWindow)
	w := &RetryWindow{cfg: cfg}
	for i := range w.shards {
		w.shards[i].rings = map[coltsidentity.Service]*slotRing{}
	}
	return w
}

// CountRequest counts a request to a service.
func (w *RetryWindow) CountRequest(service coltsidentity.Service, now time.Time) {
	s := &w.shards[coltsshard.Of(service)]
	s.mu.Lock()
	defer s.mu.Unlock()
	r := w.ringLocked(s, service, now)
	r.slots[r.newest%windowSlots].requests++
}

// TakeRetry counts a retry for a service if the budget allows one, and reports whether it does.
// instances is the number of instances that share the budget.
func (w *RetryWindow) TakeRetry(service coltsidentity.Service, instances int, now time.Time) bool {
	s := &w.shards[coltsshard.Of(service)]
	s.mu.Lock()
	defer s.mu.Unlock()
	r := w.ringLocked(s, service, now)
	requests, retries := 0, 0
	for _, slot := range r.slots {
		requests += slot.requests
		retries += slot.retries
	}
	slack := w.cfg.Slack / float64(max(1, instances))
	if float64(retries+1) > budgetUseShare*(w.cfg.Ratio*float64(requests)+slack) {
		return false
	}
	r.slots[r.newest%windowSlots].retries++
	return true
}

// ringLocked returns the slots of a service after advancing them to now and clearing those
// that have left the window.
func (w *RetryWindow) ringLocked(s *windowShard, service coltsidentity.Service, now time.Time) *slotRing {
	slot := now.UnixNano() / int64(w.cfg.Window/windowSlots)
	r, found := s.rings[service]
	if !found {
		r = &slotRing{newest: slot}
		s.rings[service] = r
	}
	if slot-r.newest >= windowSlots || slot < r.newest {
		*r = slotRing{newest: slot}
	}
	for r.newest < slot {
		r.newest++
		r.slots[r.newest%windowSlots] = struct{ requests, retries int }{}
	}
	return r
}
