package coltswire

// This file has the messages of the consensus protocol and the journal records that
// store a replica's state.

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsreplica"
	"coltsfootstall/coltswire/coltspb"
)

// EncodeConfiguration returns the protobuf message for a group's configuration.
func EncodeConfiguration(c coltsreplica.Configuration) *coltspb.Configuration {
	name := func(id coltsreplica.ID) string { return string(id) }
	return &coltspb.Configuration{Voters: convert(c.Voters, name), Learners: convert(c.Learners, name)}
}

// DecodeConfiguration returns the group's configuration held in a protobuf message.
func DecodeConfiguration(m *coltspb.Configuration) coltsreplica.Configuration {
	id := func(s string) coltsreplica.ID { return coltsidentity.Instance(s) }
	return coltsreplica.Configuration{Voters: convert(m.GetVoters(), id), Learners: convert(m.GetLearners(), id)}
}

func encodeLogEntry(e coltsreplica.Entry) *coltspb.LogEntry {
	m := &coltspb.LogEntry{Index: e.Index, Term: e.Term, Kind: int32(e.Kind), Data: e.Data}
	if e.Kind == coltsreplica.EntryConfiguration {
		m.Configuration = EncodeConfiguration(e.Configuration)
	}
	return m
}

func decodeLogEntry(m *coltspb.LogEntry) coltsreplica.Entry {
	e := coltsreplica.Entry{
		Index: m.GetIndex(),
		Term:  m.GetTerm(),
		Kind:  coltsreplica.EntryKind(m.GetKind()),
		Data:  m.GetData(),
	}
	if m.GetConfiguration() != nil {
		e.Configuration = DecodeConfiguration(m.GetConfiguration())
	}
	return e
}

func encodeReplicaSnapshot(s coltsreplica.Snapshot) *coltspb.ReplicaSnapshot {
	return &coltspb.ReplicaSnapshot{
		Index:         s.Index,
		Term:          s.Term,
		Configuration: EncodeConfiguration(s.Configuration),
		Data:          s.Data,
	}
}

func decodeReplicaSnapshot(m *coltspb.ReplicaSnapshot) coltsreplica.Snapshot {
	return coltsreplica.Snapshot{
		Index:         m.GetIndex(),
		Term:          m.GetTerm(),
		Configuration: DecodeConfiguration(m.GetConfiguration()),
		Data:          m.GetData(),
	}
}

// EncodeReplicaMessage returns the protobuf message for a message between replicas.
func EncodeReplicaMessage(r coltsreplica.Message) *coltspb.ReplicaMessage {
	m := &coltspb.ReplicaMessage{
		Kind:    int32(r.Kind),
		From:    string(r.From),
		To:      string(r.To),
		Term:    r.Term,
		Index:   r.Index,
		LogTerm: r.LogTerm,
		Entries: convert(r.Entries, encodeLogEntry),
		Commit:  r.Commit,
		Reject:  r.Reject,
		Hint:    r.Hint,
		Round:   r.Round,
	}
	if r.Kind == coltsreplica.MessageSnapshot {
		m.Snapshot = encodeReplicaSnapshot(r.Snapshot)
	}
	return m
}

// DecodeReplicaMessage returns the message between replicas held in a protobuf
// message.
func DecodeReplicaMessage(m *coltspb.ReplicaMessage) coltsreplica.Message {
	return coltsreplica.Message{
		Kind:     coltsreplica.MessageKind(m.GetKind()),
		From:     coltsidentity.Instance(m.GetFrom()),
		To:       coltsidentity.Instance(m.GetTo()),
		Term:     m.GetTerm(),
		Index:    m.GetIndex(),
		LogTerm:  m.GetLogTerm(),
		Entries:  convert(m.GetEntries(), decodeLogEntry),
		Commit:   m.GetCommit(),
		Reject:   m.GetReject(),
		Hint:     m.GetHint(),
		Round:    m.GetRound(),
		Snapshot: decodeReplicaSnapshot(m.GetSnapshot()),
	}
}

// MarshalReplicaSnapshot serializes a replica's snapshot for its file.
func MarshalReplicaSnapshot(s coltsreplica.Snapshot) ([]byte, error) {
	b, err := proto.Marshal(encodeReplicaSnapshot(s))
	return b, errors.Wrap(err, "marshal snapshot")
}

// UnmarshalReplicaSnapshot parses the content of a replica's snapshot file.
func UnmarshalReplicaSnapshot(b []byte) (coltsreplica.Snapshot, error) {
	var m coltspb.ReplicaSnapshot
	if err := proto.Unmarshal(b, &m); err != nil {
		return coltsreplica.Snapshot{}, errors.Wrap(err, "unmarshal snapshot")
	}
	return decodeReplicaSnapshot(&m), nil
}

// LogRecord is one record of a replica's journal. Exactly one of its fields is set.
type LogRecord struct {
	Entry     *coltsreplica.Entry
	HardState *coltsreplica.HardState
	// Reset, if set, discards the entries of all earlier records: the log continues
	// after this index.
	Reset *uint64
}

// MarshalLogRecord serializes a record for the journal.
func MarshalLogRecord(r LogRecord) ([]byte, error) {
	m := &coltspb.LogRecord{}
	switch {
	case r.Entry != nil:
		m.Body = &coltspb.LogRecord_Entry{Entry: encodeLogEntry(*r.Entry)}
	case r.HardState != nil:
		hardState := &coltspb.HardState{Term: r.HardState.Term, Vote: string(r.HardState.Vote)}
		m.Body = &coltspb.LogRecord_HardState{HardState: hardState}
	case r.Reset != nil:
		m.Body = &coltspb.LogRecord_Reset_{Reset_: *r.Reset}
	}
	b, err := proto.Marshal(m)
	return b, errors.Wrap(err, "marshal log record")
}

// UnmarshalLogRecord parses a record read from the journal.
func UnmarshalLogRecord(b []byte) (LogRecord, error) {
	var m coltspb.LogRecord
	if err := proto.Unmarshal(b, &m); err != nil {
		return LogRecord{}, errors.Wrap(err, "unmarshal log record")
	}
	switch body := m.GetBody().(type) {
	case *coltspb.LogRecord_Entry:
		e := decodeLogEntry(body.Entry)
		return LogRecord{Entry: &e}, nil
	case *coltspb.LogRecord_HardState:
		hardState := coltsreplica.HardState{
			Term: body.HardState.GetTerm(),
			Vote: coltsidentity.Instance(body.HardState.GetVote()),
		}
		return LogRecord{HardState: &hardState}, nil
	case *coltspb.LogRecord_Reset_:
		return LogRecord{Reset: &body.Reset_}, nil
	}
	return LogRecord{}, errors.Errorf("log record of unknown kind %T", m.GetBody())
}
