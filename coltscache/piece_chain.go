// Package coltscache is the aggregate of cached prompt prefixes. It computes the
// hashes that identify pieces, records which upstreams are believed to hold which
// pieces, and decides which pieces to restore from a cache store.
package coltscache

// A piece is a fixed-size block of a prompt's KV cache, identified by a hash chain over
// everything that its content depends on. Two prompts share a piece if and only if
// the organisation, the model, the weight version, the adapter and all text up to the
// end of the piece are the same, so organisations and versions are kept apart without
// any further check. SHA-256 is used because a caller who could construct a collision
// could read another organisation's KV cache.

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"coltsfootstall/coltsidentity"
)

// pieceIDBytes is the size of a piece's hash, a truncated SHA-256.
const pieceIDBytes = 16

// BytesPerToken is the assumed average number of bytes per token of a prompt.
const BytesPerToken = 4

// PieceTokens is the number of tokens in a piece.
const PieceTokens = 2000

// PieceBytes is the number of bytes of text in a piece.
const PieceBytes = PieceTokens * BytesPerToken

// Piece is the hash that identifies a piece.
type Piece [pieceIDBytes]byte

// Seed holds the inputs of a hash chain other than the text.
type Seed struct {
	Organisation coltsidentity.Organisation
	Model        coltsidentity.Model
	Version      coltsidentity.Version
	Adapter      coltsidentity.Adapter
}

// String returns the hash as 32 hexadecimal digits.
func (p Piece) String() string {
	return hex.EncodeToString(p[:])
}

// ParsePiece parses the format that String returns, and reports whether s is valid.
func ParsePiece(s string) (Piece, bool) {
	var p Piece
	if len(s) != 2*pieceIDBytes {
		return Piece{}, false
	}
	_, err := hex.Decode(p[:], []byte(s))
	if err != nil {
		return Piece{}, false
	}
	return p, true
}

// Chain returns the hashes of the whole pieces of a prompt's text, in order. A
// partial piece at the end is left out.
func Chain(seed Seed, text []byte) []Piece {
	previous := seed.digest()
	pieces := make([]Piece, 0, len(text)/PieceBytes)
	for len(text) >= PieceBytes {
		h := sha256.New()
		h.Write(previous[:])
		h.Write(text[:PieceBytes])
		h.Sum(previous[:0])
		pieces = append(pieces, Piece(previous[:pieceIDBytes]))
		text = text[PieceBytes:]
	}
	return pieces
}

// HomeKey returns the key that determines a prompt's home upstream: the hash of its
// first piece, or of the whole text of a prompt that is shorter than a piece.
func HomeKey(seed Seed, text []byte) Piece {
	previous := seed.digest()
	h := sha256.New()
	h.Write(previous[:])
	h.Write(text[:min(len(text), PieceBytes)])
	h.Sum(previous[:0])
	return Piece(previous[:pieceIDBytes])
}

// digest returns a hash of the seed. Each part is prefixed with its length, so that
// different parts can't give the same concatenation.
func (s Seed) digest() [sha256.Size]byte {
	var b []byte
	for _, part := range []string{string(s.Organisation), string(s.Model), string(s.Version), string(s.Adapter)} {
		b = binary.AppendUvarint(b, uint64(len(part)))
		b = append(b, part...)
	}
	return sha256.Sum256(b)
}
