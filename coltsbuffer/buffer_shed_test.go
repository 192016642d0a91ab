package coltsbuffer

// Guards against a crowd of unfinished requests that takes the place of callers that make progress.

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestChoose(t *testing.T) {
	now := time.Unix(1000, 0)
	pace := Pace{Grace: 500 * time.Millisecond, BytesPerSecond: 256 << 10}
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	holders := []Holder{
		{PhaseReading, ago(4 * time.Second), 3 << 20, 4 << 20},
		{PhaseServing, ago(9 * time.Second), 10, 1 << 20},
		{PhaseReading, ago(5 * time.Second), 300, 100},
		{PhaseReading, ago(3 * time.Second), 400 << 10, 1 << 20},
		{PhaseIdle, ago(time.Second), 0, 100},
		{PhaseIdle, ago(2 * time.Second), 0, 100},
		{PhaseReading, ago(100 * time.Millisecond), 1, 1 << 20},
		{PhaseShed, ago(5 * time.Second), 1, 1 << 20},
		{PhaseIdle, ago(time.Millisecond), 0, 0},
	}
	for name, c := range map[string]struct {
		need Need
		want []int
	}{
		"nothing":                      {Need{}, nil},
		"the longest idle one":         {Need{Bytes: 100}, []int{5}},
		"the newest stalled one":       {Need{Bytes: 300}, []int{5, 4, 3}},
		"the one with least progress":  {Need{Connections: 4}, []int{5, 4, 8, 2}},
		"no more than are idle, stuck": {Need{Bytes: 100 << 20, Connections: 100}, []int{5, 4, 8, 2, 3}},
	} {
		t.Run("a need ends "+name, func(t *testing.T) {
			assert.DeepEqual(t, append([]int(nil), Choose(holders, c.need, pace, now)...), c.want)
		})
	}
}

func TestPace(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name     string
		received int
		age      time.Duration
		stalled  bool
	}{
		{"a request in its grace does not end", 2 << 10, time.Second, false},
		{"a request without progress ends", 2 << 10, 1100 * time.Millisecond, true},
		{"a request that arrives fast does not end", 4 << 20, 4 * time.Second, false},
		{"a request that arrived fast and stopped ends", 1 << 20, 2100 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := Holder{Phase: PhaseReading, Since: start, Received: c.received, Held: c.received}
			assert.Equal(t, h.isStalled(Pace{Grace: time.Second, BytesPerSecond: 1 << 20}, start.Add(c.age)), c.stalled)
		})
	}
}

func TestLimitsOfMachines(t *testing.T) {
	for _, memory := range []int{96_000_000, 184_000_000, 444_000_000} {
		cfg := ForMemory(memory)
		assert.Assert(t, baseBytes+bytesPerLiveByte*cfg.Limit <= memory)
		assert.Assert(t, RuntimeLimit(memory) > cfg.Limit*3/2)
	}
	assert.Assert(t, 4096*ConnectionBytes <= ForMemory(184_000_000).Limit)
	assert.Equal(t, ForMemory(0).Limit, minBudgetBytes)
	assert.Assert(t, MaxConnections(10_762) > 4096)
	assert.Assert(t, MaxConnections(0) == 1)
}

func TestMakeRoom(t *testing.T) {
	var asked []int
	var first *Share
	b := New(Config{Limit: 1000, MakeRoom: func(size int) {
		asked = append(asked, size)
		first.Release()
	}})
	first = b.NewShare()
	assert.NilError(t, first.Grow(700))
	second := b.NewShare()
	assert.ErrorContains(t, second.TryGrow(600), "does not fit")
	assert.NilError(t, second.Grow(600))
	assertExhausted(t, second, 1001)
	assert.DeepEqual(t, asked, []int{600, 1001})
}

func TestReserve(t *testing.T) {
	b := New(Config{Limit: 10 * ShortBytes, Reserve: 2 * ShortBytes})
	long, short := b.NewShare(), b.NewShare()
	assert.NilError(t, long.Grow(8*ShortBytes))
	assertExhausted(t, long, 8*ShortBytes+1)
	assert.NilError(t, short.Grow(ShortBytes))
	second := b.NewShare()
	assert.NilError(t, second.Grow(ShortBytes))
	assertExhausted(t, b.NewShare(), 1)
	third := b.NewShare()
	third.Overdraw(ShortBytes)
	third.Release()
	assert.Equal(t, b.Used(), b.Limit())
}
