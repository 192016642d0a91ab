package coltscontrol

import (
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltswire/coltspb"
)

// TestUnconfirmedReplies guards against an instance that has just started and gives what it knows for all that was
// acknowledged.
func TestUnconfirmedReplies(t *testing.T) {
	var failing atomic.Bool
	folder := t.TempDir()
	c := startControl(t, folder, &failing)
	putLongTable(t, c, 1, 10)
	assert.NilError(t, c.Shutdown())
	t.Run("before it has applied what was committed", func(t *testing.T) {
		failing.Store(true)
		c = startControl(t, folder, &failing)
		reply, _ := (&controlServer{c: c}).watchReply(&coltspb.WatchRequest{})
		assert.Assert(t, reply.GetUnconfirmed())
	})
	t.Run("and after", func(t *testing.T) {
		failing.Store(false)
		awaitWritable(t, c)
		awaitLeading(t, c)
		reply, _ := (&controlServer{c: c}).watchReply(&coltspb.WatchRequest{})
		assert.Assert(t, !reply.GetUnconfirmed())
		assert.Equal(t, reply.GetRoutes().GetVersion(), uint64(1))
	})
	assert.NilError(t, c.Shutdown())
}
