package coltscache

// A link's rate is not configured: it slows down without notice. Each entry
// estimates it from the restores that it saw and counts those under way, since
// they share it.

import (
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

const (
	// defaultPiecesPerSecond stands in until a restore was seen.
	defaultPiecesPerSecond = 40.0
	// minPiecesPerSecond is the slowest that a link is thought to be.
	minPiecesPerSecond = 0.5
	// stallFactor is what a stalled restore leaves of the estimate.
	stallFactor = 0.6
	// linkSmoothing is the weight of the newest restore.
	linkSmoothing = 0.3
)

// Links estimates the links out of the stores, in shards by store.
type Links struct {
	shards [coltsshard.Count]linkShard
}

type linkShard struct {
	mu    sync.Mutex
	links map[coltsidentity.Upstream]*link
}

type link struct {
	piecesPerSecond float64
	// queued are the pieces of restores under way.
	queued int
}

// NewLinks returns links of which nothing was seen.
func NewLinks() *Links {
	l := &Links{}
	for i := range l.shards {
		l.shards[i].links = map[coltsidentity.Upstream]*link{}
	}
	return l
}

// Estimate returns a function from a number of pieces to the time that their
// restore would take, after those already under way.
func (l *Links) Estimate(store coltsidentity.Upstream) func(pieces int) time.Duration {
	s := &l.shards[coltsshard.Of(store)]
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.get(store)
	queued, rate := k.queued, k.piecesPerSecond
	return func(pieces int) time.Duration {
		return time.Duration(float64(queued+pieces) / rate * float64(time.Second))
	}
}

// Begin counts a restore of pieces.
func (l *Links) Begin(store coltsidentity.Upstream, pieces int) {
	s := &l.shards[coltsshard.Of(store)]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(store).queued += pieces
}

// End takes a restore back that Begin was told of, and learns from the pieces
// that came and the time that they took; both are zero if none came.
func (l *Links) End(store coltsidentity.Upstream, begun, came int, took time.Duration) {
	s := &l.shards[coltsshard.Of(store)]
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.get(store)
	shared := k.queued
	k.queued = max(0, k.queued-begun)
	if came <= 0 || took <= 0 {
		return
	}
	seen := float64(max(shared, came)) / took.Seconds()
	k.piecesPerSecond = (1-linkSmoothing)*k.piecesPerSecond + linkSmoothing*seen
}

// Stalled takes a restore back of which nothing came in time. How slow the link is
// can't be told from that, only that it is slower than was thought.
func (l *Links) Stalled(store coltsidentity.Upstream, begun int) {
	s := &l.shards[coltsshard.Of(store)]
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.get(store)
	k.queued = max(0, k.queued-begun)
	k.piecesPerSecond = max(minPiecesPerSecond, k.piecesPerSecond*stallFactor)
}

func (s *linkShard) get(store coltsidentity.Upstream) *link {
	k, known := s.links[store]
	if !known {
		k = &link{piecesPerSecond: defaultPiecesPerSecond}
		s.links[store] = k
	}
	return k
}
