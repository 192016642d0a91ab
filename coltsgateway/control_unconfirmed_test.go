package coltsgateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsforward"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltswire/coltspb"
)

// receiveRoutes applies a reply of control, with a table of a version or, for 0, without one.
func receiveRoutes(w *controlWatcher, version coltsroute.Version, unconfirmed bool) {
	reply := &coltspb.WatchReply{Unconfirmed: unconfirmed}
	if version > 0 {
		reply.Routes = &coltspb.RoutesText{Version: uint64(version), CacheGeneration: uint64(version)}
	}
	w.g.dialect.DecodeTable = func([]byte) (coltsroute.Table, error) {
		return coltsroute.Table{Version: version, Organisations: []coltsroute.Organisation{{Name: "acme"}}}, nil
	}
	w.applyRoutes(reply)
}

// assertScope asserts the cache scope of a request of acme.
func assertScope(t *testing.T, w *controlWatcher, want string) {
	t.Helper()
	f := &forwarding{g: w.g, lifecycle: &coltsforward.Request{Organisation: coltsroute.Organisation{Name: "acme"}}}
	assert.Equal(t, f.cacheScopeOf(1), want)
}

// TestUnconfirmedRoutes guards against requests that use what an organisation kept before it was isolated,
// because all processes have started and control has not applied yet that it was.
func TestUnconfirmedRoutes(t *testing.T) {
	now := time.Unix(1000, 0)
	w := newTestWatcher(&now)
	t.Run("nothing is shared by a table that is not confirmed", func(t *testing.T) {
		receiveRoutes(w, 1, true)
		assertScope(t, w, "v1/acme")
		receiveRoutes(w, 0, true)
		assertScope(t, w, "v1/acme")
	})
	t.Run("the table is confirmed by a reply without a newer one", func(t *testing.T) {
		receiveRoutes(w, 0, false)
		assertScope(t, w, "v1-g1")
	})
	t.Run("an instance that has just started and has nothing newer changes nothing", func(t *testing.T) {
		receiveRoutes(w, 0, true)
		assertScope(t, w, "v1-g1")
		receiveRoutes(w, 1, true)
		assertScope(t, w, "v1-g1")
	})
	t.Run("a newer table replaces one that was not confirmed", func(t *testing.T) {
		receiveRoutes(w, 2, true)
		assertScope(t, w, "v1/acme")
		receiveRoutes(w, 3, false)
		assertScope(t, w, "v1-g3")
	})
}
