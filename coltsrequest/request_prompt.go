// Package coltsrequest holds the state machines of requests, from admission and
// cache lookup to the choice of an upstream, restore, retries and charging.
//
// Each method of a state machine takes an event and the current time, and most
// return the next step as a typed Action. The package does no I/O, does not block
// and does not read the clock, so that any front end can drive it; the entry's
// HTTP server is the first.
package coltsrequest

// This file holds the values that a front end passes in and the actions that it
// receives. They are independent of any encoding, so that another front end can
// build the same values from another protocol.

import (
	"crypto/sha256"
	"net/netip"
	"time"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltscache"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsusage"
)

// Prompt is a caller's request to a model.
type Prompt struct {
	ID           coltsidentity.Request
	Organisation coltsdocument.Organisation
	Model        coltsidentity.Model
	// Version is the weight version that the caller asked for; empty means the
	// current version.
	Version coltsidentity.Version
	Adapter coltsidentity.Adapter
	// Text is the prompt, in the order in which the model reads it.
	Text []byte
	// Stream is true if the answer is streamed to the caller. Only then does the
	// caller notice the time to first token.
	Stream bool
	// MaxTokens limits the answer's tokens; zero means the model's own limit.
	MaxTokens int64
	// ArrivedAt is when the request was received.
	ArrivedAt time.Time
	// Deadline is when the request times out.
	Deadline time.Time
}

// Tokens returns the estimated number of tokens in the prompt.
func (p Prompt) Tokens() int64 {
	return int64(len(p.Text)/coltscache.BytesPerToken) + 1
}

// seed returns the inputs of the piece hashes other than the text.
func (p Prompt) seed() coltscache.Seed {
	return coltscache.Seed{
		Organisation: p.Organisation.ID,
		Model:        p.Model,
		Version:      p.Version,
		Adapter:      p.Adapter,
	}
}

// fingerprint returns a digest of the prompt's content within its organisation
// and model. The last hash of the chain covers all whole pieces, so only the text
// after them is hashed again.
func (p Prompt) fingerprint(home coltscache.Piece, chain []coltscache.Piece) coltsidentity.Digest {
	h := sha256.New()
	h.Write(home[:])
	if len(chain) > 0 {
		h.Write(chain[len(chain)-1][:])
	}
	h.Write(p.Text[len(chain)*coltscache.PieceBytes:])
	return coltsidentity.Digest(h.Sum(nil))
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of action.
const (
	// ActionLookup means: ask a cache store how many leading pieces of the prompt it
	// holds, then call LookupDone.
	ActionLookup ActionKind = iota + 1
	// ActionDispatch means: send the request to an upstream, then call Prefilled,
	// PartsDelivered, Finished or Failed.
	ActionDispatch
	// ActionRefuse means: end the request with a refusal.
	ActionRefuse
	// ActionDone means: end the request; its whole answer was delivered.
	ActionDone
)

// Action tells the front end what to do next. Only the field that belongs to Kind
// is set.
type Action struct {
	Kind     ActionKind
	Lookup   Lookup
	Dispatch Dispatch
	Refusal  *coltsattempt.RefusedError
	Done     Done
}

// Lookup asks a cache store how many of the given leading pieces it holds.
type Lookup struct {
	Store  coltsidentity.Upstream
	Addr   netip.AddrPort
	Pieces []coltscache.Piece
	// Deadline is when the lookup times out; the front end then calls LookupDone with
	// zero pieces.
	Deadline time.Time
}

// Dispatch describes an attempt and the upstream to which it is sent.
type Dispatch struct {
	// Attempt counts from 1.
	Attempt  int
	Upstream coltsidentity.Upstream
	Addr     netip.AddrPort
	// Pieces are the hashes of the prompt's whole pieces.
	Pieces  []coltscache.Piece
	Restore coltscache.RestorePlan
	// ResumeAt is the number of answer parts that the caller already has; zero
	// means from the start.
	ResumeAt int64
	// OverdueAt is when to call FirstTokenOverdue if no first token has arrived; zero
	// means never.
	OverdueAt time.Time
	// Deadline is when the attempt times out.
	Deadline time.Time
}

// Done is the result of a request that was answered in full.
type Done struct {
	Charge Charge
	// Export lists the pieces to copy to a cache store; if its Pieces are empty, there
	// is no export.
	Export Export
}

// Charge is the cost of a request for its organisation.
type Charge struct {
	Organisation coltsidentity.Organisation
	Model        coltsidentity.Model
	Tokens       coltsusage.Tokens
	Micros       int64
}

// Export asks a runner to copy pieces to a cache store.
type Export struct {
	Runner     coltsidentity.Upstream
	RunnerAddr netip.AddrPort
	Store      coltsidentity.Upstream
	StoreAddr  netip.AddrPort
	Pieces     []coltscache.Piece
}
