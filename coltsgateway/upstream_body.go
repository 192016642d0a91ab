package coltsgateway

// The body of an upstream's response, in any framing. A body counts as complete only if it ended
// as its framing requires.

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"
	"slices"

	"github.com/pkg/errors"

	"coltsfootstall/coltsbuffer"
)

// Values that fasthttp reports as the content length of a body without one.
const (
	framingChunked    = -1
	framingUntilClose = -2
)

// body reads the body of one response.
type body struct {
	br  *bufio.Reader
	src io.Reader
	// framing is the body's length in bytes, or one of the values above.
	framing   int
	remaining int
	// complete is set once the body has ended properly.
	complete bool
}

func newBody(br *bufio.Reader, framing int) *body {
	b := &body{br: br, framing: framing, remaining: framing, src: br}
	if framing == framingChunked {
		b.src = httputil.NewChunkedReader(br)
	}
	b.complete = framing == 0
	return b
}

// Read reads a part of the body. It returns io.EOF only at the body's proper end.
func (b *body) Read(p []byte) (int, error) {
	if b.complete {
		return 0, io.EOF
	}
	if b.framing >= 0 && len(p) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.src.Read(p)
	if b.framing >= 0 {
		b.remaining -= n
		if b.remaining == 0 {
			b.complete = true
			return n, io.EOF
		}
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return n, err
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.framing == framingChunked {
		if err := skipTrailer(b.br); err != nil {
			return n, err
		}
	}
	b.complete = true
	return n, io.EOF
}

// maxTrailerBytes bounds the trailer lines of a body.
const maxTrailerBytes = 16 << 10

// skipTrailer reads the trailer lines after the last chunk, including the empty line that ends
// them.
func skipTrailer(br *bufio.Reader) error {
	for n := 0; n <= maxTrailerBytes; {
		line, err := br.ReadSlice('\n')
		n += len(line)
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
	return errors.Errorf("the trailer has more than %d bytes", maxTrailerBytes)
}

// discard reads the rest of the body and keeps nothing of it. It fails if the body is longer than
// limit bytes.
func (b *body) discard(limit int) error {
	n, err := io.CopyN(io.Discard, b, int64(limit)+1)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		err = errors.Errorf("the body has %d bytes or more", n)
	}
	return err
}

// readAll reads the rest of the body. It fails if the body is longer than limit bytes or does not
// fit into the memory for buffers, of which share is the part that the body takes.
func (b *body) readAll(limit int, share *coltsbuffer.Share) ([]byte, error) {
	if b.framing > limit {
		return nil, errors.Errorf("the body has %d bytes, more than %d", b.framing, limit)
	}
	if err := share.Grow(b.framing); err != nil {
		return nil, err
	}
	content := make([]byte, 0, max(b.framing, 512))
	for {
		if len(content) == cap(content) {
			if err := share.Grow(2 * cap(content)); err != nil {
				return nil, err
			}
			content = slices.Grow(content, cap(content))
		}
		n, err := b.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
		if len(content) > limit {
			return nil, errors.Errorf("the body has more than %d bytes", limit)
		}
	}
}
