package coltsgateway

// Waiting for room at an upstream, woken when something has ended here or the other
// instances' loads are known anew. Who has waited for so long that its caller is about to
// leave is refused, and told to come again after the crest.

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltsbalance"
)

// choose returns the upstream for the next attempt, after a wait if none has room.
func (f *forwarding) choose(ctx context.Context) (coltsbalance.Choice, error) {
	now := f.g.now()
	demand := f.demand()
	waits := demand.Limit > 0 && f.g.queue.Waits(f.life.Service, f.life.Priority(), now)
	if !waits {
		choice, err := f.g.balancer.Choose(demand, now)
		if !isFull(err) {
			return choice, err
		}
	}
	ticket := f.g.queue.Join(f.life.Service, f.life.Priority(), f.life.OnTimeUntil())
	defer f.g.queue.Leave(ticket)
	defer func() { f.waited += f.g.now().Sub(now) }()
	return f.await(ctx, ticket)
}

// await waits for a ticket's turn and for room.
func (f *forwarding) await(ctx context.Context, ticket *coltsbalance.Ticket) (coltsbalance.Choice, error) {
	timer := time.NewTimer(f.life.PatientUntil().Sub(f.g.now()))
	defer timer.Stop()
	for {
		room := f.g.room.Channel()
		now := f.g.now()
		full := &coltsbalance.FullError{Service: f.life.Service, Waiting: f.g.queue.Len(f.life.Service)}
		if f.g.queue.IsFirst(ticket, now) {
			choice, err := f.g.balancer.Choose(f.demand(), now)
			if !errors.As(err, &full) {
				return choice, err
			}
		}
		select {
		case <-ctx.Done():
			return coltsbalance.Choice{}, ctx.Err()
		case <-timer.C:
			return coltsbalance.Choice{}, full
		case <-room:
		}
	}
}

func isFull(err error) bool {
	var full *coltsbalance.FullError
	return errors.As(err, &full)
}
