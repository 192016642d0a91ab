package coltstrade

// A runner's link carries one transfer after another. A store's link is faster and is
// shared by several runners: a transfer takes its bytes' share of it. Between data centres
// a transfer takes twice as long.

import "time"

// mostWait is how long a transfer may wait for its links; a longer one is not begun.
const mostWait = 2 * time.Second

// link is one end's.
type link struct {
	bitsPerSecond float64
	freeAt        time.Time
	// carried is how long it has been busy.
	carried time.Duration
}

// takes is how long the link is busy with a number of bytes.
func (l *link) takes(bytes float64, far bool) time.Duration {
	d := time.Duration(bytes * 8 / l.bitsPerSecond * float64(time.Second))
	if far {
		d *= 2
	}
	return d
}

// transfer takes both links for a number of bytes and returns when it has ended; false if
// it would wait for too long.
func transfer(a, b *link, bytes float64, latency time.Duration, far bool, now time.Time) (time.Time, bool) {
	for _, l := range []*link{a, b} {
		if l.freeAt.Sub(now) > mostWait {
			return time.Time{}, false
		}
	}
	end := now
	for _, l := range []*link{a, b} {
		if l.freeAt.Before(now) {
			l.freeAt = now
		}
		busy := l.takes(bytes, far)
		l.freeAt = l.freeAt.Add(busy)
		l.carried += busy
		if l.freeAt.After(end) {
			end = l.freeAt
		}
	}
	return end.Add(latency), true
}
