package coltstrade

// A managed store drops nothing by itself: what finds no room is lost.

import (
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsstore"
)

// keptStore is one store.
type keptStore struct {
	service coltsroute.Service
	link    link
	used    int
	// held are the parts that are whole; reserved those that have a place.
	held     map[coltsstore.Key]int
	reserved map[coltsstore.Key]int
}

func newStore(name string, kind StoreKind, dataCentre coltsidentity.DataCentre) *keptStore {
	return &keptStore{
		service: coltsroute.Service{Name: coltsidentity.Service(name), Store: &coltsroute.Store{
			DataCentre: dataCentre, CacheTokens: kind.CacheTokens, LinkBitsPerSecond: kind.LinkBitsPerSecond,
			Managed: true, Latency: kind.Latency,
		}},
		link: link{bitsPerSecond: kind.LinkBitsPerSecond},
		held: map[coltsstore.Key]int{}, reserved: map[coltsstore.Key]int{},
	}
}

// reserve makes room for a part that will be written.
func (s *keptStore) reserve(key coltsstore.Key, tokens int) bool {
	if _, has := s.reserved[key]; has || s.used+tokens > s.service.Store.CacheTokens {
		return false
	}
	s.used += tokens
	s.reserved[key] = tokens
	return true
}

// free drops parts.
func (s *keptStore) free(keys []coltsstore.Key) {
	for _, key := range keys {
		s.used -= s.reserved[key]
		delete(s.reserved, key)
		delete(s.held, key)
	}
}

// latency is what each transfer waits besides its bytes.
func (s *keptStore) latency() time.Duration { return s.service.Store.Latency }
