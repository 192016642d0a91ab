package coltscontrol

// The driver's loop is the only goroutine that uses the replica. It passes proposals, messages and
// ticks to the replica and processes each output in the required order. Commands that arrive during
// a disk sync share the next sync.

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
	"coltsfootstall/coltsreplica"
)

const (
	// queueLength is the capacity of the queues of commands and of reads.
	queueLength = 4096
	// maxBatch is the greatest number of commands in one proposal.
	maxBatch = 512
	// incomingLength is the capacity of the queue of received deliveries.
	incomingLength = 1024
	// heartbeatInterval and electionTimeout configure the replica: five heartbeats may be
	// lost or late before the other replicas elect a new leader.
	heartbeatInterval = 100 * time.Millisecond
	electionTimeout   = 500 * time.Millisecond
	// clockMargin is subtracted from a leader's lease to allow for clock drift.
	clockMargin = 100 * time.Millisecond
	// retainedEntries is the number of entries that stay in memory although a snapshot covers
	// them, so that a replica that was unreachable for a moment needs no snapshot.
	retainedEntries = 1024
)

// replicaDriver runs a replica: its input queues, its storage and its connections to the peers.
type replicaDriver struct {
	c       *Control
	store   *replicaStore
	replica *coltsreplica.Replica
	peers   *peerControls

	proposals      chan *pendingCommand
	incoming       chan []coltsreplica.Message
	reads          chan *pendingRead
	changes        chan *pendingChange
	savedSnapshots chan savedSnapshot
	// snapshotPool encodes and writes snapshots outside the loop, one at a time.
	snapshotPool pond.Pool
	// view is the replica's published state, for other goroutines.
	view atomic.Pointer[replicaView]

	// The fields below are used by the loop only, except failed. pendingCommands is keyed by
	// log index, pendingReads by read token.
	pendingCommands   map[uint64]*pendingCommand
	pendingReads      map[uint64]*pendingRead
	lastReadToken     uint64
	appliedIndex      uint64
	appliedTerm       uint64
	nextSnapshotIndex uint64
	// bytesSinceSnapshot is the total length of the commands applied since the newest
	// snapshot was started, snapshotBytes the length of the last saved snapshot.
	bytesSinceSnapshot int
	snapshotBytes      int
	savingSnapshot     bool
	// retrySnapshotAt is when a snapshot or checkpoint that failed may be tried again, and
	// checkpointDue is the index of a snapshot whose checkpoint has failed; zero for none.
	retrySnapshotAt time.Time
	checkpointDue   uint64
	hardState       coltsreplica.HardState
	// publishedRevision, publishedWeights and publishedDepartures are the revisions of the document, of the
	// named weights and of the departures that were last published.
	publishedRevision   coltsdocument.Revision
	publishedWeights    uint64
	publishedDepartures uint64
	// failed is closed when a committed entry can't be applied; any goroutine may wait for it.
	failed chan struct{}
}

// replicaView is a copy of the replica's state for other goroutines.
type replicaView struct {
	// caughtUp is set once this instance has applied an entry of the then current leader's term
	// since its start. Before that it may have less applied than was acknowledged: what is only in
	// the journal is applied when a leader says that it is committed.
	caughtUp bool
	// leader is the leader's ID, empty while no leader is known.
	leader       coltsidentity.Instance
	isLeader     bool
	term         uint64
	appliedIndex uint64
	// freshUntil is when the applied state stops counting as recent, unless it is extended.
	freshUntil time.Time
	// leaseUntil is the end of this instance's leader lease: no other instance can lead before
	// then, and orders are sent only under the lease. leaderSince is when this instance became
	// leader; it has no meaning while isLeader is false.
	leaseUntil time.Time
	// confirmedUntil is until when a quorum's last acknowledgement counts for this leader.
	confirmedUntil time.Time
	leaderSince    time.Time
	// diskFailed is set while the disk refuses writes; the replica then takes no part in the group.
	diskFailed         bool
	configuration      coltsreplica.Configuration
	configurationIndex uint64
}

// openDriver returns a driver whose replica is restored from disk.
func openDriver(c *Control) (*replicaDriver, error) {
	d := &replicaDriver{
		c:               c,
		peers:           newPeerControls(c.settings.Replicas, c.replicaID),
		proposals:       make(chan *pendingCommand, queueLength),
		incoming:        make(chan []coltsreplica.Message, incomingLength),
		reads:           make(chan *pendingRead, queueLength),
		changes:         make(chan *pendingChange),
		savedSnapshots:  make(chan savedSnapshot, 1),
		snapshotPool:    pond.NewPool(1),
		pendingCommands: map[uint64]*pendingCommand{},
		pendingReads:    map[uint64]*pendingRead{},
		failed:          make(chan struct{}),
	}
	store, restored, err := openStore(coltsjournal.Config{
		Dir:          c.settings.DataFolder,
		SegmentBytes: int64(c.settings.SegmentBytes),
		Sync:         c.cfg.Sync,
	}, c.initialConfiguration())
	if err != nil {
		return nil, err
	}
	d.store = store
	if err := d.importState(restored.Snapshot); err != nil {
		return nil, err
	}
	d.publishState()
	d.hardState = restored.HardState
	d.replica = coltsreplica.New(coltsreplica.Config{
		ID:                c.replicaID,
		HeartbeatInterval: heartbeatInterval,
		ElectionTimeout:   electionTimeout,
		ClockMargin:       clockMargin,
		DisableLeases:     c.formsFromSeeds(),
		Random:            rand.Int64N,
		LoadSnapshot:      d.loadSnapshot,
	}, restored, c.cfg.Now())
	d.publish()
	return d, nil
}

// initialConfiguration returns the configuration of a group that has never run.
func (c *Control) initialConfiguration() coltsreplica.Configuration {
	if c.formsFromSeeds() {
		return coltsreplica.Configuration{Voters: c.founders}
	}
	var initial coltsreplica.Configuration
	for _, r := range c.settings.Replicas {
		if !r.Joins {
			initial.Voters = append(initial.Voters, coltsidentity.Instance(r.Instance))
		}
	}
	if len(c.settings.Replicas) == 0 {
		initial.Voters = []coltsidentity.Instance{c.id()}
	}
	return initial
}

// run is the driver's loop. It returns when ctx ends or a committed entry can't be applied.
func (d *replicaDriver) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	// What was read at the start must be durable before the replica answers for it.
	err := d.persist(ctx, &coltsreplica.Output{})
	for err == nil {
		select {
		case <-ctx.Done():
			err = errShuttingDown
		case <-timer.C:
			d.replica.Tick(d.c.cfg.Now())
		case p := <-d.proposals:
			d.propose(drainQueue(d.proposals, p))
		case messages := <-d.incoming:
			d.stepMessages(messages)
		case r := <-d.reads:
			d.startRead(r)
		case ch := <-d.changes:
			ch.err = ch.apply(d.replica)
			close(ch.done)
		case s := <-d.savedSnapshots:
			d.finishSnapshot(s)
		}
		if err == nil {
			err = d.processOutputs(ctx)
		}
		timer.Reset(d.replica.NextTickAt().Sub(d.c.cfg.Now()))
	}
	d.stop(err)
}

// errShuttingDown ends the driver's loop.
var errShuttingDown = errors.New("this instance is shutting down")

// stop fails all pending calls with the error that ended the loop, and publishes that this instance takes
// no part in the group any more.
func (d *replicaDriver) stop(err error) {
	d.failPending(err)
	if errors.Is(err, errShuttingDown) {
		return
	}
	d.c.log.Error("The replicated state can't be applied; this instance takes no part in the group any more.", coltslog.Fields{"error": err})
	v := *d.view.Load()
	v.isLeader, v.leader, v.freshUntil = false, "", time.Time{}
	d.view.Store(&v)
	close(d.failed)
}

// propose proposes commands to the replica and records them as pending.
func (d *replicaDriver) propose(batch []*pendingCommand) {
	commands := make([][]byte, 0, len(batch))
	for _, p := range batch {
		commands = append(commands, p.bytes)
	}
	firstIndex, err := d.replica.Propose(commands)
	for i, p := range batch {
		if err != nil {
			p.err = err
			close(p.done)
			continue
		}
		p.term = d.replica.Term()
		d.pendingCommands[firstIndex+uint64(i)] = p
	}
}

func (d *replicaDriver) stepMessages(messages []coltsreplica.Message) {
	now := d.c.cfg.Now()
	for _, m := range messages {
		d.replica.Step(m, now)
	}
}

func (d *replicaDriver) startRead(r *pendingRead) {
	d.lastReadToken++
	d.pendingReads[d.lastReadToken] = r
	if err := d.replica.Read(d.lastReadToken, d.c.cfg.Now()); err != nil {
		delete(d.pendingReads, d.lastReadToken)
		r.err = err
		close(r.done)
	}
}

func (d *replicaDriver) close() error {
	d.snapshotPool.StopAndWait()
	return d.store.close()
}
