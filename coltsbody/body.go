// Package coltsbody reads the bodies of requests to a fasthttp server within a memory budget.
package coltsbody

// By default, fasthttp reads a body whole before it calls the handler, and allocates the length that a
// client declares. A few hundred clients that declare long bodies and stop exhaust the memory. A server
// with StreamRequestBody leaves the body to its handler, which reads it here: memory grows with what has
// arrived, and is taken from a budget before it is allocated.

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsbuffer"
)

const (
	// smallBytes is the size up to which a body is small. Small bodies have a budget of their own, so that
	// large ones can't make them fail.
	smallBytes = 64 << 10
	// initialBytes is the initial size of the memory for a body.
	initialBytes = 2 << 10
	// doubleBytes is the size up to which the memory for a body doubles. Beyond it grows by half, so that
	// less is unused.
	doubleBytes = 1 << 20
	// refusedLinger is how long the rest of a refused body is still received. Closing a connection with
	// unread bytes resets it, and the reset may overtake the response.
	refusedLinger = 250 * time.Millisecond
)

// Config configures an Intake. All fields are required except Now and OnRefused.
type Config struct {
	// MaxBytes is the length of the longest body.
	MaxBytes int
	// LargeBytes is the memory for bodies that are not small, SmallBytes that for small ones.
	LargeBytes int
	SmallBytes int
	// Timeout bounds the time from the start of a body to its end.
	Timeout time.Duration
	// Now reads the clock; nil for time.Now.
	Now func() time.Time
	// OnRefused is called with the reason for which a body was refused; nil for nothing.
	OnRefused func(reason Refusal)
}

// Intake reads the bodies of one server. It is safe for concurrent use.
type Intake struct {
	cfg   Config
	small *room
	large *room
}

// NewIntake returns an intake that holds no body.
func NewIntake(cfg Config) *Intake {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Intake{cfg: cfg, small: newRoom(cfg.SmallBytes), large: newRoom(cfg.LargeBytes)}
}

// Refusal is the reason for which a body is refused.
type Refusal string

// The reasons.
const (
	RefusalTooLong Refusal = "too-long"
	RefusalTooSlow Refusal = "too-slow"
	RefusalNoRoom  Refusal = "no-room"
	RefusalBroken  Refusal = "broken"
)

// statuses maps the reasons to the status of the response. All of them mean that the request has not run.
var statuses = map[Refusal]int{
	RefusalTooLong: fasthttp.StatusRequestEntityTooLarge,
	RefusalTooSlow: fasthttp.StatusRequestTimeout,
	RefusalNoRoom:  fasthttp.StatusServiceUnavailable,
	RefusalBroken:  fasthttp.StatusBadRequest,
}

// RefusedError reports that a body was not read to its end. Nothing has been done with its request.
type RefusedError struct {
	Reason Refusal
	// Received is the number of bytes that had arrived.
	Received int
	Cause    error
}

// Error returns the reason and the cause.
func (e *RefusedError) Error() string {
	return "the body is refused as " + string(e.Reason) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// Status returns the status of the response.
func (e *RefusedError) Status() int { return statuses[e.Reason] }

// Body is a body that has been read. Its memory counts until Release is called.
type Body struct {
	// Bytes is the content. No other request uses its memory, also after Release.
	Bytes []byte

	intake *Intake
	room   *room
	share  *coltsbuffer.Share
	conn   net.Conn
	// startedAt is when the first bytes were asked for. It and what has been received decide whether a
	// body gives way to others.
	startedAt time.Time
	// listed is set while the body is listed among the unfinished ones of its room, gaveWay once its read
	// has been ended to make room for others.
	listed  bool
	gaveWay atomic.Bool
}

// Read reads the body of a request. It returns a RefusedError if the body is too long, too slow, finds no
// room, or is broken; the connection is closed after the response then. The caller must release the body.
func (i *Intake) Read(ctx *fasthttp.RequestCtx) (*Body, error) {
	stream := ctx.RequestBodyStream()
	b := &Body{intake: i, room: i.small, conn: ctx.Conn()}
	if stream == nil {
		return b, nil
	}
	b.startedAt = i.cfg.Now()
	length := ctx.Request.Header.ContentLength()
	err := errTooLong
	if length <= i.cfg.MaxBytes {
		err = b.read(stream, length)
	}
	b.unlist()
	if err == nil {
		if b.gaveWay.Load() {
			b.room.settle(b)
		}
		// The deadline was that of the body. On a closed connection the response can't be sent either.
		_ = b.conn.SetReadDeadline(time.Time{})
		return b, nil
	}
	b.Release()
	refused := &RefusedError{Reason: b.refusal(err), Received: len(b.Bytes), Cause: err}
	b.Bytes = nil
	// The server discards what arrives in this time, up to a bound, and then closes the connection. On a
	// closed one the call fails, and nothing is left to discard.
	_ = b.conn.SetReadDeadline(i.cfg.Now().Add(refusedLinger))
	if i.cfg.OnRefused != nil {
		i.cfg.OnRefused(refused.Reason)
	}
	return nil, refused
}

var errTooLong = errors.New("it is longer than allowed")

// refusal returns the reason for which an error ends a body.
func (b *Body) refusal(err error) Refusal {
	var exhausted *coltsbuffer.ExhaustedError
	switch {
	case errors.Is(err, errTooLong):
		return RefusalTooLong
	case errors.As(err, &exhausted):
		return RefusalNoRoom
	case b.gaveWay.Load() || !b.intake.cfg.Now().Before(b.startedAt.Add(b.intake.cfg.Timeout)):
		// fasthttp hides the cause of an error within a chunk.
		return RefusalTooSlow
	}
	return RefusalBroken
}

// read reads the body to its end. length is the declared length, negative for a chunked body.
func (b *Body) read(stream io.Reader, length int) error {
	for {
		if len(b.Bytes) == cap(b.Bytes) {
			if err := b.grow(length); err != nil {
				return err
			}
		}
		n, err := stream.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		if len(b.Bytes) > b.intake.cfg.MaxBytes {
			return errTooLong
		}
		if errors.Is(err, io.EOF) {
			if length > len(b.Bytes) {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
		// Most bodies are complete with the first read and are never listed.
		if err := b.list(); err != nil {
			return err
		}
	}
}

// grow makes room for more of the body.
func (b *Body) grow(length int) error {
	size := max(initialBytes, 2*cap(b.Bytes))
	if cap(b.Bytes) >= doubleBytes {
		size = cap(b.Bytes) + cap(b.Bytes)/2
	}
	// One byte more shows that a chunked body is too long, or that one with a length has ended.
	size = min(size, b.intake.cfg.MaxBytes+1)
	if length >= 0 {
		size = min(size, max(length, 1))
	}
	if size <= cap(b.Bytes) {
		// A stream returns no byte beyond the declared length.
		return errTooLong
	}
	if err := b.take(size); err != nil {
		return err
	}
	grown := make([]byte, len(b.Bytes), size)
	copy(grown, b.Bytes)
	b.Bytes = grown
	return nil
}

// take takes memory for a body of size bytes from the budget. A body that is no longer small moves to the
// budget of the large ones.
func (b *Body) take(size int) error {
	room := b.intake.small
	if size > smallBytes {
		room = b.intake.large
	}
	if b.share == nil || room != b.room {
		share := room.budget.NewShare()
		if err := room.take(share, size, b, b.intake.cfg.Now); err != nil {
			return err
		}
		b.Release()
		wasListed := b.listed
		b.unlist()
		b.gaveWay.Store(false)
		b.room, b.share = room, share
		if wasListed {
			return b.list()
		}
		return nil
	}
	return room.take(b.share, size, b, b.intake.cfg.Now)
}

// list adds the body to the unfinished ones of its room and sets the deadline of its end.
func (b *Body) list() error {
	if b.listed {
		return nil
	}
	if err := b.conn.SetReadDeadline(b.startedAt.Add(b.intake.cfg.Timeout)); err != nil {
		return err
	}
	b.listed = true
	b.room.list(b)
	return nil
}

func (b *Body) unlist() {
	if b.listed {
		b.listed = false
		b.room.unlist(b)
	}
}

// Release returns the body's memory to the budget. Further calls have no effect.
func (b *Body) Release() {
	if b.share == nil {
		return
	}
	b.share.Release()
	b.share = nil
	if b.gaveWay.Load() {
		b.room.settle(b)
	}
	b.room.released.Broadcast()
}

// Hold takes memory for a response of size bytes from the budget for large bodies, and returns a function
// that releases it. It returns an ExhaustedError if there is no room.
func (i *Intake) Hold(size int) (release func(), err error) {
	b := &Body{intake: i, room: i.large, share: i.large.budget.NewShare()}
	if err := i.large.take(b.share, size, b, i.cfg.Now); err != nil {
		return nil, err
	}
	return b.Release, nil
}
