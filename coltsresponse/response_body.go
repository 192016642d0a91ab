package coltsresponse

// The body of a response, in any framing. A body counts as complete only if it ended as its framing requires.

import (
	"bufio"
	"io"
	"slices"

	"github.com/pkg/errors"
)

// Body reads the body of one response.
type Body struct {
	src       io.Reader
	framing   Framing
	remaining int
	complete  bool
}

// NewBody returns the body that follows a head in br.
func NewBody(br *bufio.Reader, framing Framing) *Body {
	b := &Body{src: br, framing: framing, remaining: int(framing), complete: framing == 0}
	if framing == FramingChunked {
		b.src = &chunkReader{br: br}
	}
	return b
}

// Framing returns the framing of the body.
func (b *Body) Framing() Framing { return b.framing }

// Remaining returns how many bytes of a body with a length have not been read; negative for other bodies.
func (b *Body) Remaining() int { return b.remaining }

// Complete reports whether the body has been read to its proper end.
func (b *Body) Complete() bool { return b.complete }

// Reusable reports whether the connection can carry another response, as far as the body decides on that.
func (b *Body) Reusable() bool { return b.complete && b.framing != FramingUntilClose }

// Read reads a part of the body. It returns io.EOF only at the body's proper end.
func (b *Body) Read(p []byte) (int, error) {
	if b.complete {
		return 0, io.EOF
	}
	if b.framing >= 0 && len(p) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.src.Read(p)
	if b.framing >= 0 {
		b.remaining -= n
		b.complete = b.remaining == 0
		if b.complete {
			return n, io.EOF
		}
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return n, err
	}
	b.complete = errors.Is(err, io.EOF)
	return n, err
}

// Discard reads the rest of the body and keeps nothing of it. It fails if the body is longer than limit bytes.
func (b *Body) Discard(limit int) error {
	n, err := io.CopyN(io.Discard, b, int64(limit)+1)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		err = errors.Errorf("the body has %d bytes or more", n)
	}
	return err
}

// ReadAll reads the rest of the body. It fails if the body is longer than limit bytes, or if grow, which is called
// with the size of each buffer before that is allocated, returns an error. A nil grow takes any size.
func (b *Body) ReadAll(limit int, grow func(size int) error) ([]byte, error) {
	if int(b.framing) > limit {
		return nil, errors.Errorf("the body has %d bytes, more than %d", b.framing, limit)
	}
	if grow == nil {
		grow = func(int) error { return nil }
	}
	if err := grow(int(b.framing)); err != nil {
		return nil, err
	}
	content := make([]byte, 0, max(int(b.framing), 512))
	for {
		if len(content) == cap(content) {
			if err := grow(2 * cap(content)); err != nil {
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
