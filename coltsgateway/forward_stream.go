package coltsgateway

// A stream is passed on event by event, and only whole events: what stands behind the
// last whole one when an upstream breaks off is dropped, so that another upstream can
// go on after it where the route allows that.

import (
	"bytes"
	"io"

	"github.com/pkg/errors"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsmetric"
)

const (
	// eventBytes is the room for events to begin with, maxEventBytes the longest
	// event that is passed on.
	eventBytes    = 2 << 10
	maxEventBytes = 1 << 20
)

// stream passes a stream on; nil if the request has ended.
func (f *forwarding) stream(x *exchange) *attemptError {
	s := &eventStream{f: f, x: x, buffer: make([]byte, 0, eventBytes)}
	for {
		whole, err := s.read()
		if errors.Is(err, errCallerLeft) {
			return nil
		}
		if err != nil {
			return s.broken(err)
		}
		if whole {
			f.endedWell = true
			return nil
		}
	}
}

// errCallerLeft says that the caller takes no more.
var errCallerLeft = errors.New("the caller left")

// eventStream is a stream under way.
type eventStream struct {
	f      *forwarding
	x      *exchange
	buffer []byte
	out    []byte
}

// read reads what has come and passes on the whole events in it. It says whether the
// stream has ended as it should.
func (s *eventStream) read() (bool, error) {
	if len(s.buffer) == cap(s.buffer) {
		if len(s.buffer) >= maxEventBytes {
			return false, errors.Errorf("an event has more than %d bytes", maxEventBytes)
		}
		s.buffer = append(s.buffer, 0)[:len(s.buffer)]
	}
	n, err := s.x.body.Read(s.buffer[len(s.buffer):cap(s.buffer)])
	s.buffer = s.buffer[:len(s.buffer)+n]
	if errors.Is(err, io.EOF) {
		return true, s.pass(len(s.buffer), true)
	}
	if passErr := s.pass(endOfEvents(s.buffer), false); passErr != nil {
		return false, passErr
	}
	return false, err
}

// endOfEvents returns where the last whole event ends.
func endOfEvents(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// pass sends the first n bytes of the buffer to the caller, and with last the end of
// the body.
func (s *eventStream) pass(n int, last bool) error {
	if n == 0 && !last {
		return nil
	}
	s.out = s.out[:0]
	if !s.f.headSent {
		s.out = s.f.appendStreamHead(s.out, s.x)
	}
	if n > 0 {
		s.out = appendChunk(s.out, s.buffer[:n])
		s.f.noteEvents(s.buffer[:n])
		s.buffer = append(s.buffer[:0], s.buffer[n:]...)
	}
	if last {
		s.out = append(s.out, lastChunk...)
	}
	if !s.f.write(s.out) {
		return errCallerLeft
	}
	return nil
}

func (f *forwarding) appendStreamHead(dst []byte, x *exchange) []byte {
	f.headSent = true
	f.g.balancer.Begun(&f.choice)
	f.status = x.resp.StatusCode()
	f.firstAt = f.g.now()
	f.closes = f.closes || f.g.draining.Load()
	dst = appendHead(dst, f.status)
	dst = f.g.dialect.AppendAnswer(dst, x.resp)
	dst = append(dst, "Transfer-Encoding: chunked\r\n"...)
	return appendConnection(dst, f.closes)
}

// notePause measures the time since events were last passed on.
func (f *forwarding) notePause() {
	now := f.g.now()
	if !f.passedAt.IsZero() {
		f.pause = max(f.pause, now.Sub(f.passedAt))
		f.g.balancer.Paced(f.choice, now.Sub(f.passedAt), now)
	}
	f.passedAt = now
}

// noteEvents remembers the newest event that is on its way to the caller.
func (f *forwarding) noteEvents(events []byte) {
	f.life.Begun()
	f.notePause()
	if !f.life.Route.Resumable {
		return
	}
	for _, event := range bytes.SplitAfter(events, []byte("\n\n")) {
		if id := f.g.dialect.EventID(event); len(id) > 0 {
			f.lastEvent = string(id)
		}
	}
}

// broken takes in that the upstream broke off.
func (s *eventStream) broken(err error) *attemptError {
	phase := coltsattempt.PhaseSent
	if s.f.headSent {
		phase = coltsattempt.PhaseAnswering
		s.f.g.metrics.Add(coltsmetric.Resumes, 1)
	}
	failure := s.x.readFailure(phase, err)
	if failure.outcome == coltsbalance.OutcomeUntold {
		failure.Detail = "the request was given up: " + failure.Detail
	}
	return failure
}
