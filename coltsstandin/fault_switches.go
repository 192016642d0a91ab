package coltsstandin

// Faults are switched while a stand-in runs, so that one test or experiment can
// see the time before, during and after.

import (
	"sync"
	"time"
)

// Faults are the switches of a stand-in. The zero value has none.
type Faults struct {
	// Slowdown multiplies every time; 0 and 1 for none.
	Slowdown float64 `json:"slowdown"`
	// BreakAfterParts breaks each stream after some parts; 0 for none.
	BreakAfterParts int `json:"break-after-parts"`
	// SilentAfterParts stops each stream after some parts without closing it.
	SilentAfterParts int `json:"silent-after-parts"`
	// CrashOn crashes the stand-in when a body holds this text; empty for none.
	CrashOn string `json:"crash-on"`
	// Refuse answers every request as not run.
	Refuse bool `json:"refuse"`
	// Cross answers with another request's identity.
	Cross bool `json:"cross"`
	// DropAnswer runs a call and breaks the connection before the answer.
	DropAnswer bool `json:"drop-answer"`
	// DropEvents loses every cache event.
	DropEvents bool `json:"drop-events"`
	// CorruptPieces spoils the content of each piece that a store hands out.
	CorruptPieces bool `json:"corrupt-pieces"`
}

// faultSwitches holds the switches under a lock.
type faultSwitches struct {
	mu     sync.RWMutex
	faults Faults
}

// SetFaults sets the switches.
func (s *faultSwitches) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the switches.
func (s *faultSwitches) Faults() Faults {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.faults
}

// slowed returns a time as the slowdown makes it.
func (f Faults) slowed(span time.Duration) time.Duration {
	if f.Slowdown <= 1 {
		return span
	}
	return time.Duration(float64(span) * f.Slowdown)
}
