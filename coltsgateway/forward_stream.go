package coltsgateway

// A stream is passed on in complete events only. If an upstream breaks off, the incomplete event
// at the end is dropped, so that another upstream can resume after the last event sent where
// the route allows that.

import (
	"bytes"
	"io"
	"iter"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsresponse"
)

const (
	// initialEventBufferBytes is the initial size of the event buffer, maxEventBytes the size
	// of the longest event that is passed on.
	initialEventBufferBytes = 2 << 10
	maxEventBytes           = 1 << 20
	// slowReaderTime is how long a write may wait for the caller before a later end of the upstream's
	// connection counts as the caller's fault. Upstreams cut off responses that stay unread for seconds.
	slowReaderTime = time.Second
)

// forwardStream passes on a stream. It returns nil if the request has ended.
func (f *forwarding) forwardStream(x *exchange) *attemptError {
	s := &eventStream{f: f, x: x, buffer: make([]byte, 0, initialEventBufferBytes)}
	for {
		ended, err := s.read()
		if errors.Is(err, errCallerDisconnected) {
			return nil
		}
		if err != nil {
			return s.failure(err)
		}
		if ended {
			f.completed = true
			f.g.poison.RecordAnswer(f.parts, f.g.now())
			return nil
		}
	}
}

// mayBeEvents reports whether a response is a stream of events, or does not say what it is.
func mayBeEvents(resp *fasthttp.ResponseHeader) bool {
	mediaType, _, _ := bytes.Cut(resp.ContentType(), []byte(";"))
	mediaType = bytes.TrimSpace(mediaType)
	return len(mediaType) == 0 || bytes.EqualFold(mediaType, []byte("text/event-stream"))
}

// isEvents reports whether the response is known to be a stream of events: it says so, has had events, or
// ends with its connection as a stream may. A message without a type that has a length or chunks need
// not be one.
func (s *eventStream) isEvents() bool {
	return len(s.x.resp.ContentType()) > 0 || s.f.eventReads > 0 || s.x.body.Framing() == coltsresponse.FramingUntilClose
}

// errCallerDisconnected reports that the caller closed its connection.
var errCallerDisconnected = errors.New("the caller disconnected")

// eventStream passes one stream from an upstream to the caller.
type eventStream struct {
	f      *forwarding
	x      *exchange
	buffer []byte
	out    []byte
	// scanned is how far the buffer has been searched for the ends of events.
	scanned eventScan
	// callerSlow is set once a write has waited for the caller for slowReaderTime.
	callerSlow bool
}

// read reads the available bytes and passes on the complete events in them. It reports whether
// the stream has ended properly.
func (s *eventStream) read() (bool, error) {
	if len(s.buffer) == cap(s.buffer) {
		if len(s.buffer) >= maxEventBytes {
			return false, errors.Errorf("an event has more than %d bytes", maxEventBytes)
		}
		// What is sent to the caller is a copy of the same size.
		if err := s.f.buffered.Grow(4 * cap(s.buffer)); err != nil {
			s.f.countExhausted(err)
			return false, err
		}
		s.buffer = slices.Grow(s.buffer, cap(s.buffer))
	}
	n, err := s.x.body.Read(s.buffer[len(s.buffer):cap(s.buffer)])
	s.buffer = s.buffer[:len(s.buffer)+n]
	end := s.scanned.endOfEvents(s.buffer)
	ended := errors.Is(err, io.EOF)
	if ended && s.isEvents() && len(bytes.TrimSpace(s.buffer[end:])) > 0 {
		// Whatever the framing says, the rest of this event is missing.
		ended, err = false, io.ErrUnexpectedEOF
	}
	if ended {
		end, err = len(s.buffer), nil
	}
	if forwardErr := s.forward(end, ended); forwardErr != nil {
		return false, forwardErr
	}
	return ended, err
}

// eventScan searches a buffer that grows for the ends of events, each byte once: an event of 1 MB may come
// in some hundred thousand reads. An event ends with an empty line, and a line with LF, CR LF or CR.
type eventScan struct {
	// searched is the index of the first byte that has not been searched, lineStart that of its line's start.
	searched  int
	lineStart int
}

// next returns the index just behind the next complete event, 0 if there is none.
func (s *eventScan) next(b []byte) int {
	for i := s.searched; i < len(b); i++ {
		if b[i] != '\n' && b[i] != '\r' {
			continue
		}
		isEmpty, isLast := i == s.lineStart, i+1 == len(b)
		switch {
		case b[i] == '\r' && isLast && !isEmpty:
			// An LF of the same line may follow, so this byte is searched again.
			s.searched = i
			return 0
		case b[i] == '\r' && !isLast && b[i+1] == '\n':
			i++
		}
		s.lineStart = i + 1
		if isEmpty {
			s.searched = i + 1
			return i + 1
		}
	}
	s.searched = len(b)
	return 0
}

// endOfEvents returns the index just behind the last complete event, 0 if there is none.
func (s *eventScan) endOfEvents(b []byte) int {
	last := 0
	for end := s.next(b); end > 0; end = s.next(b) {
		last = end
	}
	return last
}

// drop records that the first n bytes have been removed from the buffer.
func (s *eventScan) drop(n int) {
	s.searched, s.lineStart = max(0, s.searched-n), max(0, s.lineStart-n)
}

// events iterates over the complete events in b.
func events(b []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		var s eventScan
		start := 0
		for end := s.next(b); end > 0 && yield(b[start:end]); end = s.next(b) {
			start = end
		}
	}
}

// forward sends the first n bytes of the buffer to the caller, and the end of the body if last is
// set.
func (s *eventStream) forward(n int, last bool) error {
	if n == 0 && !last {
		return nil
	}
	if err := s.f.checkResumed(s.buffer[:n]); err != nil {
		return err
	}
	s.out = s.out[:0]
	if !s.f.headSent {
		s.out = s.f.appendStreamHead(s.out, s.x)
	}
	if n > 0 {
		s.out = appendChunk(s.out, s.buffer[:n])
		s.f.recordEvents(s.buffer[:n])
		s.buffer = append(s.buffer[:0], s.buffer[n:]...)
		s.scanned.drop(n)
	}
	if last {
		s.out = append(s.out, lastChunk...)
	}
	began := s.f.g.now()
	if !s.f.write(s.out) {
		return errCallerDisconnected
	}
	s.recordWrite(began)
	return nil
}

// recordWrite records how long a write waited for the caller. That time is no pause of the upstream.
func (s *eventStream) recordWrite(began time.Time) {
	now := s.f.g.now()
	s.callerSlow = s.callerSlow || now.Sub(began) >= slowReaderTime
	if !s.f.lastForwardedAt.IsZero() {
		s.f.lastForwardedAt = now
	}
}

// appendStreamHead appends the head of a streamed response and records that the response has begun.
func (f *forwarding) appendStreamHead(dst []byte, x *exchange) []byte {
	f.headSent = true
	f.g.balancer.AnswerStarted(&f.choice, f.g.now())
	f.status = x.resp.StatusCode()
	f.firstAt = f.g.now()
	f.closeConn = f.closeConn || f.g.isDraining()
	dst = appendStatusLine(dst, f.status)
	dst = f.g.dialect.AppendResponseHeaders(dst, x.resp)
	dst = append(dst, "Transfer-Encoding: chunked\r\n"...)
	return finishHead(dst, f.closeConn)
}

// recordGap records the time since events were last passed on.
func (f *forwarding) recordGap() {
	now := f.g.now()
	if !f.lastForwardedAt.IsZero() {
		f.longestPause = max(f.longestPause, now.Sub(f.lastForwardedAt))
		f.g.balancer.RecordGap(f.choice, now.Sub(f.lastForwardedAt), now)
	}
	f.lastForwardedAt = now
}

// checkResumed returns an error if the first events of an attempt that resumes a stream are not behind
// those that the caller has. Only IDs that are numbers can be compared.
func (f *forwarding) checkResumed(events []byte) error {
	if f.lastEventID == "" || f.eventReads > 0 || !f.lifecycle.Route.Resumable {
		return nil
	}
	last, lastErr := strconv.ParseUint(f.lastEventID, 10, 64)
	first, firstErr := strconv.ParseUint(string(f.g.dialect.EventID(events)), 10, 64)
	if lastErr != nil || firstErr != nil || first > last {
		return nil
	}
	return errors.Errorf("it was resumed at event %d, though the caller has event %d", first, last)
}

// recordEvents records the ID of the newest event that is being sent to the caller.
func (f *forwarding) recordEvents(text []byte) {
	f.lifecycle.AnswerStarted()
	f.eventReads++
	if f.eventReads == beginningReads+1 {
		f.g.poison.RecordAnswer(f.parts, f.g.now())
	}
	f.recordGap()
	if !f.lifecycle.Route.Resumable {
		return
	}
	for event := range events(text) {
		if id := f.g.dialect.EventID(event); len(id) > 0 {
			f.lastEventID = string(id)
		}
	}
}

// failure turns an error while reading the stream into a failed attempt.
func (s *eventStream) failure(err error) *attemptError {
	phase := coltsattempt.PhaseSent
	if s.f.headSent {
		phase = coltsattempt.PhaseAnswering
		s.f.g.metrics.Add(coltsmetric.Resumes, 1)
	}
	failure := s.x.readFailure(phase, err)
	if s.callerSlow && failure.connectionLost {
		failure.outcome, failure.connectionLost = coltsbalance.OutcomeNeutral, false
		failure.Detail = "the caller read too slowly: " + failure.Detail
		return failure
	}
	if failure.outcome == coltsbalance.OutcomeNeutral {
		failure.Detail = "the request was cancelled: " + failure.Detail
	}
	return failure
}
