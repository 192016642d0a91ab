package coltsgateway

// The body of a caller's request. It is read into a buffer that grows by what has arrived, whatever
// length the request or a chunk declares, and each growth is taken from the memory for buffers before
// it is allocated.

import (
	"bufio"
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// firstBodyBytes is the first size of the buffer for a body.
	firstBodyBytes = 8 << 10
	// maxChunkLineBytes bounds what chunk extensions add to a body beyond freeChunkBytes in each chunk
	// and twice the data.
	maxChunkLineBytes = 16 << 10
	freeChunkBytes    = 16
	// maxChunkDigits bounds the digits of a chunk's length, so that it can't overflow.
	maxChunkDigits = 15
)

// Values that fasthttp reports as the content length of a body without one.
const (
	framingChunked    = -1
	framingUntilClose = -2
)

// bodyReader reads one body.
type bodyReader struct {
	br *bufio.Reader
	// limit is the longest body, total the length that the request declares; 0 for none. grow takes
	// memory for a buffer of the given size.
	limit   int
	total   int
	grow    func(size int) error
	content []byte
	// excess is what chunk extensions have added beyond what is free.
	excess int
}

func errBodyTooLong() error {
	return &badRequestError{status: fasthttp.StatusRequestEntityTooLarge, reason: "its body is too long"}
}

func errBadChunk() error {
	return &badRequestError{status: fasthttp.StatusBadRequest, reason: "its body has an invalid chunk"}
}

// read reads n more bytes of the body.
func (b *bodyReader) read(n int) error {
	if n > b.limit-len(b.content) {
		return errBodyTooLong()
	}
	for n > 0 {
		if len(b.content) == cap(b.content) {
			if err := b.enlarge(); err != nil {
				return err
			}
		}
		end := min(cap(b.content), len(b.content)+n)
		got, err := b.br.Read(b.content[len(b.content):end])
		b.content = b.content[:len(b.content)+got]
		n -= got
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// enlarge doubles the buffer.
func (b *bodyReader) enlarge() error {
	size := min(max(firstBodyBytes, 2*cap(b.content)), b.limit)
	if b.total > 0 {
		size = min(size, b.total)
	}
	if err := b.grow(size); err != nil {
		return err
	}
	content := make([]byte, len(b.content), size)
	copy(content, b.content)
	b.content = content
	return nil
}

// readChunks reads a chunked body up to and including the line of its last chunk. The trailer follows.
func (b *bodyReader) readChunks() error {
	for {
		n, err := b.readChunkLine()
		if err != nil || n == 0 {
			return err
		}
		if err := b.read(n); err != nil {
			return err
		}
		if err := b.readLineEnd(); err != nil {
			return err
		}
	}
}

// readByte reads a byte of the framing.
func (b *bodyReader) readByte() (byte, error) {
	c, err := b.br.ReadByte()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return c, err
}

// readLineEnd reads CR LF.
func (b *bodyReader) readLineEnd() error {
	for _, want := range []byte("\r\n") {
		c, err := b.readByte()
		if err != nil {
			return err
		}
		if c != want {
			return errBadChunk()
		}
	}
	return nil
}

// readChunkLine reads the line before a chunk's data and returns the chunk's length.
func (b *bodyReader) readChunkLine() (int, error) {
	n, digits, extension := 0, 0, 0
	hasSpace, inExtension := false, false
	for {
		c, err := b.readByte()
		if err != nil {
			return 0, err
		}
		if digit, ok := hexDigit(c); ok && extension == 0 {
			n = n<<4 | digit
			if digits++; digits > maxChunkDigits {
				return 0, errBadChunk()
			}
			continue
		}
		if digits == 0 {
			return 0, errBadChunk()
		}
		if c == '\r' {
			break
		}
		// Another parser might take a line feed for the line's end, or what follows a space for data.
		switch {
		case c == '\n':
			return 0, errBadChunk()
		case inExtension:
		case c == ' ' || c == '\t':
			hasSpace = true
		case c == ';' && !hasSpace:
			inExtension = true
		default:
			return 0, errBadChunk()
		}
		if extension++; extension > maxChunkLineBytes {
			return 0, errBadChunk()
		}
	}
	if c, err := b.readByte(); err != nil || c != '\n' {
		if err == nil {
			err = errBadChunk()
		}
		return 0, err
	}
	b.excess = max(0, b.excess+extension-freeChunkBytes-2*n)
	if b.excess > maxChunkLineBytes {
		return 0, errBadChunk()
	}
	return n, nil
}

func hexDigit(c byte) (int, bool) {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0'), true
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10, true
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10, true
	}
	return 0, false
}
