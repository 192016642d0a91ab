// Package coltsrequest composes the decisions for a request's whole life: admit,
// locate, choose, restore, dispatch, watch, retry, finish, charge.
//
// A life takes what happened and the time, and returns what to do next as one
// typed Action. It sends nothing, waits for nothing and reads no clock, so that
// any front end can drive it; the entry's HTTP server is the first.
package coltsrequest

// What a front end must hand over is gathered here. It is already decoded: a
// second front end builds the same values from another encoding.

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
	// Version is the weight version that the caller named; empty for the current.
	Version coltsidentity.Version
	Adapter coltsidentity.Adapter
	// Text is the prompt in the order in which the model reads it.
	Text []byte
	// Stream says that the caller sees the answer's parts as they come, so that
	// the time to first token is what it feels.
	Stream bool
	// MaxTokens bounds the answer; 0 for the model's own bound.
	MaxTokens int64
	// ArrivedAt is when the request came in, Deadline when it is given up.
	ArrivedAt time.Time
	Deadline  time.Time
}

// Tokens returns the estimated length of the prompt.
func (p Prompt) Tokens() int64 {
	return int64(len(p.Text)/coltscache.BytesPerToken) + 1
}

// seed returns what the names of the prompt's pieces depend on.
func (p Prompt) seed() coltscache.Seed {
	return coltscache.Seed{
		Organisation: p.Organisation.ID,
		Model:        p.Model,
		Version:      p.Version,
		Adapter:      p.Adapter,
	}
}

// fingerprint names the prompt's content within its organisation and model. The
// chain already stands for the whole pieces, so only the rest is hashed again.
func (p Prompt) fingerprint(home coltscache.Piece, chain []coltscache.Piece) coltsidentity.Digest {
	h := sha256.New()
	h.Write(home[:])
	if len(chain) > 0 {
		h.Write(chain[len(chain)-1][:])
	}
	h.Write(p.Text[len(chain)*coltscache.PieceBytes:])
	return coltsidentity.Digest(h.Sum(nil))
}

// ActionKind says what a front end does next.
type ActionKind int

// The kinds of action.
const (
	// ActionLookup asks a store how much of the prompt it holds, then calls
	// Located.
	ActionLookup ActionKind = iota + 1
	// ActionDispatch sends the request to an upstream, then calls Prefilled,
	// Progressed, Finished or Failed.
	ActionDispatch
	// ActionRefuse ends the request with a refusal.
	ActionRefuse
	// ActionDone ends the request; its whole answer was passed on.
	ActionDone
)

// Action is what a front end does next. Only the field of its kind is set.
type Action struct {
	Kind     ActionKind
	Lookup   Lookup
	Dispatch Dispatch
	Refusal  *coltsattempt.RefusedError
	Done     Done
}

// Lookup asks a store for its holdings.
type Lookup struct {
	Store  coltsidentity.Upstream
	Addr   netip.AddrPort
	Pieces []coltscache.Piece
	// AnswerBy is when the front end stops waiting and reports nothing held.
	AnswerBy time.Time
}

// Dispatch sends a request to an upstream.
type Dispatch struct {
	// Attempt counts from 1.
	Attempt  int
	Upstream coltsidentity.Upstream
	Addr     netip.AddrPort
	// Pieces are the names of the prompt's whole pieces.
	Pieces  []coltscache.Piece
	Restore coltscache.RestorePlan
	// ResumeAt is how many parts of the answer the caller has; 0 from the start.
	ResumeAt int64
	// OverdueAt is when Overdue should be asked if no first token has come; zero
	// for never.
	OverdueAt time.Time
	// Deadline is when the attempt is given up.
	Deadline time.Time
}

// Done is the end of a request that was answered.
type Done struct {
	Charge Charge
	// Export says what to keep; its Pieces are empty for nothing.
	Export Export
}

// Charge is what a request costs its organisation.
type Charge struct {
	Organisation coltsidentity.Organisation
	Model        coltsidentity.Model
	Tokens       coltsusage.Tokens
	Micros       int64
}

// Export asks a runner to copy pieces to a store.
type Export struct {
	Runner     coltsidentity.Upstream
	RunnerAddr netip.AddrPort
	Store      coltsidentity.Upstream
	StoreAddr  netip.AddrPort
	Pieces     []coltscache.Piece
}
