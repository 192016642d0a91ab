// Package coltsidentity holds the identities that the aggregates exchange.
//
// Aggregates refer to each other by identity only, never by pointer, so every
// identity is a type of its own: an upstream can't be passed where an instance
// is expected.
package coltsidentity

// Identities live in one package so that no aggregate has to import another
// one merely to name something that it owns.

import (
	"crypto/rand"
	"encoding/hex"
)

// Organisation names a customer of the system.
type Organisation string

// Model names a model family, as callers write it in the field "model".
type Model string

// Version names one set of weights of a model.
type Version string

// Adapter names an adapter that is loaded on top of a version; empty for none.
type Adapter string

// Upstream names a model runner, a kept-cache store or a plain service.
type Upstream string

// DataCentre names the place in which an instance or an upstream runs.
type DataCentre string

// Instance names one process of the system.
type Instance string

// Service names a plain service, as callers write it in the path.
type Service string

// Operator names a person who may change sections of the document.
type Operator string

// Change names one change of the document; a resend carries the same one.
type Change string

// IdempotencyKey is the caller's key for a call that may not be repeated.
type IdempotencyKey string

// requestBytes is the size of a request's identity.
const requestBytes = 16

// Request names one caller's request in every message that is sent for it.
type Request [requestBytes]byte

// NewRequest returns a random identity.
func NewRequest() Request {
	var r Request
	// rand.Read never returns an error; see its documentation.
	_, _ = rand.Read(r[:])
	return r
}

// String returns the identity as 32 hexadecimal digits.
func (r Request) String() string {
	return hex.EncodeToString(r[:])
}

// Digest is a SHA-256 sum: of a key, of a request's body, of a prompt.
type Digest [32]byte

// ParseDigest reads 64 hexadecimal digits and says whether they were valid.
func ParseDigest(s string) (Digest, bool) {
	var d Digest
	if len(s) != 2*len(d) {
		return Digest{}, false
	}
	_, err := hex.Decode(d[:], []byte(s))
	if err != nil {
		return Digest{}, false
	}
	return d, true
}

// String returns the digest as 64 hexadecimal digits.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// UnmarshalText reads the form that String writes.
func (d *Digest) UnmarshalText(text []byte) error {
	parsed, ok := ParseDigest(string(text))
	if !ok {
		return &FormError{Text: string(text), Expected: "64 hexadecimal digits"}
	}
	*d = parsed
	return nil
}

// MarshalText returns the form that String writes.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// FormError reports a text that is no identity.
type FormError struct {
	Text     string
	Expected string
}

// Error names the text and what was expected.
func (e *FormError) Error() string {
	return "is " + e.Text + ", expected " + e.Expected
}
