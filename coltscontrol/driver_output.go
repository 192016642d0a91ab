package coltscontrol

// The driver processes each output of the replica in the order that coltsreplica.Output requires:
// persist, send, apply committed entries, complete reads.

import (
	"context"

	"github.com/pkg/errors"

	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsreplica"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltswire"
)

// processOutputs processes the replica's outputs until none is left, then fails pending calls if the
// leadership was lost, starts a snapshot if one is due and publishes a new view.
func (d *replicaDriver) processOutputs(ctx context.Context) error {
	wasLeader := d.view.Load().isLeader
	for {
		out := d.replica.TakeOutput()
		if out.Empty() {
			break
		}
		if err := d.processOutput(ctx, out); err != nil {
			return err
		}
	}
	if wasLeader && d.replica.Role() != coltsreplica.RoleLeader {
		d.failPending(errLostLeadership)
	}
	d.snapshotIfDue()
	d.publish()
	return nil
}

func (d *replicaDriver) processOutput(ctx context.Context, out coltsreplica.Output) error {
	d.send(out.EarlyMessages)
	if err := d.persist(ctx, &out); err != nil {
		return err
	}
	if out.HardState != nil {
		d.hardState = *out.HardState
	}
	if n := len(out.Entries); n > 0 {
		d.replica.MarkPersisted(out.Entries[n-1].Index, out.Entries[n-1].Term)
	}
	d.send(out.Messages)
	if out.InstallSnapshot != nil {
		if err := d.importState(*out.InstallSnapshot); err != nil {
			return err
		}
		d.c.log.Info("Took over a snapshot.", coltslog.Fields{"index": out.InstallSnapshot.Index})
	}
	for _, e := range out.Committed {
		if err := d.apply(e); err != nil {
			return err
		}
	}
	d.completeReads(out.Reads)
	d.publishState()
	return nil
}

func (d *replicaDriver) send(messages []coltsreplica.Message) {
	for _, m := range messages {
		if peer, known := d.peers.find(m.To); known {
			peer.send(m)
		}
	}
}

// apply applies a committed entry to the state machine and completes the pending command at its index.
func (d *replicaDriver) apply(e coltsreplica.Entry) error {
	d.appliedIndex, d.appliedTerm = e.Index, e.Term
	var result coltsstate.Result
	if e.Kind == coltsreplica.EntryCommand {
		command, err := coltswire.UnmarshalCommand(e.Data)
		if err != nil {
			return errors.Wrapf(err, "entry %d", e.Index)
		}
		d.bytesSinceSnapshot += len(e.Data)
		result = d.c.machine.Apply(command)
		d.c.metrics.Add(coltsmetric.Commands, 1)
	}
	p, pending := d.pendingCommands[e.Index]
	if !pending {
		return nil
	}
	delete(d.pendingCommands, e.Index)
	p.result = result
	if p.term != e.Term {
		p.err = errLostLeadership
	}
	close(p.done)
	return nil
}

// completeReads completes the reads that a quorum has confirmed or that have failed. The entries that
// they depend on are applied already, because committed entries are applied first.
func (d *replicaDriver) completeReads(reads []coltsreplica.ReadBarrier) {
	for _, b := range reads {
		r, pending := d.pendingReads[b.Token]
		if !pending {
			continue
		}
		delete(d.pendingReads, b.Token)
		if b.Failed {
			r.err = errLostLeadership
		}
		close(r.done)
	}
}

// failPending completes all pending commands and reads with an error.
func (d *replicaDriver) failPending(err error) {
	for index, p := range d.pendingCommands {
		delete(d.pendingCommands, index)
		p.err = err
		close(p.done)
	}
	for token, r := range d.pendingReads {
		delete(d.pendingReads, token)
		r.err = err
		close(r.done)
	}
}

// publishState publishes what other goroutines read of the state machine and wakes those that wait for
// a change. It compares with what was published last, so it also covers a state that was imported from
// a snapshot at the start or while the instance runs.
func (d *replicaDriver) publishState() {
	if revision := d.c.Revision(); revision != d.publishedRevision {
		d.publishedRevision = revision
		d.c.metrics.Put(coltsmetric.Revision, int64(revision))
		d.c.documentChanged.Broadcast()
	}
	encoded, published := d.c.machine.Routes(), d.c.routes.Load().Version
	if encoded.Version != published {
		d.c.routes.Store(&encoded)
		d.c.log.Info("A route table is in force.", coltslog.Fields{"version": encoded.Version, "before": published})
	}
	d.publishDepartures()
	evacuationsChanged := d.c.publishEvacuations(d.c.cfg.Now())
	versions, revision := d.c.machine.Weights.Versions()
	if evacuationsChanged || encoded.Version != published || revision != d.publishedWeights {
		d.c.weightAges.observe(versions, d.c.cfg.Now())
		d.publishedWeights = revision
		d.c.watchChanged.Broadcast()
	}
}

// publish stores a new view of the replica for other goroutines, and wakes those that wait for a
// change of leader.
func (d *replicaDriver) publish() {
	now := d.c.cfg.Now()
	d.c.metrics.Put(coltsmetric.JournalSyncs, int64(d.store.journal.Stats().Syncs))
	v := &replicaView{
		leader:         d.replica.Leader(),
		isLeader:       d.replica.Role() == coltsreplica.RoleLeader,
		term:           d.replica.Term(),
		appliedIndex:   d.appliedIndex,
		freshUntil:     d.replica.FreshUntil(now),
		leaseUntil:     d.replica.LeaseUntil(),
		confirmedUntil: d.replica.ConfirmedUntil(),
		configuration:  d.replica.Configuration(),

		configurationIndex: d.replica.ConfigurationIndex(),
	}
	old := d.view.Load()
	v.caughtUp = old != nil && old.caughtUp || v.leader != "" && d.appliedTerm == v.term
	v.leaderSince = now
	if old != nil && old.isLeader && v.isLeader && old.term == v.term {
		v.leaderSince = old.leaderSince
	}
	d.view.Store(v)
	if old != nil && old.leader != v.leader && v.leader != "" {
		d.c.log.Info("Discovered the group's leader.", coltslog.Fields{"leader": v.leader, "term": v.term})
	}
	if old != nil && (old.leader != v.leader || old.isLeader != v.isLeader) {
		d.c.leaderChanged.Broadcast()
	}
}
