package coltscontrol

// A replica's durable state is in one journal, which holds hard state and entries in the order in
// which they were persisted. An entry replaces an earlier one with the same index and all that
// followed it. A snapshot is a separate file.

import (
	"github.com/pkg/errors"

	"coltsfootstall/coltsjournal"
	"coltsfootstall/coltsreplica"
	"coltsfootstall/coltswire"
)

// replicaStore is a replica's storage on disk.
type replicaStore struct {
	dir     string
	journal *coltsjournal.Journal
}

// journalReplay collects a replica's state from the records of its journal.
type journalReplay struct {
	state coltsreplica.RestoredState
	// gap is set if entries are missing between the snapshot and the newest entry. A later reset
	// record clears it.
	gap bool
}

// openStore opens the folder and returns the state that the replica had when it stopped. initial is
// the configuration of a group that has never run.
func openStore(cfg coltsjournal.Config, initial coltsreplica.Configuration) (*replicaStore, coltsreplica.RestoredState, error) {
	r := journalReplay{state: coltsreplica.RestoredState{Snapshot: coltsreplica.Snapshot{Configuration: initial}}}
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

func (r *journalReplay) replay(record []byte) error {
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

// replayEntry stores an entry at its index and drops the entries after it.
func (r *journalReplay) replayEntry(e coltsreplica.Entry) {
	base := r.state.Snapshot.Index
	if e.Index <= base {
		// The snapshot covers this entry. Writing it truncated the entries after it.
		r.state.Entries = nil
		r.gap = false
		return
	}
	position := int(e.Index - base - 1)
	if position > len(r.state.Entries) {
		r.state.Entries = nil
		r.gap = true
		return
	}
	if position == 0 {
		r.gap = false
	}
	r.state.Entries = append(r.state.Entries[:position:position], e)
}

// persist makes an output's snapshot, hard state and entries durable; the journal's records are written
// in one frame. After an error the output may be persisted again. An output without any of these is
// refused, too, while the journal can't be written.
func (s *replicaStore) persist(out coltsreplica.Output) error {
	if err := s.journal.Recover(); err != nil {
		return err
	}
	var records []coltswire.LogRecord
	if out.InstallSnapshot != nil {
		if err := s.saveSnapshot(*out.InstallSnapshot); err != nil {
			return err
		}
		records = append(records, coltswire.LogRecord{Reset: &out.InstallSnapshot.Index})
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

// saveSnapshot writes a snapshot's file. It does not remove the entries that the snapshot covers from
// the journal.
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

// checkpoint truncates the journal after a saved snapshot: it writes the hard state and the entries
// that the snapshot does not cover again, then removes the older segments.
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
	return s.journal.RemoveSegmentsBefore(first)
}

func (s *replicaStore) close() error {
	return s.journal.Close()
}
