package coltsstandin

// A runner publishes cache events in batches, so entries receive them with a
// delay. With the drop-events fault they are lost.

import (
	"context"
	"sync"

	"coltsfootstall/coltscache"
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsloop"
)

// eventQueue collects the pieces added to and removed from a runner's memory since the
// last published event.
type eventQueue struct {
	mu      sync.Mutex
	added   []coltscache.Piece
	removed []coltscache.Piece
}

func (q *eventQueue) add(added, removed []coltscache.Piece) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.added = append(q.added, added...)
	q.removed = append(q.removed, removed...)
}

// take empties the queue into one event and reports whether the event has any content.
func (q *eventQueue) take(id coltsidentity.Upstream) (coltscodec.CacheEvent, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := coltscodec.CacheEvent{Upstream: id, Added: q.added, Removed: q.removed}
	q.added, q.removed = nil, nil
	return e, len(e.Added)+len(e.Removed) > 0
}

// sendEvents publishes the queued changes every eventPeriod until ctx ends.
func (r *Runner) sendEvents(ctx context.Context) {
	coltsloop.Every(ctx, eventPeriod, r.sendEvent)
}

func (r *Runner) sendEvent() {
	event, ok := r.events.take(r.cfg.ID)
	if !ok || r.Faults().DropEvents {
		return
	}
	body, err := coltscodec.EncodeCacheEvent(event)
	if err == nil {
		// A lost event is not sent again: entries must cope with gaps.
		_ = r.post(r.nextEntry(), coltscodec.PathEvents, body)
	}
}
