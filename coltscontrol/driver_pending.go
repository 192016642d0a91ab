package coltscontrol

// What waits for the replica: commands for their result, reads for a quorum, changes
// of the group for their place in the log. Each is handed to the loop over a channel
// and answered by closing its own.

import (
	"context"

	"github.com/pkg/errors"

	"coltsfootstall/coltsreplica"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltswire"
)

// pendingCommand is a command that waits for its result.
type pendingCommand struct {
	bytes  []byte
	term   uint64
	result coltsstate.Result
	err    error
	done   chan struct{}
}

// pendingRead waits until what is applied is fresh.
type pendingRead struct {
	err  error
	done chan struct{}
}

// pendingChange is a change of the group.
type pendingChange struct {
	apply func(*coltsreplica.Replica) error
	err   error
	done  chan struct{}
}

// savedSnapshot is a snapshot that is on disk, or the error that kept it off.
type savedSnapshot struct {
	index uint64
	bytes int
	err   error
}

// errDeposed says that a command's leader lost its lead; the command may or may
// not be carried out.
var errDeposed = errors.New("this instance no longer leads; the command may have been carried out")

// submit carries out a command on this instance. An error means that the command
// may or may not be carried out, unless it is a NotLeaderError or a BusyError.
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

// barrier waits until what this instance, the leader, has applied is fresh.
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

// change changes the group.
func (d *replicaDriver) change(ctx context.Context, apply func(*coltsreplica.Replica) error) error {
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

// gather takes along what waits already.
func gather[T any](queue chan T, first T) []T {
	batch := []T{first}
	for len(batch) < batchLength {
		select {
		case item := <-queue:
			batch = append(batch, item)
		default:
			return batch
		}
	}
	return batch
}
