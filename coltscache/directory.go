package coltscache

// The directory holds hints only: a runner evicts without asking, and events
// come late and with gaps. A wrong hint costs a recompute, never a wrong answer,
// because pieces are checked by name and digest where they are used.

import (
	"slices"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

const (
	// hintRetention is how long a hint is believed without being renewed.
	hintRetention = 72 * time.Hour
	// hintsPerShard bounds the pieces that a shard remembers.
	hintsPerShard = 16 << 10
	// holdersPerPiece bounds the holders that are remembered of a piece.
	holdersPerPiece = 4
)

// Directory remembers who is believed to hold which piece, in shards by piece.
type Directory struct {
	shards [coltsshard.Count]directoryShard
}

type directoryShard struct {
	mu    sync.Mutex
	hints map[Piece]*hint
	// order lists the pieces in the order in which they were first hinted at.
	order []Piece
}

type hint struct {
	holders     []coltsidentity.Upstream
	forgetAfter time.Time
}

// Holding is how much of a prompt one upstream is believed to hold.
type Holding struct {
	Upstream coltsidentity.Upstream
	// Pieces is the number of leading pieces.
	Pieces int
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{}
	for i := range d.shards {
		d.shards[i].hints = map[Piece]*hint{}
	}
	return d
}

func (d *Directory) shard(p Piece) *directoryShard {
	return &d.shards[int(p[0])%coltsshard.Count]
}

// Record notes that an upstream holds pieces.
func (d *Directory) Record(pieces []Piece, holder coltsidentity.Upstream, now time.Time) {
	for _, p := range pieces {
		d.shard(p).record(p, holder, now)
	}
}

// Remove notes that an upstream no longer holds pieces.
func (d *Directory) Remove(pieces []Piece, holder coltsidentity.Upstream) {
	for _, p := range pieces {
		d.shard(p).remove(p, holder)
	}
}

// Locate returns, for each upstream that is believed to hold the first piece,
// how many leading pieces it holds.
func (d *Directory) Locate(pieces []Piece, now time.Time) []Holding {
	var holdings []Holding
	for i, p := range pieces {
		holders := d.shard(p).holders(p, now)
		if i == 0 {
			holdings = startHoldings(holders)
			continue
		}
		if !extendHoldings(holdings, holders, i) {
			break
		}
	}
	return holdings
}

func startHoldings(holders []coltsidentity.Upstream) []Holding {
	holdings := make([]Holding, 0, len(holders))
	for _, h := range holders {
		holdings = append(holdings, Holding{Upstream: h, Pieces: 1})
	}
	return holdings
}

// extendHoldings lengthens the runs of those that hold piece i too, and says
// whether any did.
func extendHoldings(holdings []Holding, holders []coltsidentity.Upstream, i int) bool {
	extended := false
	for j := range holdings {
		if holdings[j].Pieces == i && slices.Contains(holders, holdings[j].Upstream) {
			holdings[j].Pieces++
			extended = true
		}
	}
	return extended
}

// Len returns the number of pieces that are remembered.
func (d *Directory) Len() int {
	n := 0
	for i := range d.shards {
		n += d.shards[i].count()
	}
	return n
}

func (s *directoryShard) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.hints)
}

func (s *directoryShard) record(p Piece, holder coltsidentity.Upstream, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, known := s.hints[p]
	if !known {
		s.makeRoomLocked()
		h = &hint{}
		s.hints[p] = h
		s.order = append(s.order, p)
	}
	h.forgetAfter = now.Add(hintRetention)
	if slices.Contains(h.holders, holder) {
		return
	}
	// Locate hands the old slice out, so a new one takes its place.
	kept := h.holders[max(0, len(h.holders)+1-holdersPerPiece):]
	h.holders = append(slices.Clone(kept), holder)
}

// makeRoomLocked drops the oldest hints of a full shard.
func (s *directoryShard) makeRoomLocked() {
	for len(s.hints) >= hintsPerShard {
		delete(s.hints, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *directoryShard) remove(p Piece, holder coltsidentity.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, known := s.hints[p]
	if !known {
		return
	}
	h.holders = slices.DeleteFunc(slices.Clone(h.holders), func(u coltsidentity.Upstream) bool { return u == holder })
}

func (s *directoryShard) holders(p Piece, now time.Time) []coltsidentity.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, known := s.hints[p]
	if !known || !now.Before(h.forgetAfter) {
		return nil
	}
	return h.holders
}
