package coltsbalance

// An upstream that is slowed, or that reads prompts one after another, shows it in the
// pauses of its streams long before any report. Every instance measures the streams that
// it passes on.

import (
	"time"

	"coltsfootstall/coltsshard"
)

const (
	// gapWeight is the weight of the newest pause in the usual one: some ten pauses
	// count, a few tenths of a second of a busy upstream.
	gapWeight = 0.1
	// gapFor is how long a measured pace counts: neighbours slow an upstream for
	// moments only.
	gapFor = time.Second
	// mostPace bounds how many times slower than the others an upstream may count.
	mostPace = 4
)

// Paced takes in the time between two events of a choice's stream.
func (b *Balancer) Paced(c Choice, gap time.Duration, now time.Time) {
	s := &b.shards[coltsshard.Of(c.Upstream.ID)]
	s.mu.Lock()
	defer s.mu.Unlock()
	u, known := s.upstreams[c.Upstream.ID]
	if !known {
		return
	}
	if now.After(u.gapUntil) {
		u.gap = gap
	}
	u.gap += time.Duration(gapWeight * float64(gap-u.gap))
	u.gapUntil = now.Add(gapFor)
}

// setPaces works out how many times slower than the average each candidate is.
func setPaces(all []candidate) {
	var sum time.Duration
	n := 0
	for _, c := range all {
		if c.gap > 0 {
			sum += c.gap
			n++
		}
	}
	if n < 2 || sum == 0 {
		return
	}
	for i, c := range all {
		if c.gap > 0 {
			all[i].slower = min(mostPace, float64(c.gap)*float64(n)/float64(sum)) - 1
		}
	}
}
