package coltsgateway

import (
	"bufio"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsbuffer"
)

// FuzzBody reads bodies in every framing. No input may cause a panic, or a body longer than the limit.
func FuzzBody(f *testing.F) {
	f.Add("4\r\nabcd\r\n0\r\n\r\n", framingChunked)
	f.Add("0\r\nX: y\r\n\r\n", framingChunked)
	f.Add("abc", 3)
	f.Add("abc", 1<<40)
	f.Add("abc", framingUntilClose)
	f.Fuzz(func(t *testing.T, text string, framing int) {
		const limit = 1 << 10
		framing = max(framing, framingUntilClose)
		share := coltsbuffer.NewBudget(1 << 20).NewShare()
		b := newBody(bufio.NewReader(strings.NewReader(text)), framing)
		content, err := b.readAll(limit, share)
		if err == nil {
			assert.Assert(t, b.complete)
			assert.Assert(t, len(content) <= limit)
		}
		_ = newBody(bufio.NewReader(strings.NewReader(text)), framing).discard(limit)
		new(eventScan).endOfEvents([]byte(text))
	})
}
