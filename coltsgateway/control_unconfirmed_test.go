package coltsgateway

import (
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsforward"
	"coltsfootstall/coltsidentity"
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
		table := coltsroute.Table{Version: version, Organisations: []coltsroute.Organisation{{Name: "acme"}}}
		for i := range 10_000 { // so that the table takes a while to be put in force
			name := coltsidentity.Organisation(strconv.Itoa(i))
			table.Organisations = append(table.Organisations, coltsroute.Organisation{Name: name})
		}
		return table, nil
	}
	w.applyRoutes(reply)
}

// scopeOfAcme returns the cache scope of a request of acme.
func scopeOfAcme(w *controlWatcher) string {
	f := &forwarding{g: w.g, lifecycle: &coltsforward.Request{Organisation: coltsroute.Organisation{Name: "acme"}}}
	return f.cacheScopeOf(1)
}

func assertScope(t *testing.T, w *controlWatcher, want string) {
	t.Helper()
	assert.Equal(t, scopeOfAcme(w), want)
}

// scopesMeanwhile returns the cache scopes of requests of acme that come while change runs.
func scopesMeanwhile(w *controlWatcher, change func()) []string {
	var changed atomic.Bool
	found := make(chan []string)
	go func() {
		var scopes []string
		for !changed.Load() {
			if scope := scopeOfAcme(w); !slices.Contains(scopes, scope) {
				scopes = append(scopes, scope)
			}
		}
		found <- scopes
	}()
	change()
	changed.Store(true)
	return <-found
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
	t.Run("a request meanwhile doesn't use the scope of the one that was not confirmed", func(t *testing.T) {
		receiveRoutes(w, 4, true)
		scopes := scopesMeanwhile(w, func() { receiveRoutes(w, 5, false) })
		assert.Assert(t, !slices.Contains(scopes, "v1-g4"), "scopes: %v", scopes)
	})
}
