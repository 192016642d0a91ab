package coltsupstream

// A runner's answer is a stream of server-sent events. They are passed on as
// they came; only the identity is read out of each, and the runner's own comment
// lines are taken out. A stream that ends without its last event is broken, and
// is never mistaken for a whole one.

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

// EventKind says what an event of a stream is.
type EventKind int

// The kinds of event.
const (
	// EventPrefill says that the prefill has ended.
	EventPrefill EventKind = iota + 1
	// EventPart is a part of the answer.
	EventPart
	// EventUsage says how many tokens were generated.
	EventUsage
	// EventEnd is the last event of a whole answer.
	EventEnd
	// EventOverdue says that none of the others has come by the time that was
	// asked for. The stream goes on.
	EventOverdue
)

// Event is one event of a stream. Only the fields of its kind are set.
type Event struct {
	Kind    EventKind
	Prefill coltsrequest.PrefillResult
	// Part is the event as it is passed on, valid until the next call of Next.
	Part      []byte
	Generated int64
}

var (
	dataPrefix = []byte("data: ")
	doneLine   = []byte("data: [DONE]")
	idPrefix   = []byte(`{"id":"`)
)

// Stream is a runner's answer under way. It is used by one goroutine.
type Stream struct {
	x    *exchange
	br   *bufio.Reader
	id   []byte
	part []byte
	// begun says that a part of the answer has come.
	begun bool
}

// Open sends a request and returns its stream, which must be closed.
func (c *Client) Open(ctx context.Context, r Request) (*Stream, *Failure) {
	x, failure := c.begin(ctx, r)
	if failure != nil {
		return nil, failure
	}
	if x.resp.StatusCode() != fasthttp.StatusOK || x.resp.BodyStream() == nil {
		defer x.close()
		return nil, x.badStatus()
	}
	return &Stream{x: x, br: bufio.NewReaderSize(x.resp.BodyStream(), coltspool.BufferBytes), id: []byte(r.ID.String())}, nil
}

// badStatus reports an error of the runner. A client's error is permanent.
func (x *exchange) badStatus() *Failure {
	body, failure := x.readBody()
	if failure != nil {
		return failure
	}
	f := failed(coltsattempt.PhaseSent, false, "upstream %s answered status %d: %s",
		x.req.Addr, x.resp.StatusCode(), bytes.TrimSpace(body))
	f.Permanent = x.resp.StatusCode() < fasthttp.StatusInternalServerError
	return f
}

// Queued returns how many tokens the runner said were waiting before the request,
// and whether it said so.
func (s *Stream) Queued() (int64, bool) {
	n, err := strconv.ParseInt(string(s.x.resp.Header.Peek(coltscodec.HeaderQueued)), 10, 64)
	return n, err == nil
}

// Next returns the next event. It waits until one comes, the connection goes
// silent or breaks, or the context of Open ends.
func (s *Stream) Next() (Event, *Failure) {
	return s.NextBy(time.Time{})
}

// NextBy is Next, but returns EventOverdue if no event has come by a time. Signs
// of life are no events. The zero time is never.
func (s *Stream) NextBy(overdueAt time.Time) (Event, *Failure) {
	for {
		if !overdueAt.IsZero() && !s.x.client.cfg.Now().Before(overdueAt) {
			return Event{Kind: EventOverdue}, nil
		}
		if s.br.Buffered() == 0 {
			s.x.await()
		}
		line, err := s.br.ReadSlice('\n')
		if err != nil {
			return Event{}, s.broken(err)
		}
		line = bytes.TrimRight(line, "\r\n")
		event, done, failure := s.parse(line)
		if failure != nil || done {
			return event, failure
		}
	}
}

// Buffered says whether Next has a further event without waiting for the
// network. It may say no where there is one.
func (s *Stream) Buffered() bool {
	n := s.br.Buffered()
	if n == 0 {
		return false
	}
	b, err := s.br.Peek(n)
	return err == nil && bytes.Contains(b, []byte("\n\n"))
}

// parse reads one line and says whether it is an event to hand out.
func (s *Stream) parse(line []byte) (Event, bool, *Failure) {
	switch {
	case bytes.Equal(line, doneLine):
		if err := s.drain(); err != nil {
			return Event{}, false, s.broken(err)
		}
		return Event{Kind: EventEnd}, true, nil
	case bytes.HasPrefix(line, dataPrefix):
		return s.parsePart(line)
	case bytes.HasPrefix(line, []byte(coltscodec.CommentPrefill)):
		return Event{Kind: EventPrefill, Prefill: parsePrefill(line)}, true, nil
	case bytes.HasPrefix(line, []byte(coltscodec.CommentUsage)):
		return Event{Kind: EventUsage, Generated: parseGenerated(line)}, true, nil
	}
	return Event{}, false, nil
}

func (s *Stream) parsePart(line []byte) (Event, bool, *Failure) {
	data := line[len(dataPrefix):]
	if !s.isOurs(data) {
		return Event{}, false, s.x.crossed()
	}
	s.begun = true
	s.part = append(s.part[:0], line...)
	s.part = append(s.part, "\n\n"...)
	return Event{Kind: EventPart, Part: s.part}, true, nil
}

// isOurs says whether a part carries the request's identity. Runners put it
// first, which is seen without parsing; anywhere else it is looked up.
func (s *Stream) isOurs(data []byte) bool {
	rest, first := bytes.CutPrefix(data, idPrefix)
	if first {
		return bytes.HasPrefix(rest, s.id) && len(rest) > len(s.id) && rest[len(s.id)] == '"'
	}
	return fastjson.GetString(data, "id") == string(s.id)
}

// drain reads what follows the last event, so that the connection can be kept.
func (s *Stream) drain() error {
	_, err := io.Copy(io.Discard, s.br)
	if err != nil && !isEnd(err) {
		return errors.Wrap(err, "read end of stream")
	}
	s.x.ended = true
	return nil
}

// isEnd says whether an error of reading a body's stream is its regular end.
func isEnd(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}

func (s *Stream) broken(err error) *Failure {
	phase := coltsattempt.PhaseSent
	if s.begun {
		phase = coltsattempt.PhaseAnswering
	}
	if isEnd(err) {
		err = errors.New("it ended before its last event")
	}
	return s.x.readFailure(phase, err)
}

// Close ends the stream. One that was not read to its end is cancelled by
// closing its connection.
func (s *Stream) Close() {
	s.x.close()
}

// parsePrefill reads ": colts-prefill prompt=1 cached=2 restored=3 restore-ms=4".
// A number that is missing counts as 0.
func parsePrefill(line []byte) coltsrequest.PrefillResult {
	var p coltsrequest.PrefillResult
	var restoreMillis int64
	_, err := fmt.Sscanf(string(line), coltscodec.CommentPrefill+"prompt=%d cached=%d restored=%d restore-ms=%d",
		&p.PromptTokens, &p.Cached, &p.Restored, &restoreMillis)
	if err != nil {
		return coltsrequest.PrefillResult{}
	}
	p.RestoreTook = time.Duration(restoreMillis) * time.Millisecond
	return p
}

// parseGenerated reads ": colts-usage generated=1".
func parseGenerated(line []byte) int64 {
	var n int64
	_, err := fmt.Sscanf(string(line), coltscodec.CommentUsage+"generated=%d", &n)
	if err != nil {
		return 0
	}
	return n
}
