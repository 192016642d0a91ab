package coltscontrol

// A command is carried out once it is durable, and answered once it is carried
// out. Commands that wait while the disk syncs share the next sync.

import (
	"context"

	"github.com/pkg/errors"

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsjournal"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltswire"
)

const (
	// queueLength bounds the commands that wait for the disk.
	queueLength = 4096
	// batchLength bounds the commands of one sync.
	batchLength = 512
)

// stateLog makes commands durable and applies them, one batch after another.
type stateLog struct {
	c       *Control
	journal *coltsjournal.Journal
	queue   chan *pending
	// applied is the number of the newest record that was applied, and
	// snapshotAt the one at which the next snapshot is due.
	applied    uint64
	snapshotAt uint64
}

// pending is a command that waits for its result.
type pending struct {
	command coltsstate.Command
	bytes   []byte
	result  coltsstate.Result
	err     error
	done    chan struct{}
}

// openStateLog reads the snapshot and the records after it.
func openStateLog(c *Control) (*stateLog, error) {
	l := &stateLog{c: c, queue: make(chan *pending, queueLength)}
	covered, content, err := coltsjournal.LoadSnapshot(c.settings.DataFolder)
	if err != nil {
		return nil, err
	}
	if covered > 0 {
		snapshot, err := coltswire.UnmarshalSnapshot(content)
		if err != nil {
			return nil, err
		}
		c.machine.Import(snapshot)
	}
	l.applied = covered
	l.journal, err = coltsjournal.Open(coltsjournal.Config{
		Dir:          c.settings.DataFolder,
		SegmentBytes: int64(c.settings.SegmentBytes),
	}, l.replay)
	l.snapshotAt = l.applied + uint64(c.settings.SnapshotEvery)
	return l, err
}

// replay applies a record that a snapshot does not cover.
func (l *stateLog) replay(number uint64, record []byte) error {
	if number <= l.applied {
		return nil
	}
	command, err := coltswire.UnmarshalCommand(record)
	if err != nil {
		return err
	}
	l.c.machine.Apply(command)
	l.applied = number
	return nil
}

// submit carries out a command and returns its result. An error means that the
// command may or may not be carried out.
func (l *stateLog) submit(ctx context.Context, command coltsstate.Command) (coltsstate.Result, error) {
	command.At = l.c.cfg.Now()
	bytes, err := coltswire.MarshalCommand(command)
	if err != nil {
		return coltsstate.Result{}, err
	}
	p := &pending{command: command, bytes: bytes, done: make(chan struct{})}
	select {
	case l.queue <- p:
	case <-ctx.Done():
		return coltsstate.Result{}, errors.Wrap(ctx.Err(), "wait for the log")
	}
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		return coltsstate.Result{}, errors.Wrap(ctx.Err(), "wait for the disk")
	}
}

// run makes commands durable and applies them until ctx ends.
func (l *stateLog) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-l.queue:
			l.commit(l.gather(p))
		}
	}
}

// gather takes along the commands that wait already.
func (l *stateLog) gather(first *pending) []*pending {
	batch := []*pending{first}
	for len(batch) < batchLength {
		select {
		case p := <-l.queue:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

func (l *stateLog) commit(batch []*pending) {
	records := make([][]byte, 0, len(batch))
	for _, p := range batch {
		records = append(records, p.bytes)
	}
	err := l.journal.Append(records...)
	if err != nil {
		l.c.log.Error("The journal does not write; no command is acknowledged.", coltslog.Fields{"error": err})
	}
	before := l.c.Revision()
	for _, p := range batch {
		l.finish(p, err)
	}
	l.c.metrics.Put(coltsmetric.Syncs, int64(l.journal.Stats().Syncs))
	l.revise(before)
	l.snapshot()
}

// finish applies a durable command and wakes whoever waits for it.
func (l *stateLog) finish(p *pending, err error) {
	p.err = err
	if err == nil {
		p.result = l.c.machine.Apply(p.command)
		l.applied++
		l.c.metrics.Add(coltsmetric.Commands, 1)
	}
	close(p.done)
}

// revise wakes those that wait for a newer document.
func (l *stateLog) revise(before coltsdocument.Revision) {
	now := l.c.Revision()
	if now == before {
		return
	}
	l.c.metrics.Put(coltsmetric.Revision, int64(now))
	l.c.revised.fire()
}

// snapshot writes the state when one is due and removes what it covers.
func (l *stateLog) snapshot() {
	if l.applied < l.snapshotAt {
		return
	}
	l.snapshotAt = l.applied + uint64(l.c.settings.SnapshotEvery)
	content, err := coltswire.MarshalSnapshot(l.c.machine.Export())
	if err == nil {
		err = l.journal.SaveSnapshot(l.applied, content)
	}
	if err == nil {
		err = l.journal.RemoveBefore(l.applied + 1)
	}
	if err != nil {
		l.c.log.Error("A snapshot could not be written; the journal grows on.", coltslog.Fields{"error": err})
		return
	}
	l.c.metrics.Add(coltsmetric.Snapshots, 1)
}

func (l *stateLog) close() error {
	return l.journal.Close()
}
