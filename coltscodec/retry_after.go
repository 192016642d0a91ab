package coltscodec

// Upstreams may send any text as Retry-After. What can't be a time must neither become a pause nor a time in
// the past.

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// maxRetryAfter is the longest time that ParseRetryAfter returns.
const maxRetryAfter = 24 * time.Hour

// ParseRetryAfter returns the time in a Retry-After header: a number of seconds, which may have a
// fraction. It returns 0 for what is no number, zero or negative, and at most a day.
func ParseRetryAfter(value string) time.Duration {
	value = strings.TrimSpace(value)
	if strings.Trim(value, "0123456789.eE+-") != "" {
		return 0
	}
	seconds, err := strconv.ParseFloat(value, 64)
	// A number out of range is reported as an error and returned as infinite.
	if err != nil && !math.IsInf(seconds, 1) || seconds <= 0 {
		return 0
	}
	if seconds >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}
