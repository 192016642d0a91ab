package coltsstore

// Entry instances report their fetches to the leader, which owns the catalogue, so that
// it does not evict parts that are in use.

import "sync"

// maxPendingFetches is the largest number of fetches that wait to be reported; further ones
// are not recorded.
const maxPendingFetches = 512

// fetchLog holds the fetches that have not been reported to the leader yet.
type fetchLog struct {
	mu      sync.Mutex
	fetches []Change
}

func (l *fetchLog) add(c Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.fetches) < maxPendingFetches {
		l.fetches = append(l.fetches, c)
	}
}

// TakeFetches returns the fetches since the last call and clears them. Only the store and
// key of each are set. A fetch that is lost on the way to the leader only makes its part
// look less recently used.
func (d *Directory) TakeFetches() []Change {
	d.fetches.mu.Lock()
	defer d.fetches.mu.Unlock()
	fetches := d.fetches.fetches
	d.fetches.fetches = nil
	return fetches
}
