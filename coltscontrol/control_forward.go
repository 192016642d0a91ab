package coltscontrol

// Entries and operators may ask any control instance. What only the leader can do
// is passed on to it, once: an instance that was itself asked by another does not
// pass it on again.

import (
	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"coltsfootstall/coltsreplica"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

// leaderOf returns the leader to pass a request on to; nil if this instance is to
// serve it. It returns an error if no leader is known.
func (c *Control) leaderOf(forwarded bool) (coltspbconnect.ControlClient, error) {
	v := c.driver.view.Load()
	if v.leads {
		return nil, nil
	}
	other, known := c.driver.others.find(v.leader)
	if forwarded || !known {
		return nil, unavailable(&coltsreplica.NotLeaderError{Leader: v.leader})
	}
	return other.control, nil
}

// unavailable says that another instance should be asked, or this one later.
func unavailable(err error) error {
	return connect.NewError(connect.CodeUnavailable, err)
}

// errOutOfTouch says that this instance's state may be old.
var errOutOfTouch = errors.New("this instance has not heard from a leader lately")

// inTouch says whether what this instance has applied is recent.
func (c *Control) inTouch() bool {
	return c.cfg.Now().Before(c.driver.view.Load().inTouchUntil)
}
