package coltstrade

// A managed store does not evict parts by itself. A part that does not fit is not saved.

import (
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsstore"
)

// managedStore is one simulated store.
type managedStore struct {
	service coltsroute.Service
	link    link
	// usedTokens is the sum of the reserved parts.
	usedTokens int
	// reserved holds the tokens of all parts that have room in the store, complete those
	// of the parts among them that are completely written.
	complete map[coltsstore.Key]int
	reserved map[coltsstore.Key]int
}

func newStore(name string, kind StoreKind, dataCentre coltsidentity.DataCentre) *managedStore {
	return &managedStore{
		service: coltsroute.Service{Name: coltsidentity.Service(name), Store: &coltsroute.Store{
			DataCentre: dataCentre, CacheTokens: kind.CacheTokens, LinkBitsPerSecond: kind.LinkBitsPerSecond,
			Managed: true, Latency: kind.Latency,
		}},
		link:     link{bitsPerSecond: kind.LinkBitsPerSecond},
		complete: map[coltsstore.Key]int{}, reserved: map[coltsstore.Key]int{},
	}
}

// reserve reserves room for a part that is about to be written. It returns false if the
// part is already reserved or does not fit.
func (s *managedStore) reserve(key coltsstore.Key, tokens int) bool {
	if _, found := s.reserved[key]; found || s.usedTokens+tokens > s.service.Store.CacheTokens {
		return false
	}
	s.usedTokens += tokens
	s.reserved[key] = tokens
	return true
}

// free removes parts and their reservations.
func (s *managedStore) free(keys []coltsstore.Key) {
	for _, key := range keys {
		s.usedTokens -= s.reserved[key]
		delete(s.reserved, key)
		delete(s.complete, key)
	}
}

// latency returns the time that each transfer takes in addition to sending its bytes.
func (s *managedStore) latency() time.Duration { return s.service.Store.Latency }
