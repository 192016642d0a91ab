package coltsbody

// Bodies share a room of memory. When it is full, unfinished bodies that have made too little progress
// since their start give way to a further one. Progress counts from the start and not from the last byte,
// because a client that sends a byte now and then makes none.

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltsbuffer"
	"coltsfootstall/coltsloop"
)

const (
	// roomWait bounds the wait for the room of bodies that give way. They are woken at once.
	roomWait = 300 * time.Millisecond
	// uncountedBytes is the part of a message that a share of coltsbuffer does not count.
	uncountedBytes = 32 << 10
)

// room is memory that bodies share.
type room struct {
	budget *coltsbuffer.Budget
	// released is fired when memory is returned.
	released *coltsloop.Signal

	mu sync.Mutex
	// unfinished holds the bodies that wait for bytes, with the memory that each takes; it has received at
	// least half of that.
	unfinished map[*Body]int
	// leaving holds the bodies that give way and have not returned their memory yet.
	leaving map[*Body]struct{}
}

// bodyPace returns the progress that a body must show. An operator's body of 4 MB arrives within 3 s even over
// a link that other traffic half fills, and its client waits for 5 s.
func bodyPace() coltsbuffer.Pace {
	return coltsbuffer.Pace{Grace: time.Second, BytesPerSecond: 1 << 20}
}

var errGaveWay = errors.New("it gave way to others")

func newRoom(size int) *room {
	return &room{
		budget: coltsbuffer.NewBudget(size), released: coltsloop.NewSignal(),
		unfinished: map[*Body]int{}, leaving: map[*Body]struct{}{},
	}
}

// take makes a share size bytes large. If there is no room, slow bodies give way, and it waits for a short
// time for what they return. For a body that gives way itself it returns errGaveWay.
func (r *room) take(share *coltsbuffer.Share, size int, b *Body, now func() time.Time) error {
	released := r.released.Channel()
	if b.gaveWay.Load() {
		return errGaveWay
	}
	err := share.Grow(size + uncountedBytes)
	if err == nil {
		r.record(b, size)
		return nil
	}
	if !r.shed(size, b, now()) {
		return err
	}
	timer := time.NewTimer(roomWait)
	defer timer.Stop()
	for {
		select {
		case <-released:
		case <-timer.C:
			return err
		}
		released = r.released.Channel()
		if b.gaveWay.Load() {
			return errGaveWay
		}
		if err = share.Grow(size + uncountedBytes); err == nil {
			r.record(b, size)
			return nil
		}
	}
}

func (r *room) list(b *Body) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unfinished[b] = cap(b.Bytes)
}

func (r *room) unlist(b *Body) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unfinished, b)
}

// record records the memory that a listed body takes.
func (r *room) record(b *Body, size int) {
	if !b.listed {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, waits := r.unfinished[b]; waits {
		r.unfinished[b] = size
	}
}

// shed ends the reads of slow bodies, newest first, until they take size bytes together. It reports
// whether memory will be returned, also by bodies that gave way to others before.
func (r *room) shed(size int, except *Body, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var bodies []*Body
	var holders []coltsbuffer.Holder
	for b, taken := range r.unfinished {
		if b != except {
			bodies = append(bodies, b)
			holders = append(holders, coltsbuffer.Holder{Phase: coltsbuffer.PhaseReading, Since: b.startedAt, Received: taken, Held: taken})
		}
	}
	chosen := coltsbuffer.Choose(holders, coltsbuffer.Need{Bytes: size}, bodyPace(), now)
	for _, i := range chosen {
		b := bodies[i]
		delete(r.unfinished, b)
		r.leaving[b] = struct{}{}
		b.gaveWay.Store(true)
		// The body's own goroutine returns the memory. On a closed connection its read has ended already.
		_ = b.conn.SetReadDeadline(time.Unix(1, 0))
	}
	if len(chosen) > 0 {
		// Those that wait for room themselves stop waiting.
		r.released.Broadcast()
	}
	return len(r.leaving) > 0
}

// settle records that a body that gave way has returned its memory or is whole.
func (r *room) settle(b *Body) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.leaving, b)
}
