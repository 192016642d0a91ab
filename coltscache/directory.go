package coltscache

// The directory is only a hint: runners evict pieces without notice, and cache
// events arrive late and with gaps. A wrong hint causes a recompute but never a wrong
// answer, because pieces are verified by hash and digest where they are used.

import (
	"slices"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

const (
	// hintTTL is how long a hint is valid after its last renewal.
	hintTTL = 72 * time.Hour
	// maxHintsPerShard is the maximum number of pieces in a shard.
	maxHintsPerShard = 16 << 10
	// maxHoldersPerPiece is the maximum number of holders kept for a piece.
	maxHoldersPerPiece = 4
)

// Directory records which upstreams are believed to hold which pieces, in shards by
// piece. It is safe for concurrent use.
type Directory struct {
	shards [coltsshard.Count]directoryShard
}

type directoryShard struct {
	mu    sync.Mutex
	hints map[Piece]*hint
	// insertionOrder lists the pieces, oldest first.
	insertionOrder []Piece
}

type hint struct {
	// holders lists the upstreams that are believed to hold the piece, oldest first.
	// The slice is never modified in place, since readers use it without the lock.
	holders   []coltsidentity.Upstream
	expiresAt time.Time
}

// Holding is the part of a prompt that one upstream is believed to hold.
type Holding struct {
	Upstream coltsidentity.Upstream
	// Pieces is the number of consecutive pieces from the start of the prompt.
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

// Record records that an upstream holds pieces.
func (d *Directory) Record(pieces []Piece, holder coltsidentity.Upstream, now time.Time) {
	for _, p := range pieces {
		d.shard(p).record(p, holder, now)
	}
}

// Remove records that an upstream no longer holds pieces.
func (d *Directory) Remove(pieces []Piece, holder coltsidentity.Upstream) {
	for _, p := range pieces {
		d.shard(p).remove(p, holder)
	}
}

// Locate returns, for each upstream that is believed to hold the first piece,
// how many leading pieces it is believed to hold.
func (d *Directory) Locate(pieces []Piece, now time.Time) []Holding {
	var holdings []Holding
	for i, p := range pieces {
		holders := d.shard(p).holders(p, now)
		if i == 0 {
			holdings = firstHoldings(holders)
			continue
		}
		if !extendHoldings(holdings, holders, i) {
			break
		}
	}
	return holdings
}

// firstHoldings returns a holding of one piece for each holder of the first piece.
func firstHoldings(holders []coltsidentity.Upstream) []Holding {
	holdings := make([]Holding, 0, len(holders))
	for _, h := range holders {
		holdings = append(holdings, Holding{Upstream: h, Pieces: 1})
	}
	return holdings
}

// extendHoldings extends the holdings that reach piece i and whose upstream holds it
// too, and reports whether there were any.
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

// Len returns the number of pieces in the directory.
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
		s.evictOldestLocked()
		h = &hint{}
		s.hints[p] = h
		s.insertionOrder = append(s.insertionOrder, p)
	}
	h.expiresAt = now.Add(hintTTL)
	if slices.Contains(h.holders, holder) {
		return
	}
	// Locate may still read the old slice, so it is replaced instead of modified.
	newest := h.holders[max(0, len(h.holders)+1-maxHoldersPerPiece):]
	h.holders = append(slices.Clone(newest), holder)
}

// evictOldestLocked removes the oldest hints of a full shard, to make room for one
// more.
func (s *directoryShard) evictOldestLocked() {
	for len(s.hints) >= maxHintsPerShard {
		delete(s.hints, s.insertionOrder[0])
		s.insertionOrder = s.insertionOrder[1:]
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

// holders returns the holders of a piece, or nil if its hint has expired.
func (s *directoryShard) holders(p Piece, now time.Time) []coltsidentity.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, known := s.hints[p]
	if !known || !now.Before(h.expiresAt) {
		return nil
	}
	return h.holders
}
