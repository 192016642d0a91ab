package coltsgateway

// An instance that has just started knows no route table for a moment. Who comes then is
// kept waiting for it rather than sent away: most can still be on time, and all that are
// sent away would come back at once.

import (
	"context"
	"time"

	"coltsfootstall/coltsroute"
)

const (
	// youngTime is how long after its start an instance keeps callers waiting for its
	// first route table: the start of the whole system takes about that long.
	youngTime = 3 * time.Second
	// startPatience is how long a caller is kept waiting: an election and the way of
	// the table take less, and callers are refused early enough to come again.
	startPatience = 700 * time.Millisecond
)

// awaitTable returns the route table in force, nil if there is none yet.
func (f *forwarding) awaitTable(now time.Time) *coltsroute.Index {
	table := f.g.routes.Current()
	if table != nil || now.After(f.g.started.Add(youngTime)) {
		return table
	}
	ctx, cancel := context.WithTimeout(f.g.running, startPatience)
	defer cancel()
	f.conn.nc.Watch(cancel)
	defer f.conn.nc.Unwatch()
	defer func() { f.waited += f.g.now().Sub(now) }()
	for {
		known := f.g.known.Channel()
		if table = f.g.routes.Current(); table != nil {
			return table
		}
		select {
		case <-ctx.Done():
			return nil
		case <-known:
		}
	}
}
