package coltstrade

// The scheduler of a discrete-event simulation. Events run in the order of their times, and
// events at the same time in the order in which they were scheduled. Equal seeds give equal
// arrivals, but the choice among equally good runners may differ between executions.

import (
	"container/heap"
	"time"
)

// startTime is the time at which every simulation starts.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// scheduledEvent is a function that is to be called at a simulated time.
type scheduledEvent struct {
	at time.Time
	// seq orders events at the same time.
	seq int
	run func()
}

// eventHeap is a heap of the pending events, the next one first.
type eventHeap []scheduledEvent

// Len implements heap.Interface, as do the methods below.
func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an element.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(scheduledEvent)) }

// Pop removes the last element.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// scheduler holds the simulated time and the pending events.
type scheduler struct {
	now     time.Time
	pending eventHeap
	// lastSeq is the seq of the event that was scheduled last.
	lastSeq int
}

func newScheduler() *scheduler { return &scheduler{now: startTime} }

// at schedules a call of f at time t.
func (s *scheduler) at(t time.Time, f func()) {
	s.lastSeq++
	heap.Push(&s.pending, scheduledEvent{at: t, seq: s.lastSeq, run: f})
}

// after schedules a call of f after d.
func (s *scheduler) after(d time.Duration, f func()) { s.at(s.now.Add(d), f) }

// every schedules calls of f at intervals of period, the first after one period. The last
// call is the first one that is not before until.
func (s *scheduler) every(period time.Duration, until time.Time, f func()) {
	s.after(period, func() {
		f()
		if s.now.Before(until) {
			s.every(period, until, f)
		}
	})
}

// run runs events until none is pending.
func (s *scheduler) run() {
	for s.pending.Len() > 0 {
		next := heap.Pop(&s.pending).(scheduledEvent)
		s.now = next.at
		next.run()
	}
}
