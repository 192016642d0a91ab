package coltsusage

// An entry sums up what it charges and hands it over now and then, so that a
// busy organisation costs control one line a second and not one a request.

import (
	"slices"
	"sync"

	"coltsfootstall/coltsshard"
)

// Meter gathers lines until they are taken, in shards by organisation.
type Meter struct {
	shards [coltsshard.Count]accountShard
}

// NewMeter returns a meter that has gathered nothing.
func NewMeter() *Meter {
	m := &Meter{}
	for i := range m.shards {
		m.shards[i].sum = map[lineKey]Amounts{}
	}
	return m
}

// Add adds a line.
func (m *Meter) Add(line Line) {
	m.shards[coltsshard.Of(line.Organisation)].add(line)
}

// Take returns what was gathered and begins anew.
func (m *Meter) Take() []Line {
	var lines []Line
	for i := range m.shards {
		lines = append(lines, m.shards[i].take()...)
	}
	slices.SortFunc(lines, compareLines)
	return lines
}

// Batcher numbers what a meter gathered. A batch stays the current one until it
// was acknowledged, so that a lost answer leads to the same batch again.
type Batcher struct {
	mu      sync.Mutex
	meter   *Meter
	current Batch
}

// NewBatcher returns a batcher; origin names the process in every batch.
func NewBatcher(meter *Meter, origin Source) *Batcher {
	return &Batcher{meter: meter, current: Batch{Instance: origin.Instance, Started: origin.Started}}
}

// Next returns the batch to send and says whether there is one.
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

// Acknowledge takes in that a batch was taken in.
func (b *Batcher) Acknowledge(number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current.Number == number {
		b.current.Lines = nil
	}
}
