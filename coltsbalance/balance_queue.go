package coltsbalance

// A request that finds no room waits here rather than at a runner, where it would push
// out kept parts and hold up what came behind it. Who waits is served in the order of
// rank and arrival, so that a long prompt is not overtaken for ever by short ones.

import (
	"slices"
	"sync"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

// Queue holds the requests that wait for room, in shards by service. It may be used
// concurrently.
type Queue struct {
	shards [coltsshard.Count]queueShard
}

type queueShard struct {
	mu      sync.Mutex
	waiting map[coltsidentity.Service][]*Ticket
}

// Ticket is a place in the queue.
type Ticket struct {
	service coltsidentity.Service
	rank    int
	turn    chan struct{}
}

// Turn is closed when the ticket is the first of its service.
func (t *Ticket) Turn() <-chan struct{} { return t.turn }

// NewQueue returns a queue in which nobody waits.
func NewQueue() *Queue {
	q := &Queue{}
	for i := range q.shards {
		q.shards[i].waiting = map[coltsidentity.Service][]*Ticket{}
	}
	return q
}

// Waits says whether a request of a rank would have to wait behind another.
func (q *Queue) Waits(service coltsidentity.Service, rank int) bool {
	s := &q.shards[coltsshard.Of(service)]
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := s.waiting[service]
	return len(waiting) > 0 && waiting[0].rank <= rank
}

// Join takes a place behind all of the same or a better rank.
func (q *Queue) Join(service coltsidentity.Service, rank int) *Ticket {
	t := &Ticket{service: service, rank: rank, turn: make(chan struct{})}
	s := &q.shards[coltsshard.Of(service)]
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := s.waiting[service]
	// The first has had its turn and keeps it.
	at := min(1, len(waiting))
	for at < len(waiting) && waiting[at].rank <= rank {
		at++
	}
	s.waiting[service] = slices.Insert(waiting, at, t)
	if at == 0 {
		close(t.turn)
	}
	return t
}

// Leave gives a place up; the next one gets its turn.
func (q *Queue) Leave(t *Ticket) {
	s := &q.shards[coltsshard.Of(t.service)]
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := s.waiting[t.service]
	at := slices.Index(waiting, t)
	if at < 0 {
		return
	}
	waiting = slices.Delete(waiting, at, at+1)
	s.waiting[t.service] = waiting
	if at == 0 && len(waiting) > 0 {
		close(waiting[0].turn)
	}
}

// Len returns the number of requests that wait for a service.
func (q *Queue) Len(service coltsidentity.Service) int {
	s := &q.shards[coltsshard.Of(service)]
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting[service])
}
