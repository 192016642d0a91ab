package coltscontrol

// What a replica must not forget stands in one journal: hard state and entries in
// the order in which they were persisted, so that a later record takes the place
// of an earlier one with its index. A snapshot is a file of its own.

import (
	"github.com/pkg/errors"

	"coltsfootstall/coltsjournal"
	"coltsfootstall/coltsreplica"
	"coltsfootstall/coltswire"
)

// replicaStore is a replica's disk.
type replicaStore struct {
	dir     string
	journal *coltsjournal.Journal
}

// restoring gathers what a journal holds.
type restoring struct {
	state coltsreplica.Restored
	// gap says that entries are missing before the newest one; a reset that
	// follows makes up for it.
	gap bool
}

// openStore opens the folder and returns what the replica was when it stopped.
// first is the configuration of a group that has never run.
func openStore(cfg coltsjournal.Config, first coltsreplica.Configuration) (*replicaStore, coltsreplica.Restored, error) {
	r := restoring{state: coltsreplica.Restored{Snapshot: coltsreplica.Snapshot{Configuration: first}}}
	_, content, err := coltsjournal.LoadSnapshot(cfg.Dir)
	if err != nil {
		return nil, r.state, err
	}
	if content != nil {
		r.state.Snapshot, err = coltswire.UnmarshalReplicaSnapshot(content)
		if err != nil {
			return nil, r.state, err
		}
	}
	journal, err := coltsjournal.Open(cfg, func(_ uint64, record []byte) error { return r.replay(record) })
	if err != nil {
		return nil, r.state, err
	}
	if r.gap {
		return nil, r.state, errors.Errorf("journal %s lacks entries after its snapshot", cfg.Dir)
	}
	return &replicaStore{dir: cfg.Dir, journal: journal}, r.state, nil
}

func (r *restoring) replay(record []byte) error {
	rec, err := coltswire.UnmarshalLogRecord(record)
	if err != nil {
		return err
	}
	switch {
	case rec.HardState != nil:
		r.state.HardState = *rec.HardState
	case rec.Reset != nil:
		r.state.Entries = nil
		r.gap = false
	case rec.Entry != nil:
		r.replayEntry(*rec.Entry)
	}
	return nil
}

// replayEntry puts an entry in its place and drops those after it.
func (r *restoring) replayEntry(e coltsreplica.Entry) {
	base := r.state.Snapshot.Index
	if e.Index <= base {
		// The snapshot covers it; what followed it was cut when it was written.
		r.state.Entries = nil
		r.gap = false
		return
	}
	place := int(e.Index - base - 1)
	if place > len(r.state.Entries) {
		r.state.Entries = nil
		r.gap = true
		return
	}
	if place == 0 {
		r.gap = false
	}
	r.state.Entries = append(r.state.Entries[:place:place], e)
}

// persist makes an output's state durable in one frame.
func (s *replicaStore) persist(out coltsreplica.Output) error {
	var records []coltswire.LogRecord
	if out.Install != nil {
		if err := s.saveSnapshot(*out.Install); err != nil {
			return err
		}
		records = append(records, coltswire.LogRecord{Reset: &out.Install.Index})
	}
	if out.HardState != nil {
		records = append(records, coltswire.LogRecord{HardState: out.HardState})
	}
	for i := range out.Entries {
		records = append(records, coltswire.LogRecord{Entry: &out.Entries[i]})
	}
	return s.append(records)
}

func (s *replicaStore) append(records []coltswire.LogRecord) error {
	encoded := make([][]byte, 0, len(records))
	for _, r := range records {
		b, err := coltswire.MarshalLogRecord(r)
		if err != nil {
			return err
		}
		encoded = append(encoded, b)
	}
	return s.journal.Append(encoded...)
}

// saveSnapshot writes a snapshot's file. The journal still holds what it covers.
func (s *replicaStore) saveSnapshot(snapshot coltsreplica.Snapshot) error {
	content, err := coltswire.MarshalReplicaSnapshot(snapshot)
	if err != nil {
		return err
	}
	return s.journal.SaveSnapshot(snapshot.Index, content)
}

// loadSnapshot reads the newest snapshot back, to send it to another replica.
func (s *replicaStore) loadSnapshot() (coltsreplica.Snapshot, error) {
	_, content, err := coltsjournal.LoadSnapshot(s.dir)
	if err != nil || content == nil {
		return coltsreplica.Snapshot{}, err
	}
	return coltswire.UnmarshalReplicaSnapshot(content)
}

// checkpoint writes again what is still needed after a saved snapshot and gives
// the segments before it back to the disk.
func (s *replicaStore) checkpoint(covered uint64, hard coltsreplica.HardState, entries []coltsreplica.Entry) error {
	first := s.journal.NextNumber()
	records := []coltswire.LogRecord{{Reset: &covered}, {HardState: &hard}}
	for i := range entries {
		if entries[i].Index > covered {
			records = append(records, coltswire.LogRecord{Entry: &entries[i]})
		}
	}
	if err := s.append(records); err != nil {
		return err
	}
	return s.journal.RemoveBefore(first)
}

func (s *replicaStore) close() error {
	return s.journal.Close()
}
