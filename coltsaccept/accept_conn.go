package coltsaccept

// fasthttp keeps about 100 bytes for each line of a head or a trailer, however short the line is, and does
// so while the rest has not arrived. Some hundred clients that send short lines and stop would exhaust the
// memory. So the lines are counted before fasthttp gets them. That needs the framing of requests, but few of
// its errors: where fasthttp refuses a request and closes the connection, a wrong count has no effect.

import (
	"bytes"
	"net"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// maxLines bounds the lines of a head or trailer.
	maxLines = 256
	// maxLengthDigits bounds the digits of a length, so that it can't overflow.
	maxLengthDigits = 15
	// lineStartBytes is how much of a line is kept: a Content-Length with a few spaces.
	lineStartBytes = 64
)

// Conn is an accepted connection. Its reads fail once a head or trailer has too many lines.
type Conn struct {
	net.Conn
	framing framing
}

// NetConn returns the connection that the listener of the operating system has accepted.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection. What arrives together with too many lines is discarded.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if scanErr := c.framing.scan(b[:n]); scanErr != nil {
		return 0, scanErr
	}
	return n, err
}

var (
	errTooManyLines = errors.New("a head or trailer has too many lines")
	errLongLength   = errors.New("a length or transfer encoding has too many characters or lines")
)

// section is the section of a request that arrives next.
type section int

const (
	sectionHead section = iota
	sectionBody
	sectionChunkLine
	sectionTrailer
)

// framing follows the framing of the requests on a connection.
type framing struct {
	section section
	// lines counts those of the head or trailer, left the bytes of the body or chunk that are still to come.
	lines int
	left  int64
	// line is the beginning of the current line, lineBytes its length so far.
	line      [lineStartBytes]byte
	lineBytes int
	// chunked is set once the head has a Transfer-Encoding other than identity, which fasthttp treats as
	// none. length is its Content-Length. In a chunked body, length is that of the current chunk.
	chunked bool
	length  int64
}

// scan follows the next bytes. It returns an error if a head or trailer has too many lines.
func (f *framing) scan(b []byte) error {
	for len(b) > 0 {
		if f.section == sectionBody {
			n := min(f.left, int64(len(b)))
			f.left -= n
			b = b[n:]
			f.endBody()
			continue
		}
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			f.addToLine(b)
			return nil
		}
		f.addToLine(b[:end])
		b = b[end+1:]
		if err := f.endLine(); err != nil {
			return err
		}
		f.lineBytes = 0
	}
	return nil
}

func (f *framing) addToLine(b []byte) {
	if f.lineBytes < lineStartBytes {
		copy(f.line[f.lineBytes:], b)
	}
	f.lineBytes += len(b)
}

// endBody goes on to what follows a body or chunk once all of it has arrived.
func (f *framing) endBody() {
	switch {
	case f.left > 0:
	case f.chunked:
		f.section = sectionChunkLine
	default:
		f.startHead()
	}
}

func (f *framing) startHead() { *f = framing{} }

// endLine handles the end of a line of a head, a trailer or a chunk's length.
func (f *framing) endLine() error {
	line := bytes.TrimSuffix(f.line[:min(f.lineBytes, lineStartBytes)], []byte("\r"))
	switch {
	case f.section == sectionChunkLine:
		return f.startChunk(line)
	case len(line) > 0:
		return f.addLine(line)
	case f.section == sectionTrailer:
		f.startHead()
	case f.lines > 0: // empty lines before a request are skipped
		f.startBody()
	}
	return nil
}

// addLine counts a line of a head or trailer and takes the body's framing from it.
func (f *framing) addLine(line []byte) error {
	if f.lines++; f.lines > maxLines {
		return errTooManyLines
	}
	if f.section == sectionTrailer {
		return nil
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimSpace(value)
	// fasthttp joins a value that continues on the next line, so it can be missing here.
	isPartial := len(value) == 0 || f.lineBytes > lineStartBytes
	switch name = bytes.TrimRight(name, " \t"); {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if isPartial {
			return errLongLength
		}
		f.chunked = f.chunked || !bytes.EqualFold(value, []byte("identity"))
	case bytes.EqualFold(name, []byte("Content-Length")):
		if len(value) > maxLengthDigits || isPartial {
			return errLongLength
		}
		if n, err := strconv.ParseUint(string(value), 10, 63); err == nil {
			f.length = int64(n)
		}
	}
	return nil
}

func (f *framing) startBody() {
	f.lines, f.left, f.section = 0, f.length, sectionBody
	if f.chunked {
		f.left = 0
	}
	f.endBody()
}

// startChunk takes the length of a chunk from its line.
func (f *framing) startChunk(line []byte) error {
	digits := len(line) - len(bytes.TrimLeft(line, "0123456789abcdefABCDEF"))
	if digits > maxLengthDigits {
		return errLongLength
	}
	// Without a length, fasthttp refuses the request. What follows counts as a trailer.
	n, err := strconv.ParseInt(string(line[:digits]), 16, 64)
	if err != nil || n == 0 {
		f.section = sectionTrailer
		return nil
	}
	f.left, f.section = n+int64(len("\r\n")), sectionBody
	return nil
}
