package coltsstore

// What is fetched is told to the catalogue's owner, so that the parts that are asked for
// stay.

import "sync"

// mostFetches bounds the fetches that wait to be told.
const mostFetches = 512

// fetchLog holds the fetches that the catalogue's owner was not told of.
type fetchLog struct {
	mu      sync.Mutex
	fetches []Change
}

func (l *fetchLog) add(c Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.fetches) < mostFetches {
		l.fetches = append(l.fetches, c)
	}
}

// TakeFetches returns what was fetched since the last call. What its owner is not told of
// only seems less used.
func (d *Directory) TakeFetches() []Change {
	d.fetches.mu.Lock()
	defer d.fetches.mu.Unlock()
	fetches := d.fetches.fetches
	d.fetches.fetches = nil
	return fetches
}
