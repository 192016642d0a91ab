package coltswire

// A snapshot is a single protobuf message. Its document consists of the section
// texts of the accepted change records, so that the document needs no encoding of
// its own.

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootstall/coltsbooking"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltswire/coltspb"
)

// MarshalSnapshot serializes a snapshot of the replicated state.
func MarshalSnapshot(s coltsstate.Snapshot) ([]byte, error) {
	findAccepted := func(revision coltsdocument.Revision) (coltsdocument.ChangeRecord, bool) {
		for _, r := range s.Changes {
			if r.State == coltsdocument.ChangeAccepted && r.Revision == revision {
				return r, true
			}
		}
		return coltsdocument.ChangeRecord{}, false
	}
	b, err := proto.Marshal(&coltspb.Snapshot{
		AppliedAt:   EncodeTime(s.AppliedAt),
		Document:    EncodeDocument(s.Document, findAccepted),
		Changes:     convert(s.Changes, EncodeChangeRecord),
		Evacuations: EncodeEvacuations(s.Evacuations),
		Departures:  EncodeDepartures(s.Departures),
		LastGrant:   uint64(s.LastGrant),
		Bookings:    convert(s.Bookings, EncodeBooking),
		Lines:       convert(s.Lines, EncodeUsageLine),
		Sources:     convert(s.Sources, encodeUsageSource),
		Routes:      EncodeRouteTable(s.Routes),
		Weights:     convert(s.Weights, EncodeNamedVersion),

		CacheSharing: encodeCacheSharing(s.CacheSharing),
	})
	return b, errors.Wrap(err, "marshal snapshot")
}

// UnmarshalSnapshot parses a serialized snapshot of the replicated state.
func UnmarshalSnapshot(b []byte) (coltsstate.Snapshot, error) {
	var m coltspb.Snapshot
	if err := proto.Unmarshal(b, &m); err != nil {
		return coltsstate.Snapshot{}, errors.Wrap(err, "unmarshal snapshot")
	}
	document, err := DecodeDocument(m.GetDocument())
	if err != nil {
		return coltsstate.Snapshot{}, errors.Wrap(err, "decode document in snapshot")
	}
	s := coltsstate.Snapshot{
		AppliedAt:   DecodeTime(m.GetAppliedAt()),
		Document:    document,
		Evacuations: DecodeEvacuations(m.GetEvacuations()),
		Departures:  DecodeDepartures(m.GetDepartures()),
		LastGrant:   coltsbooking.GrantNumber(m.GetLastGrant()),
		Bookings:    convert(m.GetBookings(), DecodeBooking),
		Lines:       convert(m.GetLines(), DecodeUsageLine),
		Sources:     convert(m.GetSources(), decodeUsageSource),
		Routes:      DecodeRouteTable(m.GetRoutes()),
		Weights:     convert(m.GetWeights(), DecodeNamedVersion),

		CacheSharing: decodeCacheSharing(m.GetCacheSharing(), m.GetRoutes().GetVersion() > 0),
	}
	for _, change := range m.GetChanges() {
		record, err := DecodeChangeRecord(change)
		if err != nil {
			return coltsstate.Snapshot{}, errors.Wrap(err, "decode change in snapshot")
		}
		s.Changes = append(s.Changes, record)
	}
	return s, nil
}
