package coltscontrol

// Departures go through the replicated log before they are acknowledged. Each instance marks the processes
// in its registry when it has applied them, also after a restart with a registry that was saved before.

import (
	"context"

	"github.com/pkg/errors"

	"coltsfootstall/coltsdeparture"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltsstate"
)

var (
	// errUnknownProcess reports that the call does not say which process leaves, and that none is known.
	errUnknownProcess = errors.New("the upstream is not known, and the call does not say when its process started")
	// errTooManyDepartures reports that too many upstreams that no report has named have left lately.
	errTooManyDepartures = errors.New("too many unknown upstreams have left lately")
)

// commitDepartures commits that the process that a report is about is draining or has left, and the same for the
// process that the registry lists under its ID: an upstream may leave before its first report has arrived, and after
// a restart the registry may list its earlier process. It returns an error if that can't be confirmed; the upstream
// then reports it again.
func (s *controlServer) commitDepartures(ctx context.Context, reported coltsregistry.Upstream) error {
	listed, state := s.c.registry.ProcessOf(reported.ID)
	if reported.State != coltsregistry.StateReady {
		if err := s.checkDeparture(reported, listed); err != nil {
			return unavailable(err)
		}
		if err := s.commitDeparture(ctx, coltsdeparture.Departure{Process: reported.Process(), State: reported.State}); err != nil {
			return err
		}
	}
	return s.commitDeparture(ctx, coltsdeparture.Departure{Process: listed, State: state})
}

// checkDeparture returns an error if a departure could not be remembered. listed is the process that the registry
// lists under the upstream's ID.
func (s *controlServer) checkDeparture(reported coltsregistry.Upstream, listed coltsregistry.Process) error {
	switch {
	case listed.ID != "":
		return nil
	case reported.StartedAt.IsZero():
		return errUnknownProcess
	case s.c.machine.Departures.StateOf(reported.Process()) < reported.State && !s.c.machine.Departures.HasRoom(s.c.cfg.Now()):
		return errTooManyDepartures
	}
	return nil
}

// commitDeparture commits a departure unless it is known. The departure of a process whose start is unknown is not
// committed: after a restart it could be taken for that of a later one.
func (s *controlServer) commitDeparture(ctx context.Context, d coltsdeparture.Departure) error {
	if d.Process.StartedAt.IsZero() || s.c.machine.Departures.StateOf(d.Process) >= d.State {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if _, err := s.c.driver.submit(ctx, coltsstate.Command{Kind: coltsstate.CommandDeparture, Departure: d}); err != nil {
		return unavailable(err)
	}
	return nil
}

// publishDepartures marks the processes that have departed since the last call. Only the driver's loop may
// call it.
func (d *replicaDriver) publishDepartures() {
	if revision := d.c.machine.Departures.Current().Revision; revision != d.publishedDepartures {
		d.publishedDepartures = revision
		d.c.applyDepartures()
	}
}

// applyDepartures marks the processes that have departed in the registry.
func (c *Control) applyDepartures() {
	changed := false
	for _, d := range c.machine.Departures.Current().Departures {
		changed = c.registry.Depart(d.Process, d.State) || changed
	}
	if changed {
		c.watchChanged.Broadcast()
	}
}
