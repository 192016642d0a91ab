package coltsresponse

import (
	"bufio"
	"io"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

const statusOK = "HTTP/1.1 200 OK\r\n"

// readHead reads a head from text byte by byte.
func readHead(text string) (Framing, *fasthttp.ResponseHeader, error) {
	var h fasthttp.ResponseHeader
	h.DisableNormalizing()
	framing, err := ReadHead(bufio.NewReader(iotest.OneByteReader(strings.NewReader(text))), &h, nil)
	return framing, &h, err
}

// assertUnreadable asserts that an error names a part of a response.
func assertUnreadable(t *testing.T, err error, part Part) {
	t.Helper()
	var unreadable *UnreadableError
	assert.Assert(t, errors.As(err, &unreadable), "%v", err)
	assert.Equal(t, unreadable.Part, part, "%v", err)
}

func TestUnreadableHeads(t *testing.T) {
	for name, c := range map[string]struct {
		// text ends with the first wrong byte: the rest must not be waited for.
		text string
		part Part
	}{
		"another protocol":               {"S", PartStatusLine},
		"an empty line":                  {"\r\n", PartStatusLine},
		"a bare line feed":               {"\n", PartStatusLine},
		"lower case":                     {"h", PartStatusLine},
		"another major version":          {"HTTP/2", PartStatusLine},
		"a version with two digits":      {"HTTP/1.10", PartStatusLine},
		"a tab before the status":        {"HTTP/1.1\t", PartStatusLine},
		"two blanks before the status":   {"HTTP/1.1  ", PartStatusLine},
		"a status of class 0":            {"HTTP/1.1 0", PartStatusLine},
		"a status of class 6":            {"HTTP/1.1 6", PartStatusLine},
		"a sign":                         {"HTTP/1.1 -", PartStatusLine},
		"a status of two digits":         {"HTTP/1.1 20 ", PartStatusLine},
		"a status of two digits alone":   {"HTTP/1.1 20\r\n", PartStatusLine},
		"a status of four digits":        {"HTTP/1.1 2000", PartStatusLine},
		"a tab behind the status":        {"HTTP/1.1 200\t", PartStatusLine},
		"a control byte in the reason":   {"HTTP/1.1 200 a\x00", PartStatusLine},
		"a carriage return in a reason":  {"HTTP/1.1 200 a\rb", PartStatusLine},
		"a status line with a line feed": {"HTTP/1.1 200 OK\n", PartStatusLine},
		"no name":                        {statusOK + ":", PartField},
		"a blank in a name":              {statusOK + "A ", PartField},
		"a tab in a name":                {statusOK + "A\t", PartField},
		"a control byte in a name":       {statusOK + "A\x1f", PartField},
		"a zero byte in a name":          {statusOK + "A\x00", PartField},
		"a deleted byte in a name":       {statusOK + "A\x7f", PartField},
		"a high byte in a name":          {statusOK + "A\xc3", PartField},
		"a separator in a name":          {statusOK + "A(", PartField},
		"a continued line":               {statusOK + "A: b\r\n ", PartField},
		"a line continued with a tab":    {statusOK + "A: b\r\n\t", PartField},
		"no colon":                       {statusOK + "A\r\n", PartField},
		"a control byte in a value":      {statusOK + "A: b\x08", PartField},
		"a deleted byte in a value":      {statusOK + "A: b\x7f", PartField},
		"a carriage return in a value":   {statusOK + "A: b\rc", PartField},
		"a line feed in a value":         {statusOK + "A: b\n", PartField},
		"two carriage returns":           {statusOK + "A: b\r\r", PartField},
		"an end with a line feed":        {statusOK + "A: b\r\n\n", PartField},
		"a wrong interim head":           {"HTTP/1.1 100 x\r\nA ", PartField},
		"a wrong interim status":         {"HTTP/1.1 103 x\r\n\r\nHTTP/1.1 0", PartStatusLine},
		"a switch of protocols":          {"HTTP/1.1 101 x\r\n\r\n", PartInterim},
		"too many interim responses":     {strings.Repeat("HTTP/1.1 100 x\r\n\r\n", 9), PartInterim},
		"a line longer than the buffer":  {statusOK + "A: " + strings.Repeat("b", 4096-len(statusOK)-3), PartLine},
		"a head longer than the buffer":  {(statusOK + strings.Repeat("A: b\r\n", 1000))[:4096], PartLine},
		"two lengths":                    {statusOK + "Content-Length: 1\r\ncontent-length: 1\r\n\r\n", PartFraming},
		"a list of lengths":              {statusOK + "Content-Length: 1, 1\r\n\r\n", PartFraming},
		"a length with a sign":           {statusOK + "Content-Length: +1\r\n\r\n", PartFraming},
		"a length below zero":            {statusOK + "Content-Length: -1\r\n\r\n", PartFraming},
		"a length in hexadecimal":        {statusOK + "Content-Length: 0x1\r\n\r\n", PartFraming},
		"a length with an underline":     {statusOK + "Content-Length: 1_0\r\n\r\n", PartFraming},
		"an empty length":                {statusOK + "Content-Length: \r\n\r\n", PartFraming},
		"a length that overflows":        {statusOK + "Content-Length: 9223372036854775808\r\n\r\n", PartFraming},
		"a length and a coding":          {statusOK + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", PartFraming},
		"two codings":                    {statusOK + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", PartFraming},
		"a coding that is not supported": {statusOK + "Transfer-Encoding: gzip, chunked\r\n\r\n", PartFraming},
		"a coding of HTTP/1.0":           {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", PartFraming},
	} {
		t.Run(name+" is unreadable at once", func(t *testing.T) {
			// A read beyond the text would return another error.
			_, _, err := readHead(c.text)
			assertUnreadable(t, err, c.part)
			_, _, err = readHead(c.text[:len(c.text)-1])
			assert.Assert(t, !IsUnreadable(err), "%v", err)
		})
	}
	for name, text := range map[string]string{
		"nothing": "", "a part of a status line": "HTTP/1.1 2", "a part of a field": statusOK + "A: b", "a head without its end": statusOK + "A: b\r\n\r",
	} {
		t.Run(name+" is an interrupted response", func(t *testing.T) {
			_, _, err := readHead(text)
			assert.Assert(t, errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
			assert.Equal(t, errors.Is(err, io.EOF), text == "")
		})
	}
}

func TestReadableHeads(t *testing.T) {
	for name, c := range map[string]struct {
		text    string
		framing Framing
	}{
		"no fields":                {statusOK + "\r\n", FramingUntilClose},
		"no reason phrase":         {"HTTP/1.1 200 \r\n\r\n", FramingUntilClose},
		"no blank":                 {"HTTP/1.1 200\r\n\r\n", FramingUntilClose},
		"a reason with high bytes": {"HTTP/1.1 200 \t\x80\xff\r\n\r\n", FramingUntilClose},
		"the lowest final status":  {"HTTP/1.1 200 x\r\nContent-Length: 7\r\n\r\n", 7},
		"the highest status":       {"HTTP/1.1 599 x\r\nContent-Length: 7\r\n\r\n", 7},
		"any token":                {statusOK + "!#$%&'*+-.^_`|~09azAZ: x\r\n\r\n", FramingUntilClose},
		"an empty value":           {statusOK + "A:\r\nB: \t \r\n\r\n", FramingUntilClose},
		"colons in a value":        {statusOK + "A: b: c::\r\n\r\n", FramingUntilClose},
		"a length of any case":     {statusOK + "cOnTent-lEngth:\t007 \r\n\r\n", 7},
		"a length of zero":         {statusOK + "Content-Length: 0\r\n\r\n", 0},
		"chunks of any case":       {statusOK + "transfer-encoding: ChunKed \r\n\r\n", FramingChunked},
		"HTTP/1.0":                 {"HTTP/1.0 200 OK\r\n\r\n", FramingUntilClose},
		"a later minor version":    {"HTTP/1.9 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", FramingChunked},
		"no content":               {"HTTP/1.1 204 x\r\nContent-Length: 7\r\n\r\n", 0},
		"not modified":             {"HTTP/1.1 304 x\r\nContent-Length: 7\r\n\r\n", 0},
		"interim responses":        {strings.Repeat("HTTP/1.1 103 x\r\nLink: y\r\n\r\n", 8) + statusOK + "Content-Length: 7\r\n\r\n", 7},
	} {
		t.Run(name+" is readable", func(t *testing.T) {
			framing, _, err := readHead(c.text)
			assert.NilError(t, err)
			assert.Equal(t, framing, c.framing)
		})
	}
	t.Run("fields reach the header as they are", func(t *testing.T) {
		_, h, err := readHead(statusOK + "x-`~: \tb c\t\r\nEmpty:\r\n\r\n")
		assert.NilError(t, err)
		assert.Equal(t, string(h.Peek("x-`~")), "b c")
		assert.Equal(t, len(h.PeekAll("Empty")), 1)
	})
	t.Run("what follows the head stays in the reader", func(t *testing.T) {
		br := bufio.NewReader(strings.NewReader(statusOK + "\r\nHTTP/1.1 "))
		var h fasthttp.ResponseHeader
		_, err := ReadHead(br, &h, nil)
		assert.NilError(t, err)
		rest, _ := io.ReadAll(br)
		assert.Equal(t, string(rest), "HTTP/1.1 ")
	})
	t.Run("each head is reported", func(t *testing.T) {
		var statuses []int
		var h fasthttp.ResponseHeader
		text := "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 103 x\r\n\r\n" + statusOK + "\r\n"
		_, err := ReadHead(bufio.NewReader(strings.NewReader(text)), &h, func() { statuses = append(statuses, h.StatusCode()) })
		assert.NilError(t, err)
		assert.DeepEqual(t, statuses, []int{100, 103, 200})
	})
}

// grammar is that of a head in RFC 9112, with an optional blank before an empty reason phrase.
var grammar = regexp.MustCompile(`(?s)^HTTP/1\.[0-9] [1-5][0-9]{2}(?: [\t\x20-\x7e\x{80}-\x{ff}]*)?\r\n` +
	"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+" + `:[\t\x20-\x7e\x{80}-\x{ff}]*\r\n)*\r\n`)

// latin1 returns a text whose characters are the bytes of s.
func latin1(s string) string {
	var b strings.Builder
	for _, c := range []byte(s) {
		b.WriteRune(rune(c))
	}
	return b.String()
}

// FuzzReadHead compares what is readable with the grammar.
func FuzzReadHead(f *testing.F) {
	for _, text := range []string{
		statusOK + "\r\n", statusOK + "A: b\r\nB:\r\n\r\n", "HTTP/1.1 000 x\r\n\r\n", "HTTP/1.1 200\r\n\r\n", statusOK + "A b: c\r\n\r\n",
		statusOK + "A\x01: c\r\n\r\n", statusOK + "A: b\r\n c\r\n\r\n", statusOK + "A: b\n\n", statusOK + "Transfer-Encoding: chunked\r\n\r\n",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var h fasthttp.ResponseHeader
		_, err := readOneHead(bufio.NewReader(strings.NewReader(text)), &h)
		matches := grammar.MatchString(latin1(text))
		if err == nil {
			assert.Assert(t, matches, "%q is readable", text)
			assert.Assert(t, h.StatusCode() >= 100 && h.StatusCode() <= 599)
			return
		}
		var unreadable *UnreadableError
		if errors.As(err, &unreadable) && (unreadable.Part == PartStatusLine || unreadable.Part == PartField) {
			// The library refuses some values of fields that it interprets, such as Trailer.
			assert.Assert(t, !matches || strings.Contains(strings.ToLower(text), "trailer"), "%q: %v", text, err)
		}
	})
}
