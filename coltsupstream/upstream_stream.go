package coltsupstream

// A runner's streamed answer consists of server-sent events. They are forwarded unchanged,
// except that the runner's comment lines are removed; only the request ID in each is read.
// A stream that ends without its final event, "[DONE]", counts as broken.

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltspool"
	"coltsfootstall/coltsrequest"
)

// EventKind is the kind of an Event.
type EventKind int

// The kinds of event.
const (
	// EventPrefill means that the prefill has ended.
	EventPrefill EventKind = iota + 1
	// EventPart is one part of the answer.
	EventPart
	// EventUsage reports how many tokens were generated.
	EventUsage
	// EventEnd is the final event of a complete answer.
	EventEnd
	// EventOverdue means that no other event has arrived by the time passed to NextBy. The
	// stream remains usable.
	EventOverdue
)

// Event is one event of a stream. Only the field that belongs to Kind is set.
type Event struct {
	Kind    EventKind
	Prefill coltsrequest.PrefillResult
	// Part is the encoded event to forward to the caller. It is valid until the next call of
	// Next or NextBy.
	Part []byte
	// GeneratedTokens is the number of generated tokens.
	GeneratedTokens int64
}

var (
	dataPrefix = []byte("data: ")
	doneLine   = []byte("data: [DONE]")
	idPrefix   = []byte(`{"id":"`)
)

// Stream reads a runner's streamed answer. It must be used by one goroutine at a time.
type Stream struct {
	x  *exchange
	br *bufio.Reader
	id []byte
	// part is the buffer of Event.Part.
	part []byte
	// started is set once a part of the answer has arrived.
	started bool
}

// Open sends a request and returns its stream, which must be closed.
func (c *Client) Open(ctx context.Context, r Request) (*Stream, *Failure) {
	x, failure := c.begin(ctx, r)
	if failure != nil {
		return nil, failure
	}
	if x.head.StatusCode() != fasthttp.StatusOK {
		defer x.close()
		return nil, x.statusFailure()
	}
	return &Stream{
		x: x, br: bufio.NewReaderSize(x.body, coltspool.BufferBytes), id: []byte(r.ID.String()),
	}, nil
}

// statusFailure returns the failure for a response with an error status. A client error
// (below 500) is permanent.
func (x *exchange) statusFailure() *Failure {
	body, failure := x.readBody()
	if failure != nil {
		return failure
	}
	f := newFailure(coltsattempt.PhaseSent, false, "upstream %s answered status %d: %s",
		x.req.Addr, x.head.StatusCode(), bytes.TrimSpace(body))
	f.Permanent = x.head.StatusCode() < fasthttp.StatusInternalServerError
	return f
}

// QueuedTokens returns the number of tokens that the runner reported as queued ahead of the
// request, and whether it reported a number.
func (s *Stream) QueuedTokens() (int64, bool) {
	n, err := strconv.ParseInt(string(s.x.head.Peek(coltscodec.HeaderQueued)), 10, 64)
	return n, err == nil
}

// Next returns the next event. It blocks until an event arrives, the connection fails or
// times out, or the context of Open ends.
func (s *Stream) Next() (Event, *Failure) {
	return s.NextBy(time.Time{})
}

// NextBy is like Next, but returns EventOverdue if no event has arrived by overdueAt. Heartbeats
// are not events. The time is checked before each line is read, so without heartbeats the
// result can be late. The zero time means no limit.
func (s *Stream) NextBy(overdueAt time.Time) (Event, *Failure) {
	for {
		if !overdueAt.IsZero() && !s.x.client.cfg.Now().Before(overdueAt) {
			return Event{Kind: EventOverdue}, nil
		}
		if s.br.Buffered() == 0 {
			s.x.extendReadDeadline()
		}
		line, err := s.br.ReadSlice('\n')
		if err != nil {
			return Event{}, s.readFailure(err)
		}
		line = bytes.TrimRight(line, "\r\n")
		event, isEvent, failure := s.parse(line)
		if failure != nil || isEvent {
			return event, failure
		}
	}
}

// Buffered reports whether Next can return an event without waiting for the network. It may
// return false even if an event is available.
func (s *Stream) Buffered() bool {
	n := s.br.Buffered()
	if n == 0 {
		return false
	}
	b, err := s.br.Peek(n)
	return err == nil && bytes.Contains(b, []byte("\n\n"))
}

// parse parses one line. The boolean reports whether the line is an event that Next
// returns.
func (s *Stream) parse(line []byte) (Event, bool, *Failure) {
	switch {
	case bytes.Equal(line, doneLine):
		s.drain()
		return Event{Kind: EventEnd}, true, nil
	case bytes.HasPrefix(line, dataPrefix):
		return s.parsePart(line)
	case bytes.HasPrefix(line, []byte(coltscodec.CommentPrefill)):
		return Event{Kind: EventPrefill, Prefill: parsePrefill(line)}, true, nil
	case bytes.HasPrefix(line, []byte(coltscodec.CommentUsage)):
		return Event{Kind: EventUsage, GeneratedTokens: parseGenerated(line)}, true, nil
	}
	return Event{}, false, nil
}

func (s *Stream) parsePart(line []byte) (Event, bool, *Failure) {
	data := line[len(dataPrefix):]
	if !s.matchesID(data) {
		return Event{}, false, s.x.mismatchFailure()
	}
	s.started = true
	s.part = append(s.part[:0], line...)
	s.part = append(s.part, "\n\n"...)
	return Event{Kind: EventPart, Part: s.part}, true, nil
}

// matchesID reports whether a part carries the ID of the request. If the ID is the first
// field, as runners write it, it is compared without parsing the JSON.
func (s *Stream) matchesID(data []byte) bool {
	rest, idFirst := bytes.CutPrefix(data, idPrefix)
	if idFirst {
		return bytes.HasPrefix(rest, s.id) && len(rest) > len(s.id) && rest[len(s.id)] == '"'
	}
	return fastjson.GetString(data, "id") == string(s.id)
}

// maxDrainBytes bounds what is read after the final event.
const maxDrainBytes = 4 << 10

// drain reads the rest of the body after the final event, so that the connection can be
// reused. The answer is complete whatever follows; a connection on which the body does not
// end soon is not reused.
func (s *Stream) drain() {
	_ = s.x.conn.SetReadDeadline(s.x.client.cfg.Now().Add(drainTimeout)) // the read below reports a closed connection
	// The body knows whether it has ended.
	_, _ = io.CopyN(io.Discard, s.br, maxDrainBytes)
}

// drainTimeout bounds the wait for the end of the body after the final event.
const drainTimeout = 100 * time.Millisecond

// isEnd reports whether an error of reading a body stream is its regular end.
func isEnd(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}

// readFailure returns the failure for an error while reading the stream.
func (s *Stream) readFailure(err error) *Failure {
	phase := coltsattempt.PhaseSent
	if s.started {
		phase = coltsattempt.PhaseAnswering
	}
	if isEnd(err) {
		err = errors.New("the stream ended before its final event")
	}
	return s.x.readFailure(phase, err)
}

// Close closes the stream. If it was not read to its end, Close closes the connection, which
// cancels the request.
func (s *Stream) Close() {
	s.x.close()
}

// parsePrefill parses the comment line ": colts-prefill prompt=1 cached=2 restored=3 restore-ms=4".
// It returns a zero result if a number is missing.
func parsePrefill(line []byte) coltsrequest.PrefillResult {
	var p coltsrequest.PrefillResult
	var restoreMillis int64
	_, err := fmt.Sscanf(string(line), coltscodec.CommentPrefill+"prompt=%d cached=%d restored=%d restore-ms=%d",
		&p.PromptTokens, &p.Cached, &p.Restored, &restoreMillis)
	if err != nil {
		return coltsrequest.PrefillResult{}
	}
	p.RestoreDuration = time.Duration(restoreMillis) * time.Millisecond
	return p
}

// parseGenerated parses the comment line ": colts-usage generated=1". It returns 0 if the
// number is missing.
func parseGenerated(line []byte) int64 {
	var n int64
	_, err := fmt.Sscanf(string(line), coltscodec.CommentUsage+"generated=%d", &n)
	if err != nil {
		return 0
	}
	return n
}
