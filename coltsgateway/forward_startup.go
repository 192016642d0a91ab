package coltsgateway

// An instance that has just started has no route table for a moment. Requests that arrive in
// that time wait for it instead of being refused: most can still be served on time, and
// refused callers would all retry at once.

import (
	"context"
	"time"

	"coltsfootstall/coltsroute"
)

const (
	// startupPeriod is how long after its start an instance lets callers wait for its first route
	// table. Starting the whole system takes about that long.
	startupPeriod = 3 * time.Second
	// tableWaitTimeout is how long a caller waits for the route table. An election and the
	// delivery of the table take less, and a caller refused after this time can still retry.
	tableWaitTimeout = 700 * time.Millisecond
)

// awaitTable returns the current route table, waiting for the first one after a start; nil if
// none arrives.
func (f *forwarding) awaitTable(now time.Time) *coltsroute.Index {
	table := f.g.routes.Current()
	if table != nil || now.After(f.g.startedAt.Add(startupPeriod)) {
		return table
	}
	ctx, cancel := context.WithTimeout(f.g.ctx, tableWaitTimeout)
	defer cancel()
	f.conn.nc.StartWatch(cancel)
	defer f.conn.nc.StopWatch()
	defer func() { f.waited += f.g.now().Sub(now) }()
	for {
		changed := f.g.routesChanged.Channel()
		if table = f.g.routes.Current(); table != nil {
			return table
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}
