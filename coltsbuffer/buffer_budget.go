// Package coltsbuffer bounds the memory that an instance uses for buffering messages.
package coltsbuffer

// Each message has a limit of its own, but many long messages at once could still exceed an
// instance's memory. So the messages of an instance share a budget, and a message that finds no
// room in it is given up. A part of the budget is reserved for short messages, so that long ones
// can't make them fail.

import (
	"fmt"
	"sync/atomic"
)

// freeBytes is the length up to which a message takes nothing from a budget of FixedSize.
const freeBytes = 32 << 10

// Config is the configuration of a budget.
type Config struct {
	// Limit is the size of the budget in bytes.
	Limit int
	// Uncounted is the length up to which a message takes nothing.
	Uncounted int
	// Reserve is the part of the budget that only messages of up to ShortBytes may take.
	Reserve int
	// MakeRoom is called when a message of the given size finds no room, which is looked for once more
	// after that. Nil for not.
	MakeRoom func(size int)
}

// ShortBytes is the length up to which a message may take the reserve of a budget. Heads of the longest
// length and prompts of 12,000 tokens are below it.
const ShortBytes = 64 << 10

// Budget is the number of bytes that messages may take together. It is safe for concurrent use.
type Budget struct {
	cfg  Config
	used atomic.Int64
}

// FixedSize returns the configuration of a budget of limit bytes from which short messages take nothing.
func FixedSize(limit int) Config { return Config{Limit: limit, Uncounted: freeBytes} }

// NewBudget returns a budget of limit bytes from which short messages take nothing.
func NewBudget(limit int) *Budget { return New(FixedSize(limit)) }

// New returns a budget.
func New(cfg Config) *Budget { return &Budget{cfg: cfg} }

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int { return int(b.used.Load()) }

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int { return b.cfg.Limit }

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
// and takes nothing more, if the budget has no room for that even after it was asked to make room.
func (s *Share) Grow(size int) error {
	err := s.TryGrow(size)
	if err == nil || s.budget.cfg.MakeRoom == nil {
		return err
	}
	s.budget.cfg.MakeRoom(size)
	return s.TryGrow(size)
}

// TryGrow is like Grow, but does not ask to make room.
func (s *Share) TryGrow(size int) error {
	more := size - s.budget.cfg.Uncounted - s.taken
	if more <= 0 {
		return nil
	}
	limit := s.budget.cfg.Limit
	if size > ShortBytes {
		limit -= s.budget.cfg.Reserve
	}
	// A message that does not fit must not take the room even for a moment: others would be refused.
	for {
		used := s.budget.used.Load()
		if used+int64(more) > int64(limit) {
			return &ExhaustedError{Wanted: size, Limit: s.budget.cfg.Limit}
		}
		if s.budget.used.CompareAndSwap(used, used+int64(more)) {
			s.taken += more
			return nil
		}
	}
}

// Overdraw makes the share large enough for a message of size bytes even if the budget has no room, for
// the time until what has been told to end has released its shares.
func (s *Share) Overdraw(size int) {
	more := max(0, size-s.budget.cfg.Uncounted-s.taken)
	s.budget.used.Add(int64(more))
	s.taken += more
}

// Release returns all that the share takes to the budget. The share can be used again.
func (s *Share) Release() {
	if s.taken > 0 {
		s.budget.used.Add(int64(-s.taken))
		s.taken = 0
	}
}
