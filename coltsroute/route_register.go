package coltsroute

// The register is one shard: it is replaced whole a few thousand times a day and
// read by every request, so readers get a pointer and never wait.

import (
	"sync"
	"sync/atomic"
)

// EncodedTable is a table in the form in which it is kept durably.
type EncodedTable struct {
	Version Version
	Source  []byte
}

// Register holds the table in force. It may be used concurrently.
type Register struct {
	mu      sync.Mutex
	current atomic.Pointer[Index]
}

// NewRegister returns a register without a table.
func NewRegister() *Register {
	return &Register{}
}

// Current returns the table in force, nil if there is none yet.
func (r *Register) Current() *Index {
	return r.current.Load()
}

// Version returns the version in force, 0 if there is none yet.
func (r *Register) Version() Version {
	ix := r.current.Load()
	if ix == nil {
		return 0
	}
	return ix.Table.Version
}

// Put brings a table into force if its version is higher than the one that is,
// and says whether it did. The version in force never goes back.
func (r *Register) Put(t Table) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Version <= r.Version() {
		return false
	}
	r.current.Store(NewIndex(t))
	return true
}
