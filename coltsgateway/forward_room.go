package coltsgateway

// Waiting for room at an upstream: in order, woken when something has ended here or the
// other instances' loads are known anew, and never past the request's deadline.

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltsbalance"
)

// choose returns the upstream for the next attempt, after a wait if none has room.
func (f *forwarding) choose(ctx context.Context) (coltsbalance.Choice, error) {
	demand := f.demand()
	waits := demand.Limit > 0 && f.g.queue.Waits(f.life.Service, f.life.Priority())
	if !waits {
		choice, err := f.g.balancer.Choose(demand, f.g.now())
		if !isFull(err) {
			return choice, err
		}
	}
	began := f.g.now()
	ticket := f.g.queue.Join(f.life.Service, f.life.Priority())
	defer f.g.queue.Leave(ticket)
	timer := time.NewTimer(f.life.Deadline().Sub(began))
	defer timer.Stop()
	defer func() { f.waited += f.g.now().Sub(began) }()
	turn := ticket.Turn()
	for {
		room := f.g.room.Wait()
		if turn == nil {
			choice, err := f.g.balancer.Choose(f.demand(), f.g.now())
			if !isFull(err) {
				return choice, err
			}
		}
		select {
		case <-ctx.Done():
			return coltsbalance.Choice{}, ctx.Err()
		case <-timer.C:
			return coltsbalance.Choice{}, &coltsbalance.FullError{Service: f.life.Service, Load: demand.Limit}
		case <-turn:
			turn = nil
		case <-room:
		}
	}
}

func isFull(err error) bool {
	var full *coltsbalance.FullError
	return errors.As(err, &full)
}
