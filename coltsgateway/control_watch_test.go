package coltsgateway

// Tests which control instance a gateway asks next.

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
	errRefused   = connect.NewError(connect.CodeUnavailable, errors.New("out of touch"))
	errTimeout   = connect.NewError(connect.CodeDeadlineExceeded, context.DeadlineExceeded)
)

// newTestWatcher returns a watcher whose clock reads *now.
func newTestWatcher(now *time.Time) *controlWatcher {
	settings := coltssettings.Default()
	settings.Gateway.Seeds = []netip.AddrPort{leaderAddr, followerAddr}
	settings.Gateway.ControlPort = int(leaderAddr.Port())
	return New(Config{Settings: settings, Log: coltslog.Discard(), Now: func() time.Time { return *now }}).watcher
}

// assertNextAsked checks which instance is asked next after the follower has named the leader.
func assertNextAsked(t *testing.T, w *controlWatcher, term uint64, want netip.AddrPort) {
	t.Helper()
	w.applyControlAddrs(followerAddr, []string{leaderAddr.String(), followerAddr.String()}, term)
	assert.Equal(t, w.addrs()[w.next], want)
}

func TestLeaderIsPreferred(t *testing.T) {
	for name, test := range map[string]struct {
		failure error
		after   time.Duration
		want    netip.AddrPort
	}{
		"not right after a refusal":                      {errRefused, 0, followerAddr},
		"shortly after a refusal, as during an election": {errRefused, avoidAfterRefusal, leaderAddr},
		"not shortly after a timeout":                    {errTimeout, avoidAfterRefusal, followerAddr},
		"once a timed-out link has had time to heal":     {errTimeout, avoidAfterTimeout, leaderAddr},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			w := newTestWatcher(&now)
			assertNextAsked(t, w, 1, leaderAddr)
			w.recordFailure(leaderAddr, test.failure)
			now = now.Add(test.after)
			assertNextAsked(t, w, 1, test.want)
		})
	}
	t.Run("right after its election, despite earlier failures", func(t *testing.T) {
		now := time.Unix(1000, 0)
		w := newTestWatcher(&now)
		w.recordFailure(leaderAddr, errTimeout)
		assertNextAsked(t, w, 2, leaderAddr)
	})
}
