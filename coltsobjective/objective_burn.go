// Package coltsobjective counts how well objectives are kept and how fast their
// error budgets burn.
package coltsobjective

// The burn rate over a short and a long window tells a spike from a trend. Each
// window is a ring of a dozen buckets, so that a series costs a few hundred
// bytes however long its window is.

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

// bucketsPerWindow is the number of buckets in each window's ring.
const bucketsPerWindow = 12

// perMilleWhole is the whole, in thousandths.
const perMilleWhole = 1000

// Windows are the spans over which burn is reported, the shortest first.
var Windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// Series names what is counted.
type Series struct {
	Objective    string
	Organisation coltsidentity.Organisation
	Model        coltsidentity.Model
}

// Counts are requests that kept an objective and those that did not.
type Counts struct {
	Good int64
	Bad  int64
}

// Plus returns the sum of both.
func (c Counts) Plus(o Counts) Counts {
	return Counts{Good: c.Good + o.Good, Bad: c.Bad + o.Bad}
}

// Row is one line of the burn report.
type Row struct {
	Series Series
	// Counts are over the windows, in the order of Windows.
	Counts [len(Windows)]Counts
}

// BurnRate returns how many times faster than allowed the error budget burns:
// 1 uses it up exactly; 0 if nothing was counted.
func BurnRate(c Counts, perMille int) float64 {
	total := c.Good + c.Bad
	allowed := float64(perMilleWhole-perMille) / perMilleWhole
	if total == 0 || allowed <= 0 {
		return 0
	}
	return float64(c.Bad) / float64(total) / allowed
}

// Recorder counts, in shards by organisation.
type Recorder struct {
	shards [coltsshard.Count]recorderShard
}

type recorderShard struct {
	mu     sync.Mutex
	series map[Series]*rings
}

type rings [len(Windows)]ring

type ring struct {
	buckets [bucketsPerWindow]bucket
}

type bucket struct {
	// number counts the buckets since the Unix epoch.
	number int64
	counts Counts
}

// NewRecorder returns a recorder that has counted nothing.
func NewRecorder() *Recorder {
	r := &Recorder{}
	for i := range r.shards {
		r.shards[i].series = map[Series]*rings{}
	}
	return r
}

// RecordFirstToken counts a request against each objective that covers its model.
func (r *Recorder) RecordFirstToken(
	objectives []coltsdocument.Objective, org coltsidentity.Organisation, model coltsidentity.Model,
	took time.Duration, now time.Time,
) {
	for _, o := range objectives {
		if o.Model != "" && o.Model != model {
			continue
		}
		counts := Counts{Bad: 1}
		if took <= o.MaxTimeToFirstToken {
			counts = Counts{Good: 1}
		}
		r.add(Series{Objective: o.Name, Organisation: org, Model: model}, counts, now)
	}
}

func (r *Recorder) add(series Series, counts Counts, now time.Time) {
	s := &r.shards[coltsshard.Of(series.Organisation)]
	s.mu.Lock()
	defer s.mu.Unlock()
	w, known := s.series[series]
	if !known {
		w = &rings{}
		s.series[series] = w
	}
	for i := range w {
		w[i].add(bucketNumber(i, now), counts)
	}
}

// Rows returns the counts of every series, in the order of their names.
func (r *Recorder) Rows(now time.Time) []Row {
	var rows []Row
	for i := range r.shards {
		rows = append(rows, r.shards[i].rows(now)...)
	}
	SortRows(rows)
	return rows
}

// SortRows puts rows in the order of objective, organisation and model.
func SortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(a.Series.Objective, b.Series.Objective),
			cmp.Compare(a.Series.Organisation, b.Series.Organisation),
			cmp.Compare(a.Series.Model, b.Series.Model),
		)
	})
}

// Merge adds up rows of the same series from several instances.
func Merge(lists ...[]Row) []Row {
	sums := map[Series]Row{}
	for _, rows := range lists {
		for _, row := range rows {
			sum := sums[row.Series]
			sum.Series = row.Series
			for i := range sum.Counts {
				sum.Counts[i] = sum.Counts[i].Plus(row.Counts[i])
			}
			sums[row.Series] = sum
		}
	}
	merged := make([]Row, 0, len(sums))
	for _, row := range sums {
		merged = append(merged, row)
	}
	SortRows(merged)
	return merged
}

func (s *recorderShard) rows(now time.Time) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make([]Row, 0, len(s.series))
	for series, w := range s.series {
		row := Row{Series: series}
		for i := range w {
			row.Counts[i] = w[i].sum(bucketNumber(i, now))
		}
		rows = append(rows, row)
	}
	return rows
}

// bucketNumber returns the number of the bucket of a window that holds a time.
func bucketNumber(window int, t time.Time) int64 {
	span := Windows[window] / bucketsPerWindow
	return t.UnixNano() / int64(span)
}

func (r *ring) add(number int64, counts Counts) {
	b := &r.buckets[number%bucketsPerWindow]
	if b.number != number {
		*b = bucket{number: number}
	}
	b.counts = b.counts.Plus(counts)
}

// sum adds up the buckets of the window that ends with the given one.
func (r *ring) sum(number int64) Counts {
	var sum Counts
	for _, b := range r.buckets {
		if b.number > number-bucketsPerWindow && b.number <= number {
			sum = sum.Plus(b.counts)
		}
	}
	return sum
}
