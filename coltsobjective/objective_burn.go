// Package coltsobjective counts the requests that meet service level objectives
// and computes the burn rate of the error budgets.
package coltsobjective

// Comparing the burn rates over short and long windows distinguishes a spike from
// a trend. Each window is a ring of twelve buckets, so a series takes a few hundred
// bytes regardless of the lengths of the windows.

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

// perMilleScale is 100%, in thousandths.
const perMilleScale = 1000

// Windows are the lengths of the windows over which requests are counted, shortest
// first.
var Windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// Series identifies a time series of counts: the requests of one organisation to
// one model, measured against one objective.
type Series struct {
	Objective    string
	Organisation coltsidentity.Organisation
	Model        coltsidentity.Model
}

// Counts holds the numbers of requests that met and missed an objective.
type Counts struct {
	// Good is the number of requests that met the objective.
	Good int64
	// Bad is the number of requests that missed it.
	Bad int64
}

// Plus returns the sum of c and o.
func (c Counts) Plus(o Counts) Counts {
	return Counts{Good: c.Good + o.Good, Bad: c.Bad + o.Bad}
}

// Row is one row of the burn report.
type Row struct {
	Series Series
	// Counts holds the counts in each window, in the order of Windows.
	Counts [len(Windows)]Counts
}

// BurnRate returns the share of bad requests divided by the share that the
// objective allows: a rate of 1 consumes the error budget exactly, and a higher
// rate exceeds it. perMille is the target share of good requests, in thousandths.
// BurnRate returns 0 if nothing was counted or no errors are allowed.
func BurnRate(c Counts, perMille int) float64 {
	total := c.Good + c.Bad
	allowed := float64(perMilleScale-perMille) / perMilleScale
	if total == 0 || allowed <= 0 {
		return 0
	}
	return float64(c.Bad) / float64(total) / allowed
}

// Recorder counts requests per series. Its state is sharded by organisation, and
// its methods may be called concurrently.
type Recorder struct {
	shards [coltsshard.Count]recorderShard
}

type recorderShard struct {
	mu     sync.Mutex
	series map[Series]*windowRings
}

// windowRings holds one ring for each of Windows.
type windowRings [len(Windows)]ring

// ring holds the counts of the most recent buckets of a window. The bucket with
// number n is at index n modulo bucketsPerWindow.
type ring struct {
	buckets [bucketsPerWindow]bucket
}

type bucket struct {
	// number is the number of bucket durations between the Unix epoch and the start
	// of the bucket.
	number int64
	counts Counts
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	r := &Recorder{}
	for i := range r.shards {
		r.shards[i].series = map[Series]*windowRings{}
	}
	return r
}

// RecordFirstToken counts a request as good or bad for each objective that applies to
// its model, depending on whether the time to first token was within the limit of
// the objective.
func (r *Recorder) RecordFirstToken(
	objectives []coltsdocument.Objective, org coltsidentity.Organisation, model coltsidentity.Model,
	timeToFirstToken time.Duration, now time.Time,
) {
	for _, o := range objectives {
		if o.Model != "" && o.Model != model {
			continue
		}
		counts := Counts{Bad: 1}
		if timeToFirstToken <= o.MaxTimeToFirstToken {
			counts = Counts{Good: 1}
		}
		r.add(Series{Objective: o.Name, Organisation: org, Model: model}, counts, now)
	}
}

func (r *Recorder) add(series Series, counts Counts, now time.Time) {
	s := &r.shards[coltsshard.Of(series.Organisation)]
	s.mu.Lock()
	defer s.mu.Unlock()
	rings, known := s.series[series]
	if !known {
		rings = &windowRings{}
		s.series[series] = rings
	}
	for i := range rings {
		rings[i].add(bucketNumber(i, now), counts)
	}
}

// Rows returns the counts of every series, in the order of SortRows.
func (r *Recorder) Rows(now time.Time) []Row {
	var rows []Row
	for i := range r.shards {
		rows = append(rows, r.shards[i].rows(now)...)
	}
	SortRows(rows)
	return rows
}

// SortRows sorts rows by objective, organisation and model.
func SortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(a.Series.Objective, b.Series.Objective),
			cmp.Compare(a.Series.Organisation, b.Series.Organisation),
			cmp.Compare(a.Series.Model, b.Series.Model),
		)
	})
}

// Merge sums the rows of several instances by series and returns the sums in the
// order of SortRows.
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
	for series, rings := range s.series {
		row := Row{Series: series}
		for i := range rings {
			row.Counts[i] = rings[i].sum(bucketNumber(i, now))
		}
		rows = append(rows, row)
	}
	return rows
}

// bucketNumber returns the number of the bucket that contains t, for the window
// with the given index in Windows.
func bucketNumber(window int, t time.Time) int64 {
	bucketDuration := Windows[window] / bucketsPerWindow
	return t.UnixNano() / int64(bucketDuration)
}

// add adds counts to the bucket with the given number. If the ring still holds an
// older bucket at its index, that bucket is dropped.
func (r *ring) add(number int64, counts Counts) {
	b := &r.buckets[number%bucketsPerWindow]
	if b.number != number {
		*b = bucket{number: number}
	}
	b.counts = b.counts.Plus(counts)
}

// sum returns the sum of the buckets in the window whose last bucket has the given
// number.
func (r *ring) sum(number int64) Counts {
	var sum Counts
	for _, b := range r.buckets {
		if b.number > number-bucketsPerWindow && b.number <= number {
			sum = sum.Plus(b.counts)
		}
	}
	return sum
}
