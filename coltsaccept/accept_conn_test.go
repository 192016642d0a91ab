package coltsaccept

// Guards against clients that exhaust the memory by many short lines in heads and trailers, and against
// refusing requests whose bodies look like that.

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

const (
	lineOfTest = "A: b\r\n"
	getOfTest  = "GET / HTTP/1.1\r\nHost: a\r\n"
	postOfTest = "POST / HTTP/1.1\r\nHost: a\r\n"
)

func repeatedLines(n int) string { return strings.Repeat(lineOfTest, n) }

// assertScanned asserts the error for a text that arrives whole, and for one that arrives byte by byte.
func assertScanned(t *testing.T, text string, want error) {
	t.Helper()
	whole := framing{}
	assert.ErrorIs(t, whole.scan([]byte(text)), want)
	var f framing
	var err error
	for i := 0; i < len(text) && err == nil; i++ {
		err = f.scan([]byte{text[i]})
	}
	assert.ErrorIs(t, err, want)
}

func TestLines(t *testing.T) {
	// lines are as many as a trailer may have; a head has two others before them.
	lines, tooMany := repeatedLines(maxLines), repeatedLines(maxLines+1)
	chunkedPost := postOfTest + "Transfer-Encoding: chunked\r\n"
	for _, c := range []struct {
		name string
		text string
		want error
	}{
		{"a head with as many lines as allowed", getOfTest + repeatedLines(maxLines-2) + "\r\n", nil},
		{"a head with too many lines", getOfTest + repeatedLines(maxLines-1), errTooManyLines},
		{"a second head with too many lines", getOfTest + "\r\n" + getOfTest + tooMany, errTooManyLines},
		{"a head after empty lines", "\r\n\r\n" + getOfTest + tooMany, errTooManyLines},
		{"lines that end with LF", strings.ReplaceAll(getOfTest+tooMany, "\r\n", "\n"), errTooManyLines},
		{"a line with two CR does not end a head", getOfTest + "\r\r\n" + tooMany, errTooManyLines},
		{"a body with a length", postOfTest + "Content-Length: 1542\r\n\r\n" + tooMany, nil},
		{"a head after a body with a length", postOfTest + "Content-Length: 6\r\n\r\n" + lineOfTest + getOfTest + tooMany, errTooManyLines},
		{"a length behind a space is none", postOfTest + " Content-Length: 1542\r\n\r\n" + tooMany, errTooManyLines},
		{"a length after many spaces", postOfTest + "Content-Length:" + strings.Repeat(" ", lineStartBytes) + "1542\r\n\r\n", errLongLength},
		{"a length that is no number", postOfTest + "Content-Length: a\r\n\r\n" + tooMany, errTooManyLines},
		{"a chunk with lines", chunkedPost + "\r\n606\r\n" + tooMany + "\r\n0\r\n\r\n", nil},
		{"many small chunks", chunkedPost + "\r\n" + strings.Repeat("1;a=b\r\na\r\n", 1000) + "0\r\n\r\n", nil},
		{"a trailer with as many lines as allowed", chunkedPost + "\r\n1\r\na\r\n0\r\n" + lines + "\r\n", nil},
		{"a trailer with too many lines", chunkedPost + "\r\n1\r\na\r\n0\r\n" + tooMany, errTooManyLines},
		{"a trailer after a space before the colon", postOfTest + "Transfer-Encoding : chunked\r\n\r\n0\r\n" + tooMany, errTooManyLines},
		{"a trailer of a body with both framings", chunkedPost + "Content-Length: 9999\r\n\r\n0\r\n" + tooMany, errTooManyLines},
		{"a head after a trailer", chunkedPost + "\r\n0\r\n" + lines + "\r\n" + getOfTest + tooMany, errTooManyLines},
		{"a chunk without a length", chunkedPost + "\r\nx\r\n" + tooMany, errTooManyLines},
		{"a chunk whose length overflows", chunkedPost + "\r\n" + strings.Repeat("f", 16) + "\r\n", errLongLength},
	} {
		t.Run(c.name, func(t *testing.T) { assertScanned(t, c.text, c.want) })
	}
	t.Run("the read that has too many lines returns none of them", func(t *testing.T) {
		client, server := net.Pipe()
		defer func() { _ = client.Close() }()
		go func() { _, _ = io.WriteString(client, getOfTest+tooMany) }()
		n, err := (&Conn{Conn: server}).Read(make([]byte, 1<<16))
		assert.ErrorIs(t, err, errTooManyLines)
		assert.Equal(t, n, 0)
	})
}

// FuzzFraming asserts that the end of a request is found where fasthttp finds it. Otherwise lines of a head
// could pass as those of a body.
func FuzzFraming(f *testing.F) {
	for _, seed := range []string{
		getOfTest + "\r\n", postOfTest + "Content-Length: 3\r\n\r\nabc",
		postOfTest + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nA: b\r\n\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		source := strings.NewReader(text)
		br := bufio.NewReader(source)
		var req fasthttp.Request
		if err := req.Read(br); err != nil {
			return
		}
		var fr framing
		err := fr.scan([]byte(text[:len(text)-br.Buffered()-source.Len()]))
		if errors.Is(err, errTooManyLines) || errors.Is(err, errLongLength) {
			return
		}
		assert.Equal(t, fr.section, sectionHead)
		assert.Equal(t, fr.lines+fr.lineBytes, 0)
	})
}
