package coltsresponse

// Heads. A head is checked line by line in the buffer of its connection and then parsed there by the HTTP
// library.

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// maxInterimResponses bounds the interim (1xx) responses that are skipped before a response.
const maxInterimResponses = 8

// Framing says where the body of a response ends: the length in bytes, or one of the values below.
type Framing int

// The framings of bodies without a length.
const (
	FramingChunked    Framing = -1
	FramingUntilClose Framing = -2
)

// ReadHead reads the head of a response into h and returns the framing of its body. Interim responses are
// skipped; onHead is called after each head, nil for not. An UnreadableError is returned as soon as a wrong byte
// has arrived, whatever may follow. The head must fit into the buffer of br.
func ReadHead(br *bufio.Reader, h *fasthttp.ResponseHeader, onHead func()) (Framing, error) {
	for range maxInterimResponses + 1 {
		framing, err := readOneHead(br, h)
		if err != nil {
			return 0, err
		}
		if onHead != nil {
			onHead()
		}
		switch status := h.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return 0, unreadable(PartInterim, "it switches to another protocol, which no request asks for")
		case status >= fasthttp.StatusOK:
			return framing, nil
		}
	}
	return 0, unreadable(PartInterim, "there are more than %d interim responses", maxInterimResponses)
}

// readOneHead reads the head of a final or an interim response.
func readOneHead(br *bufio.Reader, h *fasthttp.ResponseHeader) (Framing, error) {
	head, err := peekHead(br)
	if err != nil {
		return 0, err
	}
	framing, err := head.framing()
	if err != nil {
		return 0, err
	}
	if err := h.Read(br); err != nil {
		// The whole head is in the buffer, so this is no failure of the connection.
		return 0, unreadable(PartField, "%v", err)
	}
	return framing, nil
}

// head holds what decides on the framing of a body.
type head struct {
	minor  byte
	status []byte
	// lengths and codings are the values of the fields Content-Length and Transfer-Encoding.
	lengths [][]byte
	codings [][]byte
}

// peekHead checks the next head, and leaves it in the buffer. The result is valid until the next read.
func peekHead(br *bufio.Reader) (head, error) {
	_, fieldsAt, err := peekLine(br, 0, checkStatusLine)
	if err != nil {
		return head{}, err
	}
	end := fieldsAt
	for isLast := false; !isLast; {
		line, next, err := peekLine(br, end, checkFieldOf(PartField))
		if err != nil {
			return head{}, err
		}
		end, isLast = next, len(line) == 0
	}
	// Peeking may have moved what the buffer holds.
	all, err := br.Peek(end)
	if err != nil {
		return head{}, err
	}
	h := head{minor: all[minorAt], status: all[statusAt:len(statusForm)]}
	h.addFields(all[fieldsAt : end-len("\r\n")])
	return h, nil
}

// addFields records the fields of checked lines that are about the framing.
func (h *head) addFields(lines []byte) {
	for line := range bytes.SplitSeq(lines, []byte("\r\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.Trim(value, " \t")
		switch {
		case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
			h.lengths = append(h.lengths, value)
		case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
			h.codings = append(h.codings, value)
		}
	}
}

// framing returns the framing of the body, by RFC 9112, section 6.3. What that section lets recipients handle as
// an error is one.
func (h *head) framing() (Framing, error) {
	length := FramingUntilClose
	switch {
	case len(h.lengths)+len(h.codings) > 1:
		return 0, unreadable(PartFraming, "there are %d lengths and %d transfer codings", len(h.lengths), len(h.codings))
	case len(h.codings) == 1 && h.minor == '0':
		return 0, unreadable(PartFraming, "HTTP/1.0 has no transfer codings")
	case len(h.codings) == 1 && !bytes.EqualFold(h.codings[0], []byte("chunked")):
		return 0, unreadable(PartFraming, "the transfer coding %q is not supported", h.codings[0])
	case len(h.codings) == 1:
		length = FramingChunked
	case len(h.lengths) == 1:
		n, err := parseLength(h.lengths[0])
		if err != nil {
			return 0, err
		}
		length = n
	}
	if status := string(h.status); status[0] == '1' || status == "204" || status == "304" {
		return 0, nil
	}
	return length, nil
}

func parseLength(value []byte) (Framing, error) {
	n, err := strconv.ParseUint(string(value), 10, strconv.IntSize-1)
	if err != nil {
		return 0, unreadable(PartFraming, "the length %q is no number of bytes", value)
	}
	return Framing(n), nil
}

// peekLine returns the line that starts at an index of what br has buffered and will buffer, without its CR LF,
// and the index behind it. check is called with the line, and before that with what of it has arrived. The line is
// valid until the next read.
func peekLine(br *bufio.Reader, start int, check func(line []byte, complete bool) error) (line []byte, next int, err error) {
	for n := start + 1; ; n = br.Buffered() + 1 {
		if _, err := br.Peek(n); err != nil {
			return nil, 0, lineError(br, err)
		}
		buffered, err := br.Peek(br.Buffered())
		if err != nil {
			return nil, 0, err
		}
		line, _, complete := bytes.Cut(buffered[start:], []byte("\n"))
		text, hasCR := bytes.CutSuffix(line, []byte("\r"))
		if complete && !hasCR {
			// Some parsers take a bare line feed for the end of the line, others for a part of it.
			text = buffered[start : start+len(line)+1]
		}
		if err := check(text, complete); err != nil {
			return nil, 0, err
		}
		if complete {
			return text, start + len(line) + 1, nil
		}
	}
}

// lineError returns the error of a line that did not arrive whole.
func lineError(br *bufio.Reader, err error) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return unreadable(PartLine, "it does not fit into %d bytes", br.Size())
	case errors.Is(err, io.EOF) && br.Buffered() > 0:
		return io.ErrUnexpectedEOF
	}
	return err
}
