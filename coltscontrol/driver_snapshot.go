package coltscontrol

// Snapshots keep the log short. They are copied between two commands, and encoded
// and written beside the loop.

import (
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsreplica"
	"coltsfootstall/coltswire"
)

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
	if err := d.store.checkpoint(s.index, d.hard, d.replica.RetainedEntries()); err != nil {
		d.c.log.Error("The journal could not be shortened.", coltslog.Fields{"error": err})
	}
}
