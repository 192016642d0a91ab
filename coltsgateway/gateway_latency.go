package coltsgateway

// Latencies are kept as histograms by route and by what was measured, so that a tail
// can be read from the metrics address.

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coltsfootstall/coltsshard"
)

const (
	// latencyMost and latencyDigits are the range and the precision of a histogram.
	latencyMost   = int64(2 * time.Minute / time.Microsecond)
	latencyDigits = 2
)

// latencies holds a histogram for each series, in shards by name.
type latencies struct {
	shards [coltsshard.Count]latencyShard
}

type latencyShard struct {
	mu     sync.Mutex
	series map[string]*hdrhistogram.Histogram
}

func newLatencies() *latencies {
	l := &latencies{}
	for i := range l.shards {
		l.shards[i].series = map[string]*hdrhistogram.Histogram{}
	}
	return l
}

// record adds one latency to a series.
func (l *latencies) record(series string, span time.Duration) {
	s := &l.shards[coltsshard.Of(series)]
	s.mu.Lock()
	defer s.mu.Unlock()
	h, known := s.series[series]
	if !known {
		h = hdrhistogram.New(1, latencyMost, latencyDigits)
		s.series[series] = h
	}
	// A value beyond the range is left out; no request lasts that long.
	_ = h.RecordValue(max(1, int64(span/time.Microsecond)))
}

// latencyRow is one series as it is shown; times are in microseconds.
type latencyRow struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50-micros"`
	P95   int64 `json:"p95-micros"`
	P99   int64 `json:"p99-micros"`
	Max   int64 `json:"max-micros"`
}

func (l *latencies) json() []byte {
	rows := map[string]latencyRow{}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for name, h := range s.series {
			rows[name] = latencyRow{
				Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95),
				P99: h.ValueAtQuantile(99), Max: h.Max(),
			}
		}
		s.mu.Unlock()
	}
	// A map of numbers always encodes.
	text, _ := json.Marshal(rows)
	return text
}
