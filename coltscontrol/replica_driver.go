package coltscontrol

// The driver is the one goroutine that uses the replica: it gathers proposals,
// messages and ticks, and does what each output asks for in the order that the
// output's contract gives. Commands that wait while the disk syncs share the next
// sync.

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsjournal"
	"coltsfootstall/coltsreplica"
)

const (
	// queueLength bounds the commands that wait to be proposed.
	queueLength = 4096
	// batchLength bounds the commands of one proposal.
	batchLength = 512
	// incomingLength bounds the deliveries that wait.
	incomingLength = 1024
	// heartbeatEvery and electionAfter are the replica's times: five heartbeats may be
	// lost or late before the others elect a new leader.
	heartbeatEvery = 100 * time.Millisecond
	electionAfter  = 500 * time.Millisecond
	// clockMargin is taken off a leader's lease for clocks that run apart.
	clockMargin = 100 * time.Millisecond
	// retainedEntries are kept in memory behind a snapshot, so that a replica
	// that was away for a moment needs no snapshot.
	retainedEntries = 1024
)

// replicaDriver drives a replica.
type replicaDriver struct {
	c       *Control
	store   *replicaStore
	replica *coltsreplica.Replica
	others  *otherControls

	proposals chan *pendingCommand
	incoming  chan []coltsreplica.Message
	reads     chan *pendingRead
	changes   chan *pendingChange
	saved     chan savedSnapshot
	// snapshots writes snapshots beside the loop, one at a time.
	snapshots pond.Pool
	// view is what other goroutines may know of the replica.
	view atomic.Pointer[replicaView]

	// What follows is used by the loop only.
	waiting    map[uint64]*pendingCommand
	barriers   map[uint64]*pendingRead
	nextToken  uint64
	applied    uint64
	snapshotAt uint64
	// appliedBytes are those of the commands since the newest snapshot, and
	// snapshotBytes those of that snapshot.
	appliedBytes  int
	snapshotBytes int
	saving        bool
	hard          coltsreplica.HardState
	// weightsRevision is that of the named weights when others were last woken.
	weightsRevision uint64
	// brokeDown is closed when the disk has failed.
	brokeDown chan struct{}
}

// replicaView is a copy of what the replica knows.
type replicaView struct {
	leader  coltsidentity.Instance
	leads   bool
	term    uint64
	applied uint64
	// inTouchUntil is until when the applied state counts as recent.
	inTouchUntil time.Time
	// leaseUntil is until when this instance alone can lead; it gives orders only
	// within it. leadsSince is when its lead began.
	leaseUntil time.Time
	leadsSince time.Time
	// broken says that the disk failed and the replica takes no more part.
	broken        bool
	configuration coltsreplica.Configuration
}

// openDriver reads the replica's state from disk.
func openDriver(c *Control) (*replicaDriver, error) {
	d := &replicaDriver{
		c:         c,
		others:    newOtherControls(c.settings.Replicas, c.replicaID),
		proposals: make(chan *pendingCommand, queueLength),
		incoming:  make(chan []coltsreplica.Message, incomingLength),
		reads:     make(chan *pendingRead, queueLength),
		changes:   make(chan *pendingChange),
		saved:     make(chan savedSnapshot, 1),
		snapshots: pond.NewPool(1),
		waiting:   map[uint64]*pendingCommand{},
		barriers:  map[uint64]*pendingRead{},
		brokeDown: make(chan struct{}),
	}
	store, restored, err := openStore(coltsjournal.Config{
		Dir:          c.settings.DataFolder,
		SegmentBytes: int64(c.settings.SegmentBytes),
		Sync:         c.cfg.Sync,
	}, c.firstConfiguration())
	if err != nil {
		return nil, err
	}
	d.store = store
	if err := d.importState(restored.Snapshot); err != nil {
		return nil, err
	}
	d.hard = restored.HardState
	d.replica = coltsreplica.New(coltsreplica.Config{
		ID:                c.replicaID,
		HeartbeatInterval: heartbeatEvery,
		ElectionTimeout:   electionAfter,
		ClockMargin:       clockMargin,
		DisableLeases:     c.formsItself(),
		Random:            rand.Int64N,
		LoadSnapshot:      d.loadSnapshot,
	}, restored, c.cfg.Now())
	d.publish()
	return d, nil
}

// firstConfiguration is that of a group which has never run.
func (c *Control) firstConfiguration() coltsreplica.Configuration {
	if c.formsItself() {
		return coltsreplica.Configuration{Voters: c.founders}
	}
	var first coltsreplica.Configuration
	for _, r := range c.settings.Replicas {
		if !r.Joins {
			first.Voters = append(first.Voters, coltsidentity.Instance(r.Instance))
		}
	}
	if len(c.settings.Replicas) == 0 {
		first.Voters = []coltsidentity.Instance{c.id()}
	}
	return first
}

// run drives the replica until ctx ends or the disk fails.
func (d *replicaDriver) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			d.failAll(errors.New("this instance stops"))
			return
		case <-timer.C:
			d.replica.Tick(d.c.cfg.Now())
		case p := <-d.proposals:
			d.propose(gather(d.proposals, p))
		case messages := <-d.incoming:
			d.step(messages)
		case r := <-d.reads:
			d.read(r)
		case ch := <-d.changes:
			ch.err = ch.apply(d.replica)
			close(ch.done)
		case s := <-d.saved:
			d.checkpoint(s)
		}
		if err := d.carryOutAll(); err != nil {
			d.breakDown(err)
			return
		}
		timer.Reset(d.replica.NextTickAt().Sub(d.c.cfg.Now()))
	}
}

// propose appends commands to the log.
func (d *replicaDriver) propose(batch []*pendingCommand) {
	commands := make([][]byte, 0, len(batch))
	for _, p := range batch {
		commands = append(commands, p.bytes)
	}
	first, err := d.replica.Propose(commands)
	for i, p := range batch {
		if err != nil {
			p.err = err
			close(p.done)
			continue
		}
		p.term = d.replica.Term()
		d.waiting[first+uint64(i)] = p
	}
}

func (d *replicaDriver) step(messages []coltsreplica.Message) {
	now := d.c.cfg.Now()
	for _, m := range messages {
		d.replica.Step(m, now)
	}
}

func (d *replicaDriver) read(r *pendingRead) {
	d.nextToken++
	d.barriers[d.nextToken] = r
	if err := d.replica.Read(d.nextToken, d.c.cfg.Now()); err != nil {
		delete(d.barriers, d.nextToken)
		r.err = err
		close(r.done)
	}
}

func (d *replicaDriver) close() error {
	d.snapshots.StopAndWait()
	return d.store.close()
}
