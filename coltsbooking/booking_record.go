// Package coltsbooking is the ledger of calls to services that are not safe to repeat.
// An instance needs a grant from the ledger before it makes such a call, and each
// organisation and idempotency key gets at most one grant, unless the call did not run.
package coltsbooking

// A grant is recorded before the first byte is sent to the service, and the record of
// a key is removed only when its retention has ended. In between, the record is in one
// of four states, and only a key in state "not-run" may be granted again.

import (
	"fmt"
	"time"

	"coltsfootstall/coltsidentity"
)

// State is the state of a call in the ledger.
type State string

// The states of a call.
const (
	// StateGranted means that one instance may make the call and hasn't settled it yet.
	StateGranted State = "granted"
	// StateDone means that the call ran and its answer is recorded.
	StateDone State = "done"
	// StateNotRun means that the call certainly did not run.
	StateNotRun State = "not-run"
	// StateUnknown means that the call may have run. It is never granted again.
	StateUnknown State = "unknown"
)

// Key identifies a call by its organisation and idempotency key.
type Key struct {
	Organisation coltsidentity.Organisation
	Key          coltsidentity.IdempotencyKey
}

// String returns the organisation and the idempotency key, separated by a slash.
func (k Key) String() string {
	return string(k.Organisation) + "/" + string(k.Key)
}

// GrantNumber is the number of a grant, which permits one call. The ledger increments
// it by one with each grant. Zero stands for no grant.
type GrantNumber uint64

// Answer is the service's response as the caller got it.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Record is the ledger's record of a key.
type Record struct {
	Key     Key
	State   State
	Grant   GrantNumber
	Service coltsidentity.Service
	// Digest is the SHA-256 digest of the call: service, path and body.
	Digest coltsidentity.Digest
	// Holder is the instance that may make the call.
	Holder coltsidentity.Instance
	// RequestID is the ID of the caller's request that got the grant.
	RequestID coltsidentity.Request
	// SettleBy is when a granted call that its holder hasn't settled becomes unknown.
	SettleBy time.Time
	// RetainUntil is when the record may be removed.
	RetainUntil time.Time
	// Answer is the zero value unless the call is done.
	Answer Answer
	// ChargeMicros is the amount charged, in millionths of the currency unit; zero
	// unless the call is done.
	ChargeMicros int64
}

// KeyReusedError is returned when a key was used before for another call.
type KeyReusedError struct {
	Key Key
}

// Error returns a message with the key.
func (e *KeyReusedError) Error() string {
	return fmt.Sprintf("idempotency key %s was used for another call", e.Key)
}

// NotHolderError is returned when a grant is not, or no longer, the current grant of
// its key.
type NotHolderError struct {
	Key   Key
	Grant GrantNumber
}

// Error returns a message with the key and the grant.
func (e *NotHolderError) Error() string {
	return fmt.Sprintf("grant %d is not the current grant of idempotency key %s", e.Grant, e.Key)
}
