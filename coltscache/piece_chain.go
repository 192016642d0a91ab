// Package coltscache is the aggregate of kept prompt prefixes: how a piece is
// named, who is believed to hold it, and what of it is worth restoring.
package coltscache

// A piece is named by a hash chain over everything that its content depends on.
// Two prompts share a piece exactly if organisation, model, weight version,
// adapter and all text before and in it are the same, so no rule elsewhere has
// to keep organisations or versions apart. SHA-256 is used because a caller who
// could make two prompts collide would read another organisation's cache.

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"coltsfootstall/coltsidentity"
)

// pieceIDBytes is the size of a piece's name.
const pieceIDBytes = 16

// BytesPerToken is the assumed length of a token in a prompt's text.
const BytesPerToken = 4

// PieceTokens is the number of tokens in a piece.
const PieceTokens = 2000

// PieceBytes is the length of the text that one piece stands for.
const PieceBytes = PieceTokens * BytesPerToken

// Piece names one piece of a prompt's cache.
type Piece [pieceIDBytes]byte

// Seed is what a chain depends on besides the text.
type Seed struct {
	Organisation coltsidentity.Organisation
	Model        coltsidentity.Model
	Version      coltsidentity.Version
	Adapter      coltsidentity.Adapter
}

// String returns the name as 32 hexadecimal digits.
func (p Piece) String() string {
	return hex.EncodeToString(p[:])
}

// ParsePiece reads the form that String writes and says whether it was valid.
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

// Chain returns the names of the whole pieces of a prompt's text, in order. A
// rest shorter than a piece has no name.
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

// Home returns the key by which a prompt's computed home is found: its first
// piece, or the whole text of a prompt that is shorter than one.
func Home(seed Seed, text []byte) Piece {
	previous := seed.digest()
	h := sha256.New()
	h.Write(previous[:])
	h.Write(text[:min(len(text), PieceBytes)])
	h.Sum(previous[:0])
	return Piece(previous[:pieceIDBytes])
}

// digest hashes the seed with the length of each part before it, so that parts
// can't run into each other.
func (s Seed) digest() [sha256.Size]byte {
	var b []byte
	for _, part := range []string{string(s.Organisation), string(s.Model), string(s.Version), string(s.Adapter)} {
		b = binary.AppendUvarint(b, uint64(len(part)))
		b = append(b, part...)
	}
	return sha256.Sum256(b)
}
