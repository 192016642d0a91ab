package coltsbody

// Guards against whole bodies that are refused while the room of unfinished ones is about to be free.

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newSlowBody lists a body that takes size bytes of a room, and that is old enough to give way.
func newSlowBody(t *testing.T, r *room, size int) *Body {
	t.Helper()
	client, server := net.Pipe()
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	b := &Body{room: r, share: r.budget.NewShare(), conn: server, startedAt: time.Now().Add(-time.Minute), Bytes: make([]byte, 0, size)}
	assert.NilError(t, r.take(b.share, size, b, time.Now))
	b.listed = true
	r.list(b)
	return b
}

// take takes room for a further body in the background.
func take(r *room, size int) <-chan error {
	taken := make(chan error, 1)
	go func() { taken <- r.take(r.budget.NewShare(), size, &Body{}, time.Now) }()
	return taken
}

func TestGivingWay(t *testing.T) {
	t.Run("all bodies that fit get the room of one that gives way", func(t *testing.T) {
		r := newRoom(1000)
		slow := newSlowBody(t, r, 1000)
		first, second := take(r, 400), take(r, 400)
		time.Sleep(50 * time.Millisecond)
		slow.unlist()
		slow.Release()
		assert.NilError(t, <-first)
		assert.NilError(t, <-second)
	})
	t.Run("a body that waits for room and then gives way does not wait on", func(t *testing.T) {
		r := newRoom(1000)
		stuck := newSlowBody(t, r, 300)
		waiting := newSlowBody(t, r, 700)
		grown := make(chan error, 1)
		go func() { grown <- r.take(waiting.share, 900, waiting, time.Now) }()
		time.Sleep(roomWait / 6)
		taken := take(r, 400)
		// One that waits to the end of its time gets another error.
		assert.ErrorIs(t, <-grown, errGaveWay)
		waiting.unlist()
		waiting.Release()
		assert.NilError(t, <-taken)
		stuck.Release()
	})
	t.Run("a body that gives way takes no further room", func(t *testing.T) {
		r := newRoom(1000)
		slow := newSlowBody(t, r, 500)
		taken := take(r, 800)
		time.Sleep(roomWait / 6)
		assert.ErrorIs(t, r.take(slow.share, 900, slow, time.Now), errGaveWay)
		slow.unlist()
		slow.Release()
		assert.NilError(t, <-taken)
		assert.Equal(t, len(r.leaving), 0)
	})
}
