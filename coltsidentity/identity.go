// Package coltsidentity defines the types of the identifiers of entities.
//
// Aggregates refer to each other only by identifier, never by pointer. Each kind of
// identifier has its own type, so that the compiler rejects, for example, an
// upstream where an instance is expected.
package coltsidentity

// All identifiers are in one package so that an aggregate does not have to import
// another aggregate only to refer to one of its entities.

import (
	"crypto/rand"
	"encoding/hex"
)

// Organisation identifies a customer of the system.
type Organisation string

// Model identifies a model family. Callers send it in the field "model".
type Model string

// Version identifies one set of weights of a model.
type Version string

// Adapter identifies an adapter that is loaded on top of a version;
// empty means none.
type Adapter string

// Upstream identifies a model runner, a cache store or a plain service.
type Upstream string

// DataCentre identifies the data centre in which an instance or an upstream runs.
type DataCentre string

// Instance identifies one process of the system.
type Instance string

// Service identifies a plain service. Callers send it in the path.
type Service string

// Operator identifies a person who may change sections of the document.
type Operator string

// Change identifies one change of the document; a retry uses the same identifier.
type Change string

// IdempotencyKey is the key that a caller sends with a call that must not run more
// than once.
type IdempotencyKey string

// requestIDBytes is the size of a request identifier.
const requestIDBytes = 16

// Request identifies a caller's request in every message that is sent for it.
type Request [requestIDBytes]byte

// NewRequest returns a random identifier.
func NewRequest() Request {
	var r Request
	// rand.Read is documented never to return an error.
	_, _ = rand.Read(r[:])
	return r
}

// String returns the identifier as 32 hexadecimal digits.
func (r Request) String() string {
	return hex.EncodeToString(r[:])
}

// Digest is a SHA-256 digest, for example of a key, a request body or a prompt.
type Digest [32]byte

// ParseDigest parses a digest of 64 hexadecimal digits and reports whether it is
// valid.
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

// UnmarshalText parses the format that String returns.
func (d *Digest) UnmarshalText(text []byte) error {
	parsed, ok := ParseDigest(string(text))
	if !ok {
		return &FormatError{Text: string(text), Expected: "64 hexadecimal digits"}
	}
	*d = parsed
	return nil
}

// MarshalText returns the same text as String.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// FormatError reports a text that is not a valid identifier or digest.
type FormatError struct {
	Text string
	// Expected describes the expected format.
	Expected string
}

// Error returns the text and the expected format.
func (e *FormatError) Error() string {
	return "is " + e.Text + ", expected " + e.Expected
}
