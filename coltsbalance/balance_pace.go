package coltsbalance

// The gaps between the events of an upstream's streams grow when it is slowed down or
// prefills prompts one after another. They can be measured long before any report of this
// arrives. Each instance measures the streams that it forwards.

import (
	"time"

	"coltsfootstall/coltsshard"
)

const (
	// gapSmoothing is the weight of the newest gap in the exponential moving average. The
	// average then covers about ten gaps, a few tenths of a second at a busy upstream.
	gapSmoothing = 0.1
	// gapTTL is how long a measured gap counts. It is short because noisy neighbours slow an
	// upstream down only briefly.
	gapTTL = time.Second
	// maxSlowdown caps the gap of an upstream, as a multiple of the average gap.
	maxSlowdown = 4
)

// RecordGap records the time between two events of the stream of a choice's request.
func (b *Balancer) RecordGap(c Choice, gap time.Duration, now time.Time) {
	s := &b.shards[coltsshard.Of(c.Upstream.ID)]
	s.mu.Lock()
	defer s.mu.Unlock()
	u, known := s.upstreams[c.Upstream.ID]
	if !known {
		return
	}
	u.heard(now)
	if now.After(u.gapUntil) {
		u.gap = gap
	}
	u.gap += time.Duration(gapSmoothing * float64(gap-u.gap))
	u.gapUntil = now.Add(gapTTL)
}

// setSlowdowns sets the slowdown of the candidates whose gap is known. It does nothing if
// there are fewer than two of them.
func setSlowdowns(candidates []candidate) {
	var sum time.Duration
	n := 0
	for _, c := range candidates {
		if c.gap > 0 {
			sum += c.gap
			n++
		}
	}
	if n < 2 || sum == 0 {
		return
	}
	for i, c := range candidates {
		if c.gap > 0 {
			candidates[i].slowdown = min(maxSlowdown, float64(c.gap)*float64(n)/float64(sum)) - 1
		}
	}
}
