package coltscontrol

// Departures go through the replicated log before they are acknowledged. Each instance marks the processes
// in its registry when it has applied them, also after a restart with a registry that was saved before.

import (
	"context"

	"coltsfootstall/coltsdeparture"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsstate"
)

// commitDeparture commits that an upstream is draining or has left, if the registry says so. It returns an
// error if that can't be confirmed; the upstream then reports it again. The departure of a process whose
// start is unknown is not committed: after a restart it could be taken for that of a later one.
func (s *controlServer) commitDeparture(ctx context.Context, id coltsidentity.Upstream) error {
	d := coltsdeparture.Departure{}
	d.Process, d.State = s.c.registry.ProcessOf(id)
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
