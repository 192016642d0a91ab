// Package coltsusage is the aggregate of what organisations used and owe.
package coltsusage

// Entries report use in numbered batches. A batch whose number was seen before
// adds nothing, so an entry that lost the answer can send it again.

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

// tokensPerPrice is the number of tokens that a model's price is for.
const tokensPerPrice = 1000

// Amounts are the sums of one line of spend.
type Amounts struct {
	Requests int64
	// Computed and Reused are prompt tokens; Generated are answer tokens.
	Computed  int64
	Reused    int64
	Generated int64
	Micros    int64
}

// Plus returns the sum of both.
func (a Amounts) Plus(b Amounts) Amounts {
	return Amounts{
		Requests:  a.Requests + b.Requests,
		Computed:  a.Computed + b.Computed,
		Reused:    a.Reused + b.Reused,
		Generated: a.Generated + b.Generated,
		Micros:    a.Micros + b.Micros,
	}
}

// Line is the use of one model or service by one organisation.
type Line struct {
	Organisation coltsidentity.Organisation
	// Item is a model's or a service's name.
	Item    string
	Amounts Amounts
}

// Batch is a numbered report of one entry.
type Batch struct {
	Instance coltsidentity.Instance
	// Started is when the reporting process started: a restart begins anew.
	Started time.Time
	// Number rises by one with each batch of a process, from 1.
	Number uint64
	Lines  []Line
}

// Tokens are the tokens of one request.
type Tokens struct {
	Computed  int64
	Reused    int64
	Generated int64
}

// Prices are the prices of a thousand tokens, in millionths.
type Prices struct {
	Computed  int64
	Reused    int64
	Generated int64
}

// Cost returns what the tokens cost, rounded down to a millionth.
func Cost(t Tokens, p Prices) int64 {
	return (t.Computed*p.Computed + t.Reused*p.Reused + t.Generated*p.Generated) / tokensPerPrice
}

// Account holds the sums by organisation, in shards, and the numbers of the
// batches that were taken in.
type Account struct {
	shards  [coltsshard.Count]accountShard
	sources sourceTable
}

type accountShard struct {
	mu  sync.Mutex
	sum map[lineKey]Amounts
}

type lineKey struct {
	organisation coltsidentity.Organisation
	item         string
}

// Source is the newest batch of one process.
type Source struct {
	Instance coltsidentity.Instance
	Started  time.Time
	Number   uint64
}

type sourceTable struct {
	mu   sync.Mutex
	last map[coltsidentity.Instance]Source
}

// NewAccount returns an account in which all sums are zero.
func NewAccount() *Account {
	a := &Account{sources: sourceTable{last: map[coltsidentity.Instance]Source{}}}
	for i := range a.shards {
		a.shards[i].sum = map[lineKey]Amounts{}
	}
	return a
}

// AddBatch takes in a batch and says whether it was new.
func (a *Account) AddBatch(b Batch) bool {
	if !a.sources.advance(b) {
		return false
	}
	for _, line := range b.Lines {
		a.Add(line)
	}
	return true
}

// Add adds one line, for charges that are made idempotent elsewhere.
func (a *Account) Add(line Line) {
	a.shards[coltsshard.Of(line.Organisation)].add(line)
}

func (s *accountShard) add(line Line) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := lineKey{organisation: line.Organisation, item: line.Item}
	s.sum[k] = s.sum[k].Plus(line.Amounts)
}

// Spend returns every line, in the order of organisation and item.
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

// take returns the lines and begins anew.
func (s *accountShard) take() []Line {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := s.linesLocked()
	s.sum = map[lineKey]Amounts{}
	return lines
}

func (s *accountShard) linesLocked() []Line {
	lines := make([]Line, 0, len(s.sum))
	for k, sum := range s.sum {
		lines = append(lines, Line{Organisation: k.organisation, Item: k.item, Amounts: sum})
	}
	return lines
}

// advance says whether a batch follows the newest one of its process.
func (t *sourceTable) advance(b Batch) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, known := t.last[b.Instance]
	if known && b.Started.Before(last.Started) {
		return false
	}
	if known && b.Started.Equal(last.Started) && b.Number <= last.Number {
		return false
	}
	t.last[b.Instance] = Source{Instance: b.Instance, Started: b.Started, Number: b.Number}
	return true
}

func (t *sourceTable) list() []Source {
	t.mu.Lock()
	defer t.mu.Unlock()
	sources := make([]Source, 0, len(t.last))
	for _, s := range t.last {
		sources = append(sources, s)
	}
	slices.SortFunc(sources, func(a, b Source) int { return cmp.Compare(a.Instance, b.Instance) })
	return sources
}

// Export returns all sums and the newest batches, for a snapshot.
func (a *Account) Export() ([]Line, []Source) {
	return a.Spend(), a.sources.list()
}

// Import replaces the account's state by that of a snapshot.
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
	s.sum = map[lineKey]Amounts{}
}

func (t *sourceTable) replace(sources []Source) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last = make(map[coltsidentity.Instance]Source, len(sources))
	for _, s := range sources {
		t.last[s.Instance] = s
	}
}
