package coltscontrol

// Entries and operators may call any control instance. A call that only the leader can serve is
// forwarded to it, but only once: a forwarded call is not forwarded again.

import (
	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"coltsfootstall/coltsreplica"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

// leaderClient returns a client for the leader, or nil if this instance is the leader and serves the
// call itself. It returns an error if no leader is known, or if the call was forwarded already.
func (c *Control) leaderClient(forwarded bool) (coltspbconnect.ControlClient, error) {
	v := c.driver.view.Load()
	if v.isLeader {
		return nil, nil
	}
	peer, known := c.driver.peers.find(v.leader)
	if forwarded || !known {
		return nil, unavailable(&coltsreplica.NotLeaderError{Leader: v.leader})
	}
	return peer.control, nil
}

// unavailable returns err with the code Unavailable: the caller should try another instance, or this
// one later.
func unavailable(err error) error {
	return connect.NewError(connect.CodeUnavailable, err)
}

// errStaleState reports that this instance's state may be stale.
var errStaleState = errors.New("this instance has not heard from a leader lately")

// stateFresh reports whether the state that this instance has applied is recent.
func (c *Control) stateFresh() bool {
	return c.cfg.Now().Before(c.driver.view.Load().freshUntil)
}
