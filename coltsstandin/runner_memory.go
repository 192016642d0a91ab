package coltsstandin

// A runner's accelerator memory: whole pieces, the least recently used of which
// are evicted. Its content is a function of its name, so that a piece that was
// spoiled on its way is found by its digest.

import (
	"container/list"
	"crypto/sha256"
	"sync"

	"coltsfootstall/coltscache"
)

// pieceMemory holds pieces up to a bound.
type pieceMemory struct {
	mu       sync.Mutex
	capacity int
	order    *list.List
	elements map[coltscache.Piece]*list.Element
}

func newPieceMemory(capacity int) *pieceMemory {
	return &pieceMemory{capacity: capacity, order: list.New(), elements: map[coltscache.Piece]*list.Element{}}
}

// leading returns how many leading pieces are held, and renews them.
func (m *pieceMemory) leading(pieces []coltscache.Piece) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, p := range pieces {
		element, held := m.elements[p]
		if !held {
			return i
		}
		m.order.MoveToFront(element)
	}
	return len(pieces)
}

// holds says whether a piece is held.
func (m *pieceMemory) holds(p coltscache.Piece) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, held := m.elements[p]
	return held
}

// add takes in pieces and returns those that were new and those that had to go.
func (m *pieceMemory) add(pieces []coltscache.Piece) (added, evicted []coltscache.Piece) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range pieces {
		if element, held := m.elements[p]; held {
			m.order.MoveToFront(element)
			continue
		}
		m.elements[p] = m.order.PushFront(p)
		added = append(added, p)
	}
	for len(m.elements) > m.capacity {
		oldest := m.order.Back()
		p, _ := oldest.Value.(coltscache.Piece)
		m.order.Remove(oldest)
		delete(m.elements, p)
		evicted = append(evicted, p)
	}
	return added, evicted
}

// clear forgets everything.
func (m *pieceMemory) clear() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.order.Init()
	clear(m.elements)
}

// contentOf returns the content that a piece of this name has.
func contentOf(p coltscache.Piece) []byte {
	sum := sha256.Sum256(p[:])
	return sum[:]
}

// digestOf returns the digest that goes with a content.
func digestOf(content []byte) [sha256.Size]byte {
	return sha256.Sum256(content)
}
