// Package coltsusage is the aggregate of the usage and charges of organisations.
package coltsusage

// Entries report usage in numbered batches. A batch that was received before is
// ignored, so an entry that got no acknowledgement can send the same batch again.

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

// tokensPerPriceUnit is the number of tokens that a model's price is for.
const tokensPerPriceUnit = 1000

// Amounts holds the quantities and the charge of a usage line.
type Amounts struct {
	// Requests is a number of requests.
	Requests int64
	// Computed is the number of prompt tokens that were computed, Reused the number of
	// prompt tokens that came from a cache, and Generated the number of answer tokens.
	Computed  int64
	Reused    int64
	Generated int64
	// Micros is the charge in millionths of the currency unit.
	Micros int64
}

// Plus returns the sum of a and b, field by field.
func (a Amounts) Plus(b Amounts) Amounts {
	return Amounts{
		Requests:  a.Requests + b.Requests,
		Computed:  a.Computed + b.Computed,
		Reused:    a.Reused + b.Reused,
		Generated: a.Generated + b.Generated,
		Micros:    a.Micros + b.Micros,
	}
}

// Line is the usage of one model or service by one organisation.
type Line struct {
	Organisation coltsidentity.Organisation
	// Item is the name of the model or service.
	Item    string
	Amounts Amounts
}

// Batch is a numbered usage report of one entry.
type Batch struct {
	Instance coltsidentity.Instance
	// Started is when the reporting process started. A restarted process numbers its
	// batches from 1 again.
	Started time.Time
	// Number increases by one with each batch of a process, starting at 1.
	Number uint64
	Lines  []Line
}

// Tokens holds the numbers of tokens of one request, with the meanings that they have
// in Amounts.
type Tokens struct {
	Computed  int64
	Reused    int64
	Generated int64
}

// Prices holds the prices per thousand tokens, in millionths of the currency unit.
type Prices struct {
	Computed  int64
	Reused    int64
	Generated int64
}

// Cost returns the cost of the tokens in millionths of the currency unit, rounded down.
func Cost(t Tokens, p Prices) int64 {
	return (t.Computed*p.Computed + t.Reused*p.Reused + t.Generated*p.Generated) / tokensPerPriceUnit
}

// Account holds the total usage of each organisation, sharded by organisation, and the
// number of the newest batch of each instance. It is safe for concurrent use.
type Account struct {
	shards  [coltsshard.Count]accountShard
	sources sourceTable
}

type accountShard struct {
	mu     sync.Mutex
	totals map[lineKey]Amounts
}

type lineKey struct {
	organisation coltsidentity.Organisation
	item         string
}

// Source identifies a reporting process and the newest batch received from it.
type Source struct {
	Instance coltsidentity.Instance
	Started  time.Time
	Number   uint64
}

// sourceTable holds the newest batch of each instance.
type sourceTable struct {
	mu     sync.Mutex
	newest map[coltsidentity.Instance]Source
}

// NewAccount returns an empty account.
func NewAccount() *Account {
	a := &Account{sources: sourceTable{newest: map[coltsidentity.Instance]Source{}}}
	for i := range a.shards {
		a.shards[i].totals = map[lineKey]Amounts{}
	}
	return a
}

// AddBatch adds the lines of a batch, unless the batch was received before, and reports
// whether it was new.
func (a *Account) AddBatch(b Batch) bool {
	if !a.sources.advance(b) {
		return false
	}
	for _, line := range b.Lines {
		a.Add(line)
	}
	return true
}

// Add adds one line. Unlike AddBatch, it doesn't detect duplicates; it is for charges
// that are made idempotent elsewhere.
func (a *Account) Add(line Line) {
	a.shards[coltsshard.Of(line.Organisation)].add(line)
}

func (s *accountShard) add(line Line) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := lineKey{organisation: line.Organisation, item: line.Item}
	s.totals[k] = s.totals[k].Plus(line.Amounts)
}

// Spend returns all lines, sorted by organisation and item.
func (a *Account) Spend() []Line {
	var lines []Line
	for i := range a.shards {
		lines = append(lines, a.shards[i].list()...)
	}
	slices.SortFunc(lines, compareLines)
	return lines
}

func compareLines(a, b Line) int {
	return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Item, b.Item))
}

func (s *accountShard) list() []Line {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.linesLocked()
}

// take returns the lines and resets the shard.
func (s *accountShard) take() []Line {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := s.linesLocked()
	s.totals = map[lineKey]Amounts{}
	return lines
}

func (s *accountShard) linesLocked() []Line {
	lines := make([]Line, 0, len(s.totals))
	for k, amounts := range s.totals {
		lines = append(lines, Line{Organisation: k.organisation, Item: k.item, Amounts: amounts})
	}
	return lines
}

// advance records a batch as the newest of its instance and reports whether it is newer
// than the previous one. A batch of an earlier process of the instance is not newer.
func (t *sourceTable) advance(b Batch) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest, known := t.newest[b.Instance]
	if known && b.Started.Before(newest.Started) {
		return false
	}
	if known && b.Started.Equal(newest.Started) && b.Number <= newest.Number {
		return false
	}
	t.newest[b.Instance] = Source{Instance: b.Instance, Started: b.Started, Number: b.Number}
	return true
}

func (t *sourceTable) list() []Source {
	t.mu.Lock()
	defer t.mu.Unlock()
	sources := make([]Source, 0, len(t.newest))
	for _, s := range t.newest {
		sources = append(sources, s)
	}
	slices.SortFunc(sources, func(a, b Source) int { return cmp.Compare(a.Instance, b.Instance) })
	return sources
}

// Export returns all lines and the newest batch of each instance, for a snapshot.
func (a *Account) Export() ([]Line, []Source) {
	return a.Spend(), a.sources.list()
}

// Import replaces the account's state with that of a snapshot.
func (a *Account) Import(lines []Line, sources []Source) {
	for i := range a.shards {
		a.shards[i].clear()
	}
	for _, line := range lines {
		a.Add(line)
	}
	a.sources.replace(sources)
}

func (s *accountShard) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totals = map[lineKey]Amounts{}
}

func (t *sourceTable) replace(sources []Source) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.newest = make(map[coltsidentity.Instance]Source, len(sources))
	for _, s := range sources {
		t.newest[s.Instance] = s
	}
}
