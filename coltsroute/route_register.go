package coltsroute

// The register is not divided into shards: its single index is replaced a few thousand
// times a day and read by every request, so readers load an atomic pointer without locking.

import (
	"sync"
	"sync/atomic"
)

// EncodedTable is a table in its encoded form, as written to durable storage.
type EncodedTable struct {
	Version Version
	// Source is the encoded table.
	Source []byte
	// CacheMembers are the organisations of a table that is submitted; nil if an earlier release has
	// submitted it.
	CacheMembers *CacheMembers
	// CacheGeneration is that of the common cache scope while a committed table is in force.
	CacheGeneration CacheGeneration
}

// Register holds the current table. It is safe for concurrent use.
type Register struct {
	// mu serialises writers; readers only load current.
	mu sync.Mutex
	// current is nil until the first table is put.
	current atomic.Pointer[Index]
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{}
}

// Current returns the index of the current table, or nil if there is none yet.
func (r *Register) Current() *Index {
	return r.current.Load()
}

// Version returns the version of the current table, or 0 if there is none yet.
func (r *Register) Version() Version {
	ix := r.current.Load()
	if ix == nil {
		return 0
	}
	return ix.Table.Version
}

// Put makes t the current table if its version is higher than the current one, and
// reports whether it did. The current version never decreases.
func (r *Register) Put(t Table) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Version <= r.Version() {
		return false
	}
	r.current.Store(NewIndex(t))
	return true
}

// Confirm marks the current table, if there is one, as confirmed.
func (r *Register) Confirm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	ix := r.current.Load()
	if ix == nil || !ix.Table.Unconfirmed {
		return
	}
	confirmed := *ix
	confirmed.Table.Unconfirmed = false
	r.current.Store(&confirmed)
}
