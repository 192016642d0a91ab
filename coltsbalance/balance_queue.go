package coltsbalance

// A request that finds no room waits here rather than at a runner, where it would push
// out kept parts and hold up what came behind it. Those that can still be on time go
// first, in the order of rank and arrival: if all waited in one line through a crest, all
// would be late. Those that can't any more are served when no other waits.

import (
	"slices"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

// Queue holds the requests that wait for room, in shards by service. It may be used
// concurrently.
type Queue struct {
	shards [coltsshard.Count]queueShard
}

type queueShard struct {
	mu sync.Mutex
	// waiting stand in the order of their arrival.
	waiting map[coltsidentity.Service][]*Ticket
}

// Ticket is a place in the queue.
type Ticket struct {
	service coltsidentity.Service
	rank    int
	// onTimeUntil is until when the request can still be on time.
	onTimeUntil time.Time
}

// before says whether a ticket goes before one that arrived before it.
func (t *Ticket) before(other *Ticket, now time.Time) bool {
	late, otherLate := !now.Before(t.onTimeUntil), !now.Before(other.onTimeUntil)
	if late != otherLate {
		return otherLate
	}
	return t.rank < other.rank
}

// NewQueue returns a queue in which nobody waits.
func NewQueue() *Queue {
	q := &Queue{}
	for i := range q.shards {
		q.shards[i].waiting = map[coltsidentity.Service][]*Ticket{}
	}
	return q
}

// Join takes a place. onTimeUntil is until when the request can still be on time if it is
// sent.
func (q *Queue) Join(service coltsidentity.Service, rank int, onTimeUntil time.Time) *Ticket {
	t := &Ticket{service: service, rank: rank, onTimeUntil: onTimeUntil}
	s := &q.shards[coltsshard.Of(service)]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[service] = append(s.waiting[service], t)
	return t
}

// IsFirst says whether a ticket's request is the one to be sent next.
func (q *Queue) IsFirst(t *Ticket, now time.Time) bool {
	s := &q.shards[coltsshard.Of(t.service)]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.firstLocked(t.service, now) == t
}

func (s *queueShard) firstLocked(service coltsidentity.Service, now time.Time) *Ticket {
	var first *Ticket
	for _, t := range s.waiting[service] {
		if first == nil || t.before(first, now) {
			first = t
		}
	}
	return first
}

// Waits says whether a request that comes now and can be on time has to wait behind
// another.
func (q *Queue) Waits(service coltsidentity.Service, rank int, now time.Time) bool {
	s := &q.shards[coltsshard.Of(service)]
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.firstLocked(service, now)
	return first != nil && now.Before(first.onTimeUntil) && first.rank <= rank
}

// Leave gives a place up.
func (q *Queue) Leave(t *Ticket) {
	s := &q.shards[coltsshard.Of(t.service)]
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := s.waiting[t.service]
	if at := slices.Index(waiting, t); at >= 0 {
		s.waiting[t.service] = slices.Delete(waiting, at, at+1)
	}
}

// Len returns the number of requests that wait for a service.
func (q *Queue) Len(service coltsidentity.Service) int {
	s := &q.shards[coltsshard.Of(service)]
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting[service])
}
