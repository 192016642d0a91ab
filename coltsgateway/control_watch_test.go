package coltsgateway

// Which control instance a gateway asks next.

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootstall/coltslog"
	"coltsfootstall/coltssettings"
)

var (
	leaderAddr   = netip.MustParseAddrPort("127.0.0.2:7700")
	followerAddr = netip.MustParseAddrPort("127.0.0.3:7700")
	refusal      = connect.NewError(connect.CodeUnavailable, errors.New("out of touch"))
	timeout      = connect.NewError(connect.CodeDeadlineExceeded, context.DeadlineExceeded)
)

// watcherAt returns a watcher whose clock reads *now.
func watcherAt(now *time.Time) *controlWatcher {
	settings := coltssettings.Default()
	settings.Gateway.Seeds = []netip.AddrPort{leaderAddr, followerAddr}
	settings.Gateway.ControlPort = int(leaderAddr.Port())
	return New(Config{Settings: settings, Log: coltslog.Discard(), Now: func() time.Time { return *now }}).watcher
}

// assertAsksNext checks which instance is asked after the follower has named the leader.
func assertAsksNext(t *testing.T, w *controlWatcher, term uint64, want netip.AddrPort) {
	t.Helper()
	w.takeControls(followerAddr, []string{leaderAddr.String(), followerAddr.String()}, term)
	assert.Equal(t, w.addrs()[w.at], want)
}

func TestLeaderIsPreferred(t *testing.T) {
	for name, test := range map[string]struct {
		failure error
		after   time.Duration
		want    netip.AddrPort
	}{
		"right after it refused a question, not":                {refusal, 0, followerAddr},
		"a moment after it refused, as when it was elected":     {refusal, refusedAvoid, leaderAddr},
		"a moment after a question timed out, not":              {timeout, refusedAvoid, followerAddr},
		"once a link that was cut has had the time to be whole": {timeout, silentAvoid, leaderAddr},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			w := watcherAt(&now)
			assertAsksNext(t, w, 1, leaderAddr)
			w.lost(leaderAddr, test.failure)
			now = now.Add(test.after)
			assertAsksNext(t, w, 1, test.want)
		})
	}
	t.Run("right after it was elected, whatever it did before", func(t *testing.T) {
		now := time.Unix(1000, 0)
		w := watcherAt(&now)
		w.lost(leaderAddr, timeout)
		assertAsksNext(t, w, 2, leaderAddr)
	})
}
