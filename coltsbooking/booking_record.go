// Package coltsbooking is the ledger of calls that may not be repeated: a call
// is granted at most once for each organisation and idempotency key.
package coltsbooking

// The grant is recorded before the first byte goes to the service, and a key
// leaves the ledger only when its retention has passed. What happened in
// between is one of four states, and only "not-run" may be granted anew.

import (
	"fmt"
	"time"

	"coltsfootstall/coltsidentity"
)

// State says what the ledger knows of a call.
type State string

// The states.
const (
	// StateGranted means that one entry may make the call now.
	StateGranted State = "granted"
	// StateDone means that the call ran and its answer is recorded.
	StateDone State = "done"
	// StateNotRun means that the call truly did not run.
	StateNotRun State = "not-run"
	// StateUnknown means that the call may have run; it is never made again.
	StateUnknown State = "unknown"
)

// Key identifies a call.
type Key struct {
	Organisation coltsidentity.Organisation
	Key          coltsidentity.IdempotencyKey
}

// String returns organisation and key in one word.
func (k Key) String() string {
	return string(k.Organisation) + "/" + string(k.Key)
}

// GrantNumber is the number of one permission to make a call; it rises by one each
// time that the ledger grants.
type GrantNumber uint64

// Answer is what the service answered, as the caller saw it.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Record is what the ledger holds for a key.
type Record struct {
	Key     Key
	State   State
	Grant   GrantNumber
	Service coltsidentity.Service
	// Digest is the SHA-256 sum of the call: service, path and body.
	Digest coltsidentity.Digest
	// Holder is the instance that may make the call.
	Holder coltsidentity.Instance
	// RequestID is the request that was granted.
	RequestID coltsidentity.Request
	// SettleBy is when a granted call whose holder said nothing is unknown.
	SettleBy time.Time
	// RetainUntil is when the record may be forgotten.
	RetainUntil time.Time
	Answer      Answer
	// ChargeMicros is what was charged, zero unless the call is done.
	ChargeMicros int64
}

// KeyReusedError reports that a key was used before for another call.
type KeyReusedError struct {
	Key Key
}

// Error names the key.
func (e *KeyReusedError) Error() string {
	return fmt.Sprintf("idempotency key %s was used for another call", e.Key)
}

// NotHolderError reports that a grant is not, or no longer, the key's grant.
type NotHolderError struct {
	Key   Key
	Grant GrantNumber
}

// Error names the key and the grant.
func (e *NotHolderError) Error() string {
	return fmt.Sprintf("grant %d of %s is not in force", e.Grant, e.Key)
}
