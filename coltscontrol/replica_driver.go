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

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsjournal"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsreplica"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltswire"
)

const (
	// queueLength bounds the commands that wait to be proposed.
	queueLength = 4096
	// batchLength bounds the commands of one proposal.
	batchLength = 512
	// incomingLength bounds the deliveries that wait.
	incomingLength = 1024
	// heartbeatEvery and electionAfter are the replica's times.
	heartbeatEvery = 200 * time.Millisecond
	electionAfter  = 900 * time.Millisecond
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
	others  map[coltsidentity.Instance]*otherControl

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

// openDriver reads the replica's state from disk.
func openDriver(c *Control) (*replicaDriver, error) {
	d := &replicaDriver{
		c:         c,
		others:    map[coltsidentity.Instance]*otherControl{},
		proposals: make(chan *pendingCommand, queueLength),
		incoming:  make(chan []coltsreplica.Message, incomingLength),
		reads:     make(chan *pendingRead, queueLength),
		changes:   make(chan *pendingChange),
		saved:     make(chan savedSnapshot, 1),
		snapshots: pond.NewPool(1),
		waiting:   map[uint64]*pendingCommand{},
		barriers:  map[uint64]*pendingRead{},
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
		ID:             c.id(),
		HeartbeatEvery: heartbeatEvery,
		ElectionAfter:  electionAfter,
		ClockMargin:    clockMargin,
		Random:         rand.Int64N,
		LoadSnapshot:   d.loadSnapshot,
	}, restored, c.cfg.Now())
	for _, r := range c.settings.Replicas {
		if id := coltsidentity.Instance(r.Instance); id != c.id() {
			d.others[id] = newOtherControl(id, r.Addr)
		}
	}
	d.publish()
	return d, nil
}

// firstConfiguration is that of a group which has never run.
func (c *Control) firstConfiguration() coltsreplica.Configuration {
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

// importState takes a snapshot's state.
func (d *replicaDriver) importState(s coltsreplica.Snapshot) error {
	d.applied = s.Index
	d.snapshotAt = s.Index + uint64(d.c.settings.SnapshotEvery)
	d.appliedBytes = 0
	d.snapshotBytes = len(s.Data)
	if s.Index == 0 {
		return nil
	}
	state, err := coltswire.UnmarshalSnapshot(s.Data)
	if err != nil {
		return err
	}
	d.c.machine.Import(state)
	return nil
}

// loadSnapshot returns the newest snapshot, an empty one if it can't be read.
func (d *replicaDriver) loadSnapshot() coltsreplica.Snapshot {
	s, err := d.store.loadSnapshot()
	if err != nil {
		d.c.log.Error("A snapshot could not be read.", coltslog.Fields{"error": err})
	}
	return s
}

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
		timer.Reset(d.replica.WakeAt().Sub(d.c.cfg.Now()))
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

// carryOutAll does what the replica asks for until it asks for nothing.
func (d *replicaDriver) carryOutAll() error {
	led := d.view.Load().leads
	for {
		out := d.replica.Take()
		if out.Empty() {
			break
		}
		if err := d.carryOut(out); err != nil {
			return err
		}
	}
	if led && d.replica.Role() != coltsreplica.RoleLeader {
		d.failAll(errDeposed)
	}
	d.snapshot()
	d.publish()
	return nil
}

func (d *replicaDriver) carryOut(out coltsreplica.Output) error {
	d.send(out.Early)
	if err := d.store.persist(out); err != nil {
		return err
	}
	if out.HardState != nil {
		d.hard = *out.HardState
	}
	if n := len(out.Entries); n > 0 {
		d.replica.Persisted(out.Entries[n-1].Index, out.Entries[n-1].Term)
	}
	d.send(out.Messages)
	before := d.c.Revision()
	if out.Install != nil {
		if err := d.importState(*out.Install); err != nil {
			return err
		}
		d.c.log.Info("Took over a snapshot.", coltslog.Fields{"index": out.Install.Index})
	}
	for _, e := range out.Committed {
		if err := d.apply(e); err != nil {
			return err
		}
	}
	d.answerReads(out.Reads)
	d.revise(before)
	return nil
}

func (d *replicaDriver) send(messages []coltsreplica.Message) {
	for _, m := range messages {
		if other, known := d.others[m.To]; known {
			other.send(m)
		}
	}
}

// apply carries out a committed entry and wakes whoever waits for it.
func (d *replicaDriver) apply(e coltsreplica.Entry) error {
	d.applied = e.Index
	var result coltsstate.Result
	if e.Kind == coltsreplica.EntryCommand {
		command, err := coltswire.UnmarshalCommand(e.Data)
		if err != nil {
			return errors.Wrapf(err, "entry %d", e.Index)
		}
		d.appliedBytes += len(e.Data)
		result = d.c.machine.Apply(command)
		d.c.metrics.Add(coltsmetric.Commands, 1)
	}
	p, waits := d.waiting[e.Index]
	if !waits {
		return nil
	}
	delete(d.waiting, e.Index)
	p.result = result
	if p.term != e.Term {
		p.err = errDeposed
	}
	close(p.done)
	return nil
}

// answerReads wakes the reads that are confirmed. What they need is applied
// already, because committed entries are applied before.
func (d *replicaDriver) answerReads(reads []coltsreplica.ReadBarrier) {
	for _, b := range reads {
		r, waits := d.barriers[b.Token]
		if !waits {
			continue
		}
		delete(d.barriers, b.Token)
		if b.Failed {
			r.err = errDeposed
		}
		close(r.done)
	}
}

// failAll ends every wait.
func (d *replicaDriver) failAll(err error) {
	for index, p := range d.waiting {
		delete(d.waiting, index)
		p.err = err
		close(p.done)
	}
	for token, r := range d.barriers {
		delete(d.barriers, token)
		r.err = err
		close(r.done)
	}
}

// revise wakes those that wait for a newer document.
func (d *replicaDriver) revise(before coltsdocument.Revision) {
	now := d.c.Revision()
	if now == before {
		return
	}
	d.c.metrics.Put(coltsmetric.Revision, int64(now))
	d.c.revised.fire()
}

// snapshot has the state written when that is due: after some commands, and not
// before they are as long as the state itself, so that what is written for each
// command does not grow with the state. The copy is made here, between two
// commands; encoding and writing it go on beside the loop.
func (d *replicaDriver) snapshot() {
	if d.saving || d.applied < d.snapshotAt || d.appliedBytes < d.snapshotBytes {
		return
	}
	term, known := d.replica.TermAt(d.applied)
	if !known {
		return
	}
	d.saving = true
	d.appliedBytes = 0
	d.snapshotAt = d.applied + uint64(d.c.settings.SnapshotEvery)
	state := d.c.machine.Export()
	s := coltsreplica.Snapshot{
		Index:         d.applied,
		Term:          term,
		Configuration: d.replica.ConfigurationAt(d.applied),
	}
	d.snapshots.Submit(func() {
		var err error
		s.Data, err = coltswire.MarshalSnapshot(state)
		if err == nil {
			err = d.store.saveSnapshot(s)
		}
		d.saved <- savedSnapshot{index: s.Index, bytes: len(s.Data), err: err}
	})
}

// checkpoint drops what a saved snapshot covers.
func (d *replicaDriver) checkpoint(s savedSnapshot) {
	d.saving = false
	if s.err != nil {
		d.c.log.Error("A snapshot could not be written; the journal grows on.", coltslog.Fields{"error": s.err})
		return
	}
	d.snapshotBytes = s.bytes
	d.c.metrics.Add(coltsmetric.Snapshots, 1)
	if s.index > retainedEntries {
		d.replica.Compact(s.index - retainedEntries)
	}
	if err := d.store.checkpoint(s.index, d.hard, d.replica.Retained()); err != nil {
		d.c.log.Error("The journal could not be shortened.", coltslog.Fields{"error": err})
	}
}

// breakDown ends this replica's part after its disk has failed.
func (d *replicaDriver) breakDown(err error) {
	d.c.log.Error("The disk failed; this instance takes no more part and acknowledges nothing.", coltslog.Fields{"error": err})
	d.failAll(err)
	v := *d.view.Load()
	v.broken, v.leads, v.leader, v.inTouchUntil = true, false, "", time.Time{}
	d.view.Store(&v)
}

// publish lets other goroutines know what the replica knows.
func (d *replicaDriver) publish() {
	now := d.c.cfg.Now()
	d.c.metrics.Put(coltsmetric.Syncs, int64(d.store.journal.Stats().Syncs))
	v := &replicaView{
		leader:        d.replica.Leader(),
		leads:         d.replica.Role() == coltsreplica.RoleLeader,
		term:          d.replica.Term(),
		applied:       d.applied,
		inTouchUntil:  d.replica.InTouchUntil(now),
		leaseUntil:    d.replica.LeaseUntil(),
		configuration: d.replica.Configuration(),
	}
	before := d.view.Load()
	v.leadsSince = now
	if before != nil && before.leads && v.leads && before.term == v.term {
		v.leadsSince = before.leadsSince
	}
	d.view.Store(v)
	if before != nil && before.leader != v.leader && v.leader != "" {
		d.c.log.Info("A leader is known.", coltslog.Fields{"leader": v.leader, "term": v.term})
	}
	if before != nil && (before.leader != v.leader || before.leads != v.leads) {
		d.c.led.fire()
	}
}

func (d *replicaDriver) close() error {
	d.snapshots.StopAndWait()
	return d.store.close()
}
