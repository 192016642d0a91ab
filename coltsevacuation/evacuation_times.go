package coltsevacuation

// An order's time is that of the clock of the instance that proposed it. How long ago an evacuation ended
// decides for how long upstreams count as cold, so each instance uses its own clock for what it has seen.

import "time"

// maxClockDifference is the greatest difference of two instances' clocks that is expected, and the time
// within which an order is applied unless it is restored from disk or caught up with.
const maxClockDifference = 10 * time.Second

// LocalTimes translates the times of changes to an instance's own clock. It is not safe for concurrent
// use.
type LocalTimes struct {
	// recorded is the state that was translated last, local the result.
	recorded, local State
}

// Translate returns a state with the times of the own clock. A change that was not in the state before
// took effect now if it is recent, and otherwise when it was recorded.
func (l *LocalTimes) Translate(recorded State, now time.Time) State {
	local := State{Revision: recorded.Revision}
	for _, e := range recorded.Evacuations {
		previous, known := l.recorded.find(e.DataCentre)
		switch {
		case known && previous.Ended == e.Ended && previous.ChangedAt.Equal(e.ChangedAt):
			e, _ = l.local.find(e.DataCentre)
		case now.Sub(e.ChangedAt) < maxClockDifference:
			e.ChangedAt = now
		}
		local.Evacuations = append(local.Evacuations, e)
	}
	l.recorded, l.local = recorded, local
	return local
}

// KeepTimes returns s with the times of known for the changes that known has already. The times that a reader
// derives from ages differ each time by the delays of replies, and by the clocks and restarts of their senders.
func (s State) KeepTimes(known State) State {
	kept := State{Revision: s.Revision}
	for _, e := range s.Evacuations {
		previous, found := known.find(e.DataCentre)
		if found && previous.Ended == e.Ended && e.ChangedAt.Sub(previous.ChangedAt).Abs() < maxClockDifference {
			e.ChangedAt = previous.ChangedAt
		}
		kept.Evacuations = append(kept.Evacuations, e)
	}
	return kept
}
