package coltsusage

// An entry adds up its charges and reports them periodically, so that a busy
// organisation costs the control plane one line per second and item instead of one
// per request.

import (
	"slices"
	"sync"

	"coltsfootstall/coltsshard"
)

// Meter adds up usage lines until they are taken, sharded by organisation. It is safe
// for concurrent use.
type Meter struct {
	shards [coltsshard.Count]accountShard
}

// NewMeter returns an empty meter.
func NewMeter() *Meter {
	m := &Meter{}
	for i := range m.shards {
		m.shards[i].totals = map[lineKey]Amounts{}
	}
	return m
}

// Add adds a line to the totals of its organisation and item.
func (m *Meter) Add(line Line) {
	m.shards[coltsshard.Of(line.Organisation)].add(line)
}

// Take returns the lines added since the last Take, sorted by organisation and item,
// and resets the meter.
func (m *Meter) Take() []Line {
	var lines []Line
	for i := range m.shards {
		lines = append(lines, m.shards[i].take()...)
	}
	slices.SortFunc(lines, compareLines)
	return lines
}

// Batcher turns the lines of a meter into numbered batches. A batch stays current until
// it is acknowledged, so that the same batch is sent again after a lost acknowledgement.
// It is safe for concurrent use.
type Batcher struct {
	mu      sync.Mutex
	meter   *Meter
	current Batch
}

// NewBatcher returns a batcher for the lines of meter. Every batch carries the instance
// and the start time of origin.
func NewBatcher(meter *Meter, origin Source) *Batcher {
	return &Batcher{meter: meter, current: Batch{Instance: origin.Instance, Started: origin.Started}}
}

// Next returns the batch to send and reports whether there is one.
func (b *Batcher) Next() (Batch, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.current.Lines) == 0 {
		b.current.Lines = b.meter.Take()
		b.current.Number++
	}
	if len(b.current.Lines) == 0 {
		b.current.Number--
		return Batch{}, false
	}
	return b.current, true
}

// Acknowledge records that the batch with the given number was received. It ignores a
// number that isn't that of the current batch.
func (b *Batcher) Acknowledge(number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current.Number == number {
		b.current.Lines = nil
	}
}
