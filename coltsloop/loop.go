// Package coltsloop holds the loops and pauses that background work is made of.
package coltsloop

// Everything that waits here wakes by a timer or by the end of its context; nothing
// spins.

import (
	"context"
	"time"
)

// Every calls fn each period until ctx ends. A call that takes longer than the
// period puts off the next one.
func Every(ctx context.Context, period time.Duration, fn func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fn()
		}
	}
}

// Sleep waits and says whether ctx still runs.
func Sleep(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
