package coltscache

// The throughput of a cache store's link is not configured, because links can slow down
// without notice. Each entry estimates it from the transfers that it has seen, and
// counts the transfers in progress, since they share the link.

import (
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

const (
	// defaultPiecesPerSecond is the estimate before the first transfer.
	defaultPiecesPerSecond = 40.0
	// minPiecesPerSecond is the lower limit of the estimate after stalled restores.
	minPiecesPerSecond = 0.5
	// stallFactor is the factor by which a stalled restore reduces the estimate.
	stallFactor = 0.6
	// linkSmoothing is the weight of the newest transfer in the exponential moving
	// average.
	linkSmoothing = 0.3
)

// Links estimates the throughput of the links to the cache stores, in shards by store.
// It is safe for concurrent use.
type Links struct {
	shards [coltsshard.Count]linkShard
}

type linkShard struct {
	mu    sync.Mutex
	links map[coltsidentity.Upstream]*linkEstimate
}

type linkEstimate struct {
	piecesPerSecond float64
	// pendingPieces is the number of pieces in the transfers in progress.
	pendingPieces int
}

// NewLinks returns a Links that has recorded no transfers yet.
func NewLinks() *Links {
	l := &Links{}
	for i := range l.shards {
		l.shards[i].links = map[coltsidentity.Upstream]*linkEstimate{}
	}
	return l
}

// Estimate returns a function that estimates how long the transfer of a number of
// pieces would take, including the wait for transfers already in progress.
func (l *Links) Estimate(store coltsidentity.Upstream) func(pieces int) time.Duration {
	s := &l.shards[coltsshard.Of(store)]
	s.mu.Lock()
	defer s.mu.Unlock()
	estimate := s.get(store)
	pending, rate := estimate.pendingPieces, estimate.piecesPerSecond
	return func(pieces int) time.Duration {
		return time.Duration(float64(pending+pieces) / rate * float64(time.Second))
	}
}

// Begin records the start of a transfer of pieces.
func (l *Links) Begin(store coltsidentity.Upstream, pieces int) {
	s := &l.shards[coltsshard.Of(store)]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(store).pendingPieces += pieces
}

// End records the end of a transfer for which Begin was called with the planned
// number of pieces. It updates the estimate from the pieces that were transferred
// and the time elapsed; if either is zero, the estimate stays the same.
func (l *Links) End(store coltsidentity.Upstream, planned, transferred int, elapsed time.Duration) {
	s := &l.shards[coltsshard.Of(store)]
	s.mu.Lock()
	defer s.mu.Unlock()
	estimate := s.get(store)
	pending := estimate.pendingPieces
	estimate.pendingPieces = max(0, estimate.pendingPieces-planned)
	if transferred <= 0 || elapsed <= 0 {
		return
	}
	// All pending pieces shared the link, so they count as transferred.
	observed := float64(max(pending, transferred)) / elapsed.Seconds()
	estimate.piecesPerSecond = (1-linkSmoothing)*estimate.piecesPerSecond + linkSmoothing*observed
}

// Stalled records the end of a restore that transferred nothing in time. That shows
// only that the link is slower than estimated, not how slow it is.
func (l *Links) Stalled(store coltsidentity.Upstream, planned int) {
	s := &l.shards[coltsshard.Of(store)]
	s.mu.Lock()
	defer s.mu.Unlock()
	estimate := s.get(store)
	estimate.pendingPieces = max(0, estimate.pendingPieces-planned)
	estimate.piecesPerSecond = max(minPiecesPerSecond, estimate.piecesPerSecond*stallFactor)
}

// get returns a store's estimate and adds one if there is none. The caller must hold
// s.mu.
func (s *linkShard) get(store coltsidentity.Upstream) *linkEstimate {
	estimate, known := s.links[store]
	if !known {
		estimate = &linkEstimate{piecesPerSecond: defaultPiecesPerSecond}
		s.links[store] = estimate
	}
	return estimate
}
