package coltstrade

// Simulated time. Things happen in the order of their times, and those of one instant in
// the order in which they were planned. A seed always gives the same arrivals; choices among
// equal runners may differ from run to run.

import (
	"container/heap"
	"time"
)

// start is when every day begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// planned is something that will happen.
type planned struct {
	at    time.Time
	order int
	do    func()
}

// plannedHeap holds what will happen, the next thing first.
type plannedHeap []planned

// Len implements heap.Interface, as do the methods below.
func (h plannedHeap) Len() int { return len(h) }

func (h plannedHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

func (h plannedHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an element.
func (h *plannedHeap) Push(x any) { *h = append(*h, x.(planned)) }

// Pop removes the last element.
func (h *plannedHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// schedule is a day's time.
type schedule struct {
	now  time.Time
	next plannedHeap
	n    int
}

func newSchedule() *schedule { return &schedule{now: start} }

// at plans something.
func (s *schedule) at(t time.Time, do func()) {
	s.n++
	heap.Push(&s.next, planned{at: t, order: s.n, do: do})
}

// after plans something after a span.
func (s *schedule) after(d time.Duration, do func()) { s.at(s.now.Add(d), do) }

// every plans something again and again until a time.
func (s *schedule) every(period time.Duration, until time.Time, do func()) {
	s.after(period, func() {
		do()
		if s.now.Before(until) {
			s.every(period, until, do)
		}
	})
}

// run lets everything happen.
func (s *schedule) run() {
	for s.next.Len() > 0 {
		next := heap.Pop(&s.next).(planned)
		s.now = next.at
		next.do()
	}
}
