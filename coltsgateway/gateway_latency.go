package coltsgateway

// Latencies are recorded in histograms by route and kind of measurement, so that tail
// latencies can be read from the operator address.

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coltsfootstall/coltsshard"
)

const (
	// maxLatencyMicros is the highest latency of a histogram in microseconds,
	// latencySignificantDigits its precision in significant digits.
	maxLatencyMicros         = int64(2 * time.Minute / time.Microsecond)
	latencySignificantDigits = 2
)

// latencies holds a histogram for each series, sharded by name.
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
func (l *latencies) record(series string, latency time.Duration) {
	s := &l.shards[coltsshard.Of(series)]
	s.mu.Lock()
	defer s.mu.Unlock()
	h, known := s.series[series]
	if !known {
		h = hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits)
		s.series[series] = h
	}
	// RecordValue fails only for a value beyond the histogram's range, which is left out; no
	// request lasts that long.
	_ = h.RecordValue(max(1, int64(latency/time.Microsecond)))
}

// latencyRow is the JSON form of one series; latencies are in microseconds.
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
	// Encoding a map of integers can't fail.
	text, _ := json.Marshal(rows)
	return text
}
