package coltsbuffer

// Which connections or bodies end when memory or descriptors are short: first those that are idle, then those
// whose request makes no progress. A request that is being served is never chosen.

import (
	"cmp"
	"slices"
	"time"
)

// Pace is the progress that a request must show while it is being read.
type Pace struct {
	// Grace is the age up to which a request need not show any.
	Grace time.Duration
	// BytesPerSecond is the least progress, counted from the beginning of the request, so that a byte now
	// and then is none.
	BytesPerSecond int
}

// Phase is what a connection is doing.
type Phase int32

// The phases of a connection.
const (
	PhaseIdle Phase = iota
	PhaseReading
	PhaseServing
	PhaseShed
)

// Holder is what is known of a connection.
type Holder struct {
	Phase Phase
	// Since is when the phase began.
	Since time.Time
	// Received is the number of bytes of the request that have arrived, Held the number that the
	// connection takes of the budget.
	Received int
	Held     int
}

// bytesPerSecond returns how fast the request has arrived.
func (h Holder) bytesPerSecond(now time.Time) float64 {
	return float64(h.Received) / max(now.Sub(h.Since), time.Millisecond).Seconds()
}

// isStalled reports whether the holder's request makes too little progress.
func (h Holder) isStalled(pace Pace, now time.Time) bool {
	return h.Phase == PhaseReading && now.Sub(h.Since) > pace.Grace && h.bytesPerSecond(now) < float64(pace.BytesPerSecond)
}

// Need is what is short.
type Need struct {
	Bytes       int
	Connections int
}

// Choose returns the indices of the holders that are to end so that what is needed becomes free, as far
// as there are any. Idle ones come first, the longest idle one first. Stalled ones follow: if
// connections are needed the one with the least progress first, otherwise the newest first.
func Choose(holders []Holder, need Need, pace Pace, now time.Time) []int {
	var candidates []int
	for i, h := range holders {
		// One that holds nothing frees only a descriptor.
		frees := h.Held > 0 || need.Connections > 0
		if frees && (h.Phase == PhaseIdle || h.isStalled(pace, now)) {
			candidates = append(candidates, i)
		}
	}
	slices.SortStableFunc(candidates, func(i, j int) int {
		a, b := holders[i], holders[j]
		switch {
		case a.Phase != b.Phase:
			return cmp.Compare(a.Phase, b.Phase)
		case a.Phase == PhaseIdle:
			return a.Since.Compare(b.Since)
		case need.Connections > 0:
			return cmp.Compare(a.bytesPerSecond(now), b.bytesPerSecond(now))
		}
		return b.Since.Compare(a.Since)
	})
	bytes := 0
	for n, i := range candidates {
		if bytes >= need.Bytes && n >= need.Connections {
			return candidates[:n]
		}
		bytes += holders[i].Held
	}
	return candidates
}
