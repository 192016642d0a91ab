// Package coltsbuffer bounds the memory that an instance uses for buffering messages.
package coltsbuffer

// Each message has a limit of its own, but many long messages at once could still exceed an
// instance's memory. So the messages of an instance share a budget, and a message that finds no
// room in it is given up. Short messages take nothing from the budget, so that long ones can't
// make them fail.

import (
	"fmt"
	"sync/atomic"
)

// freeBytes is the length up to which a message takes nothing from the budget.
const freeBytes = 32 << 10

// Budget is the number of bytes that messages may take together. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int) *Budget {
	return &Budget{limit: int64(limit)}
}

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int { return int(b.used.Load()) }

// ExhaustedError reports that a message did not fit into the rest of a budget.
type ExhaustedError struct {
	// Wanted is the length of the message in bytes, as far as it is known.
	Wanted int
	// Limit is the size of the whole budget in bytes.
	Limit int
}

// Error returns the lengths.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("a message of %d bytes or more does not fit into the memory for buffers, %d bytes", e.Wanted, e.Limit)
}

// Share is what one message takes from a budget. It is used by one goroutine at a time.
type Share struct {
	budget *Budget
	taken  int
}

// NewShare returns a share that takes nothing yet.
func (b *Budget) NewShare() *Share {
	return &Share{budget: b}
}

// Grow makes the share large enough for a message of size bytes. It returns an ExhaustedError,
// and takes nothing more, if the budget has no room for that.
func (s *Share) Grow(size int) error {
	more := size - freeBytes - s.taken
	if more <= 0 {
		return nil
	}
	if s.budget.used.Add(int64(more)) > s.budget.limit {
		s.budget.used.Add(int64(-more))
		return &ExhaustedError{Wanted: size, Limit: int(s.budget.limit)}
	}
	s.taken += more
	return nil
}

// Release returns all that the share takes to the budget. The share can be used again.
func (s *Share) Release() {
	s.budget.used.Add(int64(-s.taken))
	s.taken = 0
}
