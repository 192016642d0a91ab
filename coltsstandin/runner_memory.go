package coltsstandin

// The memory of a runner or a store holds whole pieces and evicts the least recently used
// ones. A piece is the KV cache of coltscache.PieceTokens tokens of a prompt. Only the names of
// the pieces are stored; the content of a piece is computed from its name. A piece that was
// corrupted in transit is detected by its digest.

import (
	"container/list"
	"crypto/sha256"
	"sync"

	"coltsfootstall/coltscache"
)

// pieceMemory is an LRU cache of pieces.
type pieceMemory struct {
	mu sync.Mutex
	// capacity is the maximum number of pieces.
	capacity int
	// recency lists the pieces, the most recently used first.
	recency  *list.List
	elements map[coltscache.Piece]*list.Element
}

func newPieceMemory(capacity int) *pieceMemory {
	return &pieceMemory{capacity: capacity, recency: list.New(), elements: map[coltscache.Piece]*list.Element{}}
}

// countLeading returns how many of the pieces are held before the first one that is not, and
// marks them as recently used.
func (m *pieceMemory) countLeading(pieces []coltscache.Piece) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, p := range pieces {
		element, held := m.elements[p]
		if !held {
			return i
		}
		m.recency.MoveToFront(element)
	}
	return len(pieces)
}

// holds reports whether a piece is held.
func (m *pieceMemory) holds(p coltscache.Piece) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, held := m.elements[p]
	return held
}

// add inserts pieces and returns those that were not held before and those that were evicted.
func (m *pieceMemory) add(pieces []coltscache.Piece) (added, evicted []coltscache.Piece) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range pieces {
		if element, held := m.elements[p]; held {
			m.recency.MoveToFront(element)
			continue
		}
		m.elements[p] = m.recency.PushFront(p)
		added = append(added, p)
	}
	for len(m.elements) > m.capacity {
		oldest := m.recency.Back()
		p, _ := oldest.Value.(coltscache.Piece)
		m.recency.Remove(oldest)
		delete(m.elements, p)
		evicted = append(evicted, p)
	}
	return added, evicted
}

// clear removes all pieces.
func (m *pieceMemory) clear() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recency.Init()
	clear(m.elements)
}

// contentOf returns the content of the piece with this name, which is the hash of the name.
func contentOf(p coltscache.Piece) []byte {
	sum := sha256.Sum256(p[:])
	return sum[:]
}

// digestOf returns the digest of a piece's content.
func digestOf(content []byte) [sha256.Size]byte {
	return sha256.Sum256(content)
}
