package coltswire

// Evacuations are sent whole: there are at most a few dozen, and they change a few times a day. A
// register without orders is encoded as no message, so that nothing is added to snapshots and replies
// where none was ever given.

import (
	"time"

	"coltsfootstall/coltsevacuation"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltswire/coltspb"
)

func encodeEvacuationOrder(o coltsevacuation.Order) *coltspb.EvacuationOrder {
	return &coltspb.EvacuationOrder{DataCentre: string(o.DataCentre), Ends: o.Ends, After: (*uint64)(o.After)}
}

func decodeEvacuationOrder(m *coltspb.EvacuationOrder) coltsevacuation.Order {
	return coltsevacuation.Order{
		DataCentre: coltsidentity.DataCentre(m.GetDataCentre()), Ends: m.GetEnds(), After: (*coltsevacuation.OrderNumber)(m.After),
	}
}

// EncodeEvacuations returns the protobuf message for the evacuations, or nil if there was no order yet.
func EncodeEvacuations(s coltsevacuation.State) *coltspb.Evacuations {
	if s.Newest == 0 && s.Revision == 0 {
		return nil
	}
	return &coltspb.Evacuations{
		Revision: s.Revision, Orders: uint64(s.Newest), UnlistedOrder: uint64(s.NewestUnlisted),
		DataCentres: convert(s.Evacuations, func(e coltsevacuation.Evacuation) *coltspb.Evacuation {
			return &coltspb.Evacuation{
				DataCentre: string(e.DataCentre), Ended: e.Ended, ChangedAt: EncodeTime(e.ChangedAt), Order: uint64(e.Order),
			}
		}),
	}
}

// DecodeEvacuations is the inverse of EncodeEvacuations.
func DecodeEvacuations(m *coltspb.Evacuations) coltsevacuation.State {
	s := coltsevacuation.State{
		Revision: m.GetRevision(), Newest: coltsevacuation.OrderNumber(m.GetOrders()),
		NewestUnlisted: coltsevacuation.OrderNumber(m.GetUnlistedOrder()),
	}
	for _, e := range m.GetDataCentres() {
		s.Evacuations = append(s.Evacuations, coltsevacuation.Evacuation{
			DataCentre: coltsidentity.DataCentre(e.GetDataCentre()), Ended: e.GetEnded(), ChangedAt: DecodeTime(e.GetChangedAt()),
			Order: coltsevacuation.OrderNumber(e.GetOrder()),
		})
	}
	return s
}

// EncodeEvacuationsWithAges is like EncodeEvacuations and adds the time from each change to now, which a
// reader can use whose clock differs. The changes must have the times of the sender's clock.
func EncodeEvacuationsWithAges(s coltsevacuation.State, now time.Time) *coltspb.Evacuations {
	m := EncodeEvacuations(s)
	for i, e := range s.Evacuations {
		m.DataCentres[i].AgeNanos = int64(max(0, now.Sub(e.ChangedAt)))
	}
	return m
}

// DecodeEvacuationsWithAges is the inverse of EncodeEvacuationsWithAges. The changes have the times of
// the reader's clock, none of them earlier than it was, because the message took some time.
func DecodeEvacuationsWithAges(m *coltspb.Evacuations, now time.Time) coltsevacuation.State {
	s := DecodeEvacuations(m)
	for i := range s.Evacuations {
		s.Evacuations[i].ChangedAt = now.Add(-time.Duration(m.GetDataCentres()[i].GetAgeNanos()))
	}
	return s
}
