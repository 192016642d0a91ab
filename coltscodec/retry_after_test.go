package coltscodec

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestParseRetryAfter(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"3": 3 * time.Second, " 2.5 ": 2500 * time.Millisecond, "0": 0, "-1": 0, "": 0, "soon": 0, "NaN": 0, "-1e999": 0,
		"1e999": maxRetryAfter, "Inf": 0, "0x1p4": 0, "99999999999999999999": maxRetryAfter, "1e-12": 0,
		"Fri, 31 Dec 1999 23:59:59 GMT": 0,
	} {
		t.Run("of "+value, func(t *testing.T) { assert.Equal(t, ParseRetryAfter(value), want) })
	}
}
