// Package coltsloop holds the building blocks of background loops: periodic calls, pauses and
// a broadcast signal.
package coltsloop

// All waiting ends by a timer or the end of a context; nothing busy-waits.

import (
	"context"
	"time"
)

// Every calls fn each period until ctx ends. A call that takes longer than the period delays
// the next one.
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

// Sleep waits for d and reports whether it passed before ctx ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
