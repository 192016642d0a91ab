package coltsresponse

import (
	"bufio"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsbuffer"
)

// FuzzBody reads bodies in every framing. No input may cause a panic, or a body longer than the limit.
func FuzzBody(f *testing.F) {
	f.Add("4\r\nabcd\r\n0\r\n\r\n", int(FramingChunked))
	f.Add("0\r\nX: y\r\n\r\n", int(FramingChunked))
	f.Add("abc", 3)
	f.Add("abc", 1<<40)
	f.Add("abc", int(FramingUntilClose))
	f.Fuzz(func(t *testing.T, text string, framing int) {
		const limit = 1 << 10
		framing = max(framing, int(FramingUntilClose))
		share := coltsbuffer.NewBudget(1 << 20).NewShare()
		b := NewBody(bufio.NewReader(strings.NewReader(text)), Framing(framing))
		content, err := b.ReadAll(limit, share.Grow)
		if err == nil {
			assert.Assert(t, b.Complete())
			assert.Assert(t, len(content) <= limit)
		}
		_ = NewBody(bufio.NewReader(strings.NewReader(text)), Framing(framing)).Discard(limit)
	})
}

// readChunks reads a chunked body with a reader that returns the bytes of text one by one.
func readChunks(text string) (string, error) {
	content, err := NewBody(bufio.NewReader(iotest.OneByteReader(strings.NewReader(text))), FramingChunked).ReadAll(1<<20, nil)
	return string(content), err
}

func TestChunks(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		part Part
	}{
		"no length":                      {"\r\n", PartChunk},
		"a letter that is no digit":      {"g", PartChunk},
		"a sign":                         {"-", PartChunk},
		"a length that overflows":        {strings.Repeat("f", 16), PartChunk},
		"a blank behind a length":        {"1 \r\n", PartChunk},
		"a word behind a length":         {"1 a\r\n", PartChunk},
		"an extension without a name":    {"1;\r\n", PartChunk},
		"an extension without a value":   {"1;a=\r\n", PartChunk},
		"a quote without an end":         {"1;a=\"b\r\n", PartChunk},
		"a control byte in an extension": {"1;a\x01", PartChunk},
		"a line feed behind a length":    {"1\n", PartChunk},
		"data longer than its chunk":     {"1\r\nab", PartChunk},
		"a line feed behind the data":    {"1\r\na\n", PartChunk},
		"a blank in a trailer's name":    {"0\r\nA ", PartTrailer},
		"a control byte in a trailer":    {"0\r\nA: \x01", PartTrailer},
		"a trailer without a colon":      {"0\r\nA\r\n", PartTrailer},
		"a line feed behind the trailer": {"0\r\nA: b\r\n\n", PartTrailer},
		"a trailer that is too long":     {"0\r\n" + strings.Repeat("A: b\r\n", 5000), PartTrailer},
		"long lines of short chunks":     {strings.Repeat("1;a="+strings.Repeat("b", 1000)+"\r\nc\r\n", 20), PartChunk},
		"a line longer than the buffer":  {"1;a=" + strings.Repeat("b", 5000), PartLine},
	} {
		t.Run(name+" is unreadable, also when read again", func(t *testing.T) {
			b := NewBody(bufio.NewReader(iotest.OneByteReader(strings.NewReader(c.text+"\r\n\r\n0\r\n\r\n"))), FramingChunked)
			for range 2 {
				_, err := b.ReadAll(1<<20, nil)
				assertUnreadable(t, err, c.part)
				assert.Assert(t, !b.Complete())
			}
		})
	}
	for name, text := range map[string]string{
		"chunks":                  "1\r\na\r\n002\r\nbc\r\n0\r\n\r\n",
		"extensions":              "1;x;y=z;v=\"\\\"w\x80 \"\r\na\r\n2 ; x = y\r\nbc\r\n0;last\r\n\r\n",
		"a trailer":               "3\r\nabc\r\n000\r\nA:\r\nB: c\r\n\r\n",
		"digits in upper case":    "3\r\nabc\r\n0\r\n\r\n",
		"one chunk for each byte": "1\r\na\r\n1\r\nb\r\n1\r\nc\r\n0\r\n\r\n",
	} {
		t.Run(name+" are readable, in any number of reads", func(t *testing.T) {
			content, err := readChunks(text)
			assert.NilError(t, err)
			assert.Equal(t, content, "abc")
			content2, err := NewBody(bufio.NewReader(strings.NewReader(text)), FramingChunked).ReadAll(1<<20, nil)
			assert.NilError(t, err)
			assert.Equal(t, string(content2), "abc")
			for n := range len(text) {
				_, err := readChunks(text[:n])
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
			}
		})
	}
	t.Run("data is returned before the next chunk has arrived", func(t *testing.T) {
		r, w := io.Pipe()
		defer w.Close()
		go func() { _, _ = io.WriteString(w, "3\r\nabc\r\n2\r") }()
		p := make([]byte, 10)
		n, err := NewBody(bufio.NewReader(r), FramingChunked).Read(p)
		assert.NilError(t, err)
		assert.Equal(t, string(p[:n]), "abc")
	})
}

// FuzzChunks compares the reader with the standard library's, which accepts more.
func FuzzChunks(f *testing.F) {
	f.Add("1;x\r\na\r\n2 \r\nbc\r\n0\r\nA: b\r\n\r\n")
	f.Add("1\r\na\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		content, err := readChunks(text)
		if err != nil {
			return
		}
		theirs, err := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(text)))
		assert.NilError(t, err)
		assert.Equal(t, content, string(theirs))
	})
}
