package coltscontrol

// Calls that wait for the driver's loop: commands until they are applied, reads until a quorum has
// confirmed them, membership changes until they are in the log. Each is passed to the loop over a
// channel, and the loop completes it by closing its done channel.

import (
	"context"

	"github.com/pkg/errors"

	"coltsfootstall/coltsreplica"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltswire"
)

// pendingCommand is a command that waits for its result.
type pendingCommand struct {
	bytes []byte
	// term is the term in which the command was proposed.
	term   uint64
	result coltsstate.Result
	err    error
	done   chan struct{}
}

// pendingRead is a read barrier that waits for a quorum's confirmation.
type pendingRead struct {
	err  error
	done chan struct{}
}

// pendingChange is a membership change that waits to be proposed.
type pendingChange struct {
	apply func(*coltsreplica.Replica) error
	err   error
	done  chan struct{}
}

// savedSnapshot is the result of writing a snapshot to disk.
type savedSnapshot struct {
	index uint64
	// bytes is the length of the encoded state, covered that of the commands since the snapshot before.
	bytes   int
	covered int
	err     error
}

// errLostLeadership reports that this instance lost the leadership while a call was pending. It is
// unknown whether a pending command is carried out.
var errLostLeadership = errors.New("this instance is no longer the leader; the command may have been carried out")

// submit proposes a command at this instance and waits for its result. After a NotLeaderError or a
// BusyError the command is not carried out; after any other error its outcome is unknown.
func (d *replicaDriver) submit(ctx context.Context, command coltsstate.Command) (coltsstate.Result, error) {
	command.At = d.c.cfg.Now()
	bytes, err := coltswire.MarshalCommand(command)
	if err != nil {
		return coltsstate.Result{}, err
	}
	p := &pendingCommand{bytes: bytes, done: make(chan struct{})}
	if err := enqueue(ctx, d.proposals, p); err != nil {
		return coltsstate.Result{}, err
	}
	if err := awaitDone(ctx, p.done); err != nil {
		return coltsstate.Result{}, err
	}
	return p.result, p.err
}

// barrier waits until a quorum has confirmed that this instance is the leader and everything committed
// before the call is applied.
func (d *replicaDriver) barrier(ctx context.Context) error {
	r := &pendingRead{done: make(chan struct{})}
	if err := enqueue(ctx, d.reads, r); err != nil {
		return err
	}
	if err := awaitDone(ctx, r.done); err != nil {
		return err
	}
	return r.err
}

// changeGroup calls apply, which proposes a membership change, in the driver's loop.
func (d *replicaDriver) changeGroup(ctx context.Context, apply func(*coltsreplica.Replica) error) error {
	ch := &pendingChange{apply: apply, done: make(chan struct{})}
	if err := enqueue(ctx, d.changes, ch); err != nil {
		return err
	}
	if err := awaitDone(ctx, ch.done); err != nil {
		return err
	}
	return ch.err
}

func enqueue[T any](ctx context.Context, queue chan T, item T) error {
	select {
	case queue <- item:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the replica")
	}
}

func awaitDone(ctx context.Context, done chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for a quorum")
	}
}

// drainQueue returns first and the items that are queued already, at most maxBatch in all.
func drainQueue[T any](queue chan T, first T) []T {
	batch := []T{first}
	for len(batch) < maxBatch {
		select {
		case item := <-queue:
			batch = append(batch, item)
		default:
			return batch
		}
	}
	return batch
}
