package coltstrade

// A transfer between a runner and a store uses the links of both. A link carries one
// transfer after another and is busy for the time that the bytes take at its rate, or twice
// that time if the transfer is between data centres. A store's link is faster than a
// runner's, so that several runners can share it.

import "time"

// maxTransferWait is the longest time that a transfer may wait for its links. A transfer
// that would wait longer is not started.
const maxTransferWait = 2 * time.Second

// link is the network link of one runner or store.
type link struct {
	bitsPerSecond float64
	// freeAt is when the last accepted transfer has left the link.
	freeAt time.Time
	// busyTime is the total time for which the link has been used.
	busyTime time.Duration
}

// transferTime returns how long a number of bytes occupies the link.
func (l *link) transferTime(bytes float64, crossDataCentre bool) time.Duration {
	d := time.Duration(bytes * 8 / l.bitsPerSecond * float64(time.Second))
	if crossDataCentre {
		d *= 2
	}
	return d
}

// transfer schedules a transfer on both links and returns when it ends. It returns false if
// the transfer would wait for longer than maxTransferWait.
func transfer(
	a, b *link, bytes float64, latency time.Duration, crossDataCentre bool, now time.Time,
) (time.Time, bool) {
	for _, l := range []*link{a, b} {
		if l.freeAt.Sub(now) > maxTransferWait {
			return time.Time{}, false
		}
	}
	end := now
	for _, l := range []*link{a, b} {
		if l.freeAt.Before(now) {
			l.freeAt = now
		}
		d := l.transferTime(bytes, crossDataCentre)
		l.freeAt = l.freeAt.Add(d)
		l.busyTime += d
		if l.freeAt.After(end) {
			end = l.freeAt
		}
	}
	return end.Add(latency), true
}
