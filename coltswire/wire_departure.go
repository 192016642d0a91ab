package coltswire

// A register without departures is encoded as no message, so that nothing is added to snapshots where no
// upstream has ever left.

import (
	"coltsfootstall/coltsdeparture"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltswire/coltspb"
)

func encodeDeparture(d coltsdeparture.Departure) *coltspb.Departure {
	return &coltspb.Departure{
		Upstream: string(d.Process.ID), StartedAt: EncodeTime(d.Process.StartedAt), State: uint32(d.State), At: EncodeTime(d.At),
	}
}

func decodeDeparture(m *coltspb.Departure) coltsdeparture.Departure {
	return coltsdeparture.Departure{
		Process: coltsregistry.Process{ID: coltsidentity.Upstream(m.GetUpstream()), StartedAt: DecodeTime(m.GetStartedAt())},
		State:   coltsregistry.State(m.GetState()), At: DecodeTime(m.GetAt()),
	}
}

// EncodeDepartures returns the protobuf message for the departures, or nil if there was none yet.
func EncodeDepartures(s coltsdeparture.State) *coltspb.Departures {
	if s.Revision == 0 {
		return nil
	}
	return &coltspb.Departures{Revision: s.Revision, Departures: convert(s.Departures, encodeDeparture)}
}

// DecodeDepartures is the inverse of EncodeDepartures.
func DecodeDepartures(m *coltspb.Departures) coltsdeparture.State {
	return coltsdeparture.State{Revision: m.GetRevision(), Departures: convert(m.GetDepartures(), decodeDeparture)}
}
