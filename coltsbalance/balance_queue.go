package coltsbalance

// Requests that find no room are queued here rather than at a model runner, where they
// would evict cached prompt parts and delay the requests behind them. Requests that can
// still meet their goal are served first, by priority and then by arrival: in a single
// first-in, first-out queue all of them would be late during a load peak. Requests that can
// no longer meet it are served only when no others are queued.

import (
	"slices"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

// Queue holds the requests that wait for room at an upstream, in shards by service. It is
// safe for concurrent use.
type Queue struct {
	shards [coltsshard.Count]queueShard
}

type queueShard struct {
	mu sync.Mutex
	// waiting holds the tickets of each service in order of arrival.
	waiting map[coltsidentity.Service][]*Ticket
}

// Ticket is the place of one request in the queue.
type Ticket struct {
	service coltsidentity.Service
	// priority is the request's priority; 0 is the highest.
	priority int
	// dispatchDeadline is the latest time at which the request can be sent and still meet
	// its goal.
	dispatchDeadline time.Time
}

// before reports whether t is served before other, which arrived earlier than t.
func (t *Ticket) before(other *Ticket, now time.Time) bool {
	isLate, otherIsLate := !now.Before(t.dispatchDeadline), !now.Before(other.dispatchDeadline)
	if isLate != otherIsLate {
		return otherIsLate
	}
	return t.priority < other.priority
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	q := &Queue{}
	for i := range q.shards {
		q.shards[i].waiting = map[coltsidentity.Service][]*Ticket{}
	}
	return q
}

// Join adds a request to the queue of a service. Priority 0 is the highest.
// dispatchDeadline is the latest time at which the request can be sent and still meet its
// goal.
func (q *Queue) Join(service coltsidentity.Service, priority int, dispatchDeadline time.Time) *Ticket {
	t := &Ticket{service: service, priority: priority, dispatchDeadline: dispatchDeadline}
	s := &q.shards[coltsshard.Of(service)]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[service] = append(s.waiting[service], t)
	return t
}

// IsFirst reports whether a ticket's request is the next one to be sent.
func (q *Queue) IsFirst(t *Ticket, now time.Time) bool {
	s := &q.shards[coltsshard.Of(t.service)]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nextLocked(t.service, now) == t
}

// nextLocked returns the ticket of the next request to be sent; nil if none is queued.
func (s *queueShard) nextLocked(service coltsidentity.Service, now time.Time) *Ticket {
	var next *Ticket
	for _, t := range s.waiting[service] {
		if next == nil || t.before(next, now) {
			next = t
		}
	}
	return next
}

// MustWait reports whether a new request that can meet its goal has to wait behind a queued
// one.
func (q *Queue) MustWait(service coltsidentity.Service, priority int, now time.Time) bool {
	s := &q.shards[coltsshard.Of(service)]
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.nextLocked(service, now)
	return next != nil && now.Before(next.dispatchDeadline) && next.priority <= priority
}

// Leave removes a ticket. It does nothing if the ticket is not in the queue.
func (q *Queue) Leave(t *Ticket) {
	s := &q.shards[coltsshard.Of(t.service)]
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := s.waiting[t.service]
	if i := slices.Index(waiting, t); i >= 0 {
		s.waiting[t.service] = slices.Delete(waiting, i, i+1)
	}
}

// Len returns the number of requests queued for a service.
func (q *Queue) Len(service coltsidentity.Service) int {
	s := &q.shards[coltsshard.Of(service)]
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting[service])
}
