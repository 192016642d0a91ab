package coltsgateway

// The body of an upstream's answer, however it is framed. Only a body that ended as
// its framing says counts as whole.

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"

	"github.com/pkg/errors"
)

// The framings that fasthttp reports in place of a length.
const (
	framedByChunks = -1
	framedByClose  = -2
)

// body reads one body.
type body struct {
	br   *bufio.Reader
	from io.Reader
	// framing is a length or one of the framings above.
	framing int
	left    int
	// whole says that the body ended as it should.
	whole bool
}

func newBody(br *bufio.Reader, framing int) *body {
	b := &body{br: br, framing: framing, left: framing, from: br}
	if framing == framedByChunks {
		b.from = httputil.NewChunkedReader(br)
	}
	b.whole = framing == 0
	return b
}

// Read reads a part of the body. It returns io.EOF only at its proper end.
func (b *body) Read(p []byte) (int, error) {
	if b.whole {
		return 0, io.EOF
	}
	if b.framing >= 0 && len(p) > b.left {
		p = p[:b.left]
	}
	n, err := b.from.Read(p)
	if b.framing >= 0 {
		b.left -= n
		if b.left == 0 {
			b.whole = true
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
	if b.framing == framedByChunks {
		if err := skipTrailer(b.br); err != nil {
			return n, err
		}
	}
	b.whole = true
	return n, io.EOF
}

// skipTrailer reads the lines behind the last chunk up to the empty one.
func skipTrailer(br *bufio.Reader) error {
	for {
		line, err := br.ReadSlice('\n')
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
}

// readAll reads the rest of a body of at most limit bytes.
func (b *body) readAll(limit int) ([]byte, error) {
	if b.framing > limit {
		return nil, errors.Errorf("the body has %d bytes, more than %d", b.framing, limit)
	}
	content := make([]byte, 0, max(b.framing, 512))
	for {
		if len(content) == cap(content) {
			content = append(content, 0)[:len(content)]
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
