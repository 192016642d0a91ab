package coltsgateway

// Waiting for capacity at an upstream. A waiting request is woken when a request of this
// instance ends or when the other instances' loads are updated. A request that is still waiting
// shortly before its caller would give up is refused, and the caller is told to retry later.

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltsbalance"
)

// choose returns the upstream for the next attempt, waiting if none has capacity.
func (f *forwarding) choose(ctx context.Context) (coltsbalance.Choice, error) {
	now := f.g.now()
	if err := f.g.poison.Check(f.parts, now); err != nil {
		return coltsbalance.Choice{}, err
	}
	demand := f.demand()
	mustQueue := demand.Limit > 0 && f.g.queue.MustWait(f.lifecycle.Service, f.lifecycle.Priority(), now)
	if !mustQueue {
		choice, err := f.g.balancer.Choose(demand, now)
		if !f.mayWait(err) {
			return choice, err
		}
	}
	ticket := f.g.queue.Join(f.lifecycle.Service, f.lifecycle.Priority(), f.lifecycle.DispatchDeadline())
	chosen := false
	defer func() {
		f.g.queue.Leave(ticket)
		if chosen {
			// There may be room for the next one, too, which was woken while this one was still first.
			f.g.capacityFreed.Broadcast()
		}
	}()
	defer func() { f.waited += f.g.now().Sub(now) }()
	choice, err := f.awaitCapacity(ctx, ticket)
	chosen = err == nil
	return choice, err
}

// awaitCapacity waits until the ticket is first in the queue and an upstream has capacity.
func (f *forwarding) awaitCapacity(ctx context.Context, ticket *coltsbalance.Ticket) (coltsbalance.Choice, error) {
	timer := time.NewTimer(f.lifecycle.QueueDeadline().Sub(f.g.now()))
	defer timer.Stop()
	for {
		freed := f.g.capacityFreed.Channel()
		now := f.g.now()
		if err := f.g.poison.Check(f.parts, now); err != nil {
			return coltsbalance.Choice{}, err
		}
		wakeAt := time.Time{}
		full := &coltsbalance.FullError{Service: f.lifecycle.Service, Waiting: f.g.queue.Len(f.lifecycle.Service)}
		if f.g.queue.IsFirst(ticket, now) {
			choice, err := f.g.balancer.Choose(f.demand(), now)
			if !f.mayWait(err) {
				return choice, err
			}
			errors.As(err, &full)
			wakeAt = pauseEnd(err)
		}
		wake := f.wakeTimer(wakeAt)
		select {
		case <-ctx.Done():
			return coltsbalance.Choice{}, ctx.Err()
		case <-timer.C:
			return coltsbalance.Choice{}, full
		case <-freed:
		case <-wake:
		}
	}
}

// mayWait reports whether the request can wait after an error of the balancer: for room, or for the
// end of a pause that comes early enough.
func (f *forwarding) mayWait(err error) bool {
	var full *coltsbalance.FullError
	return errors.As(err, &full) || !pauseEnd(err).IsZero() && pauseEnd(err).Before(f.lifecycle.QueueDeadline())
}

// pauseEnd returns when the pause that err reports ends, the zero time if it reports none.
func pauseEnd(err error) time.Time {
	var paused *coltsbalance.PausedError
	if errors.As(err, &paused) {
		return paused.Until
	}
	return time.Time{}
}

// wakeTimer returns a channel that delivers at a time, nil for the zero time.
func (f *forwarding) wakeTimer(at time.Time) <-chan time.Time {
	if at.IsZero() {
		return nil
	}
	return time.After(at.Sub(f.g.now()))
}
