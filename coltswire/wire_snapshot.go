package coltswire

// A snapshot is one message. The document in it is the texts of its sections,
// which the change records hold, so that nothing stands twice.

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootstall/coltsbooking"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltswire/coltspb"
)

// MarshalSnapshot returns the bytes of a snapshot.
func MarshalSnapshot(s coltsstate.Snapshot) ([]byte, error) {
	find := func(revision coltsdocument.Revision) (coltsdocument.ChangeRecord, bool) {
		for _, r := range s.Changes {
			if r.State == coltsdocument.ChangeAccepted && r.Revision == revision {
				return r, true
			}
		}
		return coltsdocument.ChangeRecord{}, false
	}
	b, err := proto.Marshal(&coltspb.Snapshot{
		AppliedAt: EncodeTime(s.AppliedAt),
		Document:  EncodeDocument(s.Document, find),
		Changes:   convert(s.Changes, EncodeChangeRecord),
		LastGrant: uint64(s.LastGrant),
		Bookings:  convert(s.Bookings, EncodeBooking),
		Lines:     convert(s.Lines, EncodeUsageLine),
		Sources:   convert(s.Sources, encodeUsageSource),
		Routes:    EncodeRoutesText(s.Routes),
		Weights:   convert(s.Weights, EncodeNamedWeights),
	})
	return b, errors.Wrap(err, "marshal snapshot")
}

// UnmarshalSnapshot reads the bytes of a snapshot.
func UnmarshalSnapshot(b []byte) (coltsstate.Snapshot, error) {
	var m coltspb.Snapshot
	if err := proto.Unmarshal(b, &m); err != nil {
		return coltsstate.Snapshot{}, errors.Wrap(err, "unmarshal snapshot")
	}
	document, err := DecodeDocument(m.GetDocument())
	if err != nil {
		return coltsstate.Snapshot{}, errors.Wrap(err, "document in snapshot")
	}
	s := coltsstate.Snapshot{
		AppliedAt: DecodeTime(m.GetAppliedAt()),
		Document:  document,
		LastGrant: coltsbooking.GrantNumber(m.GetLastGrant()),
		Bookings:  convert(m.GetBookings(), DecodeBooking),
		Lines:     convert(m.GetLines(), DecodeUsageLine),
		Sources:   convert(m.GetSources(), decodeUsageSource),
		Routes:    DecodeRoutesText(m.GetRoutes()),
		Weights:   convert(m.GetWeights(), DecodeNamedWeights),
	}
	for _, change := range m.GetChanges() {
		record, err := DecodeChangeRecord(change)
		if err != nil {
			return coltsstate.Snapshot{}, errors.Wrap(err, "change in snapshot")
		}
		s.Changes = append(s.Changes, record)
	}
	return s, nil
}
