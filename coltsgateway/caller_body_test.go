package coltsgateway

// Guards against a body that is read differently than by fasthttp's own reader, which read it before, and
// against memory for bytes that have not arrived.

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// readBoth reads a chunked body with both readers.
func readBoth(text string, limit int) (ours, theirs string, oursErr, theirsErr error) {
	b := &bodyReader{br: bufio.NewReader(strings.NewReader(text)), limit: limit, grow: func(int) error { return nil }}
	oursErr = b.readChunks()
	var req fasthttp.Request
	theirsErr = req.ReadBody(bufio.NewReader(strings.NewReader(text)), framingChunked, limit)
	return string(b.content), string(req.Body()), oursErr, theirsErr
}

func TestCallerBodies(t *testing.T) {
	t.Run("chunked bodies are read as by the library", func(t *testing.T) {
		parts := []string{"1\r\na\r\n", "0\r\n", "3;x=y\r\nabc\r\n", "A\r\n0123456789\r\n", "a", "0", "\r\n", "\n", ";", " ", "x", "-1\r\n", "\t\r\n",
			"fffffffffffffffff\r\n", "2 \r\nab\r\n", "0000001\r\na\r\n", "5;" + strings.Repeat("e", 17<<10) + "\r\nabcde\r\n", "1;" + strings.Repeat("e", 6<<10) + "\r\na\r\n"}
		random := rand.New(rand.NewPCG(1, 1))
		valid := 0
		for range 3_000 {
			text := ""
			for range 1 + random.IntN(6) {
				text += parts[random.IntN(len(parts))]
			}
			ours, theirs, oursErr, theirsErr := readBoth(text, 20)
			assert.Equal(t, oursErr == nil, theirsErr == nil, "%q: %v, %v", text[:min(len(text), 100)], oursErr, theirsErr)
			if oursErr == nil {
				assert.Equal(t, ours, theirs)
				valid++
			}
		}
		assert.Assert(t, valid > 75, "only %d were valid", valid)
	})
	for name, c := range map[string]struct {
		text  string
		total int
	}{
		"a declared chunk":  {"400000\r\n" + strings.Repeat("a", 100), 0},
		"a declared length": {strings.Repeat("a", 100), 4 << 20},
	} {
		t.Run(name+" takes no more than a step beyond what has arrived", func(t *testing.T) {
			taken := 0
			b := &bodyReader{br: bufio.NewReader(strings.NewReader(c.text)), limit: 4 << 20, total: c.total, grow: func(size int) error {
				taken = size
				return nil
			}}
			read := b.readChunks
			if c.total > 0 {
				read = func() error { return b.read(c.total) }
			}
			assert.Assert(t, errors.Is(read(), io.ErrUnexpectedEOF))
			assert.Equal(t, taken, firstBodyBytes)
			assert.Equal(t, cap(b.content), firstBodyBytes)
		})
	}
	t.Run("a body of the longest length is read whole, a longer one is refused", func(t *testing.T) {
		b := &bodyReader{br: bufio.NewReader(strings.NewReader(strings.Repeat("a", 100_001))), limit: 100_000, grow: func(int) error { return nil }}
		assert.NilError(t, b.read(100_000))
		assert.Equal(t, len(b.content), 100_000)
		var bad *badRequestError
		assert.Assert(t, errors.As(b.read(1), &bad))
		assert.Equal(t, bad.status, fasthttp.StatusRequestEntityTooLarge)
	})
}
