package coltsresponse

// Chunked bodies, by RFC 9112, section 7.1. Trailers are checked and dropped.

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// maxTrailerBytes bounds the trailer lines of a body.
	maxTrailerBytes = 16 << 10
	// maxExcessBytes bounds what the lines of chunks may add to a body beyond freeLineBytes for each chunk and
	// twice the data.
	maxExcessBytes = 16 << 10
	freeLineBytes  = 16
)

// chunkReader reads the data of a chunked body. It returns io.EOF behind the trailer.
type chunkReader struct {
	br *bufio.Reader
	// remaining is the number of bytes of the current chunk's data that have not been read.
	remaining int
	// inData is set from the line of a chunk to the end of the line behind its data.
	inData bool
	// excess is what the lines of chunks have added beyond what is free.
	excess int
	// err is the error that ended the body, or io.EOF.
	err error
}

// Read reads data of as many chunks as have arrived. It waits only if there is none.
func (c *chunkReader) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n := 0
	for n < len(p) {
		if n > 0 && !c.canContinue() {
			break
		}
		if c.remaining == 0 {
			if c.err = c.next(); c.err != nil {
				return n, c.err
			}
			continue
		}
		got, err := c.br.Read(p[n:min(len(p), n+c.remaining)])
		n += got
		c.remaining -= got
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if c.err = err; err != nil {
			return n, err
		}
	}
	return n, nil
}

// canContinue reports whether the buffer holds more data, the whole line that comes before more data, or the whole
// end of a body without trailers.
func (c *chunkReader) canContinue() bool {
	b, err := c.br.Peek(c.br.Buffered())
	if err != nil || c.remaining > 0 {
		return err == nil && len(b) > 0
	}
	if c.inData {
		b = b[min(len(b), len("\r\n")):]
	}
	line, rest, found := bytes.Cut(b, []byte("\n"))
	isLast := len(line) > 0 && line[0] == '0'
	return found && (!isLast || bytes.HasPrefix(rest, []byte("\r\n")))
}

// next goes on to the data of the next chunk. It returns io.EOF behind the trailer.
func (c *chunkReader) next() error {
	if c.inData {
		if _, err := c.readLine(checkDataEnd); err != nil {
			return err
		}
		c.inData = false
	}
	line, err := c.readLine(checkChunkLine)
	if err != nil {
		return err
	}
	size, err := strconv.ParseUint(string(line[:countHexDigits(line)]), 16, strconv.IntSize-1)
	if err != nil {
		return unreadable(PartChunk, "the length of %q is too large", line)
	}
	if size == 0 {
		return c.skipTrailer()
	}
	c.remaining, c.inData = int(size), true
	// Beyond the bound, size can't increase excess.
	c.excess = max(0, c.excess+len(line)-freeLineBytes-2*min(c.remaining, maxExcessBytes))
	if c.excess > maxExcessBytes {
		return unreadable(PartChunk, "the lines of the chunks are too long for their data")
	}
	return nil
}

// checkDataEnd checks what follows the data of a chunk.
func checkDataEnd(line []byte, _ bool) error {
	if len(line) > 0 {
		return unreadable(PartChunk, "%q follows the data", line)
	}
	return nil
}

// skipTrailer reads the lines behind the last chunk, including the empty line that ends them. It returns io.EOF
// behind that line.
func (c *chunkReader) skipTrailer() error {
	for n := 0; n <= maxTrailerBytes; {
		line, err := c.readLine(checkFieldOf(PartTrailer))
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
		n += len(line)
	}
	return unreadable(PartTrailer, "it has more than %d bytes", maxTrailerBytes)
}

// readLine reads a line of the framing. The line is valid until the next read.
func (c *chunkReader) readLine(check func(line []byte, complete bool) error) ([]byte, error) {
	line, next, err := peekLine(c.br, 0, check)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	_, err = c.br.Discard(next)
	return line, err
}
