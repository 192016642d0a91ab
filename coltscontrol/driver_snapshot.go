package coltscontrol

// Snapshots allow the log to be truncated. The driver's loop copies the state between two commands;
// a worker encodes and writes the copy.

import (
	"time"

	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsreplica"
	"coltsfootstall/coltswire"
)

// snapshotRetryDelay is the pause after a snapshot or checkpoint that the disk has refused.
const snapshotRetryDelay = time.Second

// importState replaces the state machine's state with a snapshot's.
func (d *replicaDriver) importState(s coltsreplica.Snapshot) error {
	d.appliedIndex, d.appliedTerm = s.Index, s.Term
	d.nextSnapshotIndex = s.Index + uint64(d.c.settings.SnapshotEvery)
	d.bytesSinceSnapshot = 0
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

// loadSnapshot returns the newest snapshot, or an empty one if it can't be read.
func (d *replicaDriver) loadSnapshot() coltsreplica.Snapshot {
	s, err := d.store.loadSnapshot()
	if err != nil {
		d.c.log.Error("A snapshot could not be read.", coltslog.Fields{"error": err})
	}
	return s
}

// snapshotIfDue starts a snapshot if at least SnapshotEvery entries or JournalBytes of commands were
// applied since the last one, and their commands have at least as many bytes as the last snapshot. The
// last condition keeps the bytes written for each command from growing with the state. The state is
// copied here, between two commands; a worker encodes and writes it.
func (d *replicaDriver) snapshotIfDue() {
	if d.savingSnapshot || d.c.cfg.Now().Before(d.retrySnapshotAt) {
		return
	}
	if d.checkpointDue > 0 {
		d.checkpoint(d.checkpointDue)
	}
	isDue := d.appliedIndex >= d.nextSnapshotIndex || d.bytesSinceSnapshot >= d.c.settings.JournalBytes
	if !isDue || d.bytesSinceSnapshot < d.snapshotBytes {
		return
	}
	term, known := d.replica.TermAt(d.appliedIndex)
	if !known {
		return
	}
	d.savingSnapshot = true
	covered := d.bytesSinceSnapshot
	state := d.c.machine.Export()
	s := coltsreplica.Snapshot{
		Index:         d.appliedIndex,
		Term:          term,
		Configuration: d.replica.ConfigurationAt(d.appliedIndex),
	}
	d.snapshotPool.Submit(func() {
		var err error
		s.Data, err = coltswire.MarshalSnapshot(state)
		if err == nil {
			err = d.store.saveSnapshot(s)
		}
		d.savedSnapshots <- savedSnapshot{index: s.Index, bytes: len(s.Data), covered: covered, err: err}
	})
}

// finishSnapshot truncates the log and the journal after a snapshot has been saved. One that could not be
// saved stays due.
func (d *replicaDriver) finishSnapshot(s savedSnapshot) {
	d.savingSnapshot = false
	if s.err != nil {
		d.retrySnapshotAt = d.c.cfg.Now().Add(snapshotRetryDelay)
		d.c.log.Error("A snapshot could not be written; the journal is not truncated.", coltslog.Fields{"error": s.err})
		return
	}
	d.bytesSinceSnapshot = max(0, d.bytesSinceSnapshot-s.covered)
	d.nextSnapshotIndex = s.index + uint64(d.c.settings.SnapshotEvery)
	d.snapshotBytes = s.bytes
	d.c.metrics.Add(coltsmetric.Snapshots, 1)
	d.replica.Compact(s.index, coltsreplica.Retention{Entries: retainedEntries, Bytes: d.c.settings.JournalBytes})
	d.checkpoint(s.index)
}

// checkpoint truncates the journal after a snapshot of the state at an index. If the disk refuses that, it
// stays due.
func (d *replicaDriver) checkpoint(covered uint64) {
	d.checkpointDue = 0
	if err := d.store.checkpoint(covered, d.hardState, d.replica.RetainedEntries()); err != nil {
		d.checkpointDue, d.retrySnapshotAt = covered, d.c.cfg.Now().Add(snapshotRetryDelay)
		d.c.log.Error("The journal could not be truncated.", coltslog.Fields{"error": err})
	}
}
