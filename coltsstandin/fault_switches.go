package coltsstandin

// Faults can be switched on and off while a stand-in runs, so that one test or experiment
// covers the time before, during and after a fault.

import (
	"sync"
	"time"
)

// Faults selects the faults that a stand-in injects. The zero value injects none.
type Faults struct {
	// Slowdown multiplies every processing time; values up to 1 mean no slowdown.
	Slowdown float64 `json:"slowdown"`
	// BreakAfterParts ends each stream after this many parts, before the answer is complete;
	// zero means never.
	BreakAfterParts int `json:"break-after-parts"`
	// SilentAfterParts stops sending after this many parts of each stream but leaves the
	// connection open; zero means never.
	SilentAfterParts int `json:"silent-after-parts"`
	// CrashOn crashes a runner when a request body contains this text; empty means never.
	CrashOn string `json:"crash-on"`
	// Refuse answers every prompt request or service call with status 503 and the outcome "not-run".
	Refuse bool `json:"refuse"`
	// WrongRequestID answers each prompt request with the ID of a different request.
	WrongRequestID bool `json:"cross"`
	// DropAnswer runs a service call and closes the connection before answering.
	DropAnswer bool `json:"drop-answer"`
	// DropEvents discards every cache event.
	DropEvents bool `json:"drop-events"`
	// CorruptPieces changes the content of each piece that a store returns, so that it no
	// longer matches its digest.
	CorruptPieces bool `json:"corrupt-pieces"`
}

// faultSwitches holds the current faults under a lock.
type faultSwitches struct {
	mu     sync.RWMutex
	faults Faults
}

// SetFaults replaces the current faults.
func (s *faultSwitches) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the current faults.
func (s *faultSwitches) Faults() Faults {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.faults
}

// slowed returns the time that a task takes under the slowdown, if it normally takes d.
func (f Faults) slowed(d time.Duration) time.Duration {
	if f.Slowdown <= 1 {
		return d
	}
	return time.Duration(float64(d) * f.Slowdown)
}
