package coltscache

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// text returns the text of a prompt of whole pieces.
func text(pieces int) []byte {
	return bytes.Repeat([]byte("x"), pieces*PieceBytes)
}

var seed = Seed{Organisation: "acme", Model: "writer", Version: "w1"}

// assertDisjoint asserts that two chains share no piece.
func assertDisjoint(t *testing.T, a, b []Piece) {
	t.Helper()
	for _, p := range a {
		for _, q := range b {
			assert.Assert(t, p != q)
		}
	}
}

func TestChain(t *testing.T) {
	t.Run("a longer prompt starts with the same pieces", func(t *testing.T) {
		short, long := Chain(seed, text(3)), Chain(seed, text(5))
		assert.DeepEqual(t, long[:3], short)
	})
	t.Run("a partial piece at the end is left out", func(t *testing.T) {
		assert.Equal(t, len(Chain(seed, text(2)[:2*PieceBytes-1])), 1)
	})
	t.Run("a changed byte changes its piece and all later ones", func(t *testing.T) {
		changed := text(3)
		changed[PieceBytes] = 'y'
		a, b := Chain(seed, text(3)), Chain(seed, changed)
		assert.Equal(t, a[0], b[0])
		assertDisjoint(t, a[1:], b[1:])
	})
	for _, c := range []struct {
		name string
		seed Seed
	}{
		{"another organisation", Seed{Organisation: "zenith", Model: "writer", Version: "w1"}},
		{"another version", Seed{Organisation: "acme", Model: "writer", Version: "w2"}},
		{"another adapter", Seed{Organisation: "acme", Model: "writer", Version: "w1", Adapter: "a"}},
		{"parts with the same concatenation", Seed{Organisation: "acmew", Model: "riter", Version: "w1"}},
	} {
		t.Run(c.name+" shares no piece", func(t *testing.T) {
			assertDisjoint(t, Chain(seed, text(3)), Chain(c.seed, text(3)))
			assert.Assert(t, HomeKey(seed, text(1)) != HomeKey(c.seed, text(1)))
		})
	}
}

func FuzzChain(f *testing.F) {
	f.Add([]byte("a"), 1, 1)
	f.Fuzz(func(t *testing.T, unit []byte, short, more int) {
		if len(unit) == 0 || short < 0 || more < 0 || short > 4 || more > 4 {
			return
		}
		whole := bytes.Repeat(unit, (short+more)*PieceBytes/len(unit)+1)[:(short+more)*PieceBytes]
		assert.DeepEqual(t, Chain(seed, whole)[:short], Chain(seed, whole[:short*PieceBytes]))
	})
}
