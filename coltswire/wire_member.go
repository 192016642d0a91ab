package coltswire

// This file has the messages for soft state that operators can query: members and
// objective counts.

import (
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsmembership"
	"coltsfootstall/coltsobjective"
	"coltsfootstall/coltswire/coltspb"
)

// EncodeMember returns the protobuf message for a member.
func EncodeMember(m coltsmembership.Member) *coltspb.Member {
	return &coltspb.Member{
		Id:           string(m.ID),
		Role:         string(m.Role),
		DataCentre:   string(m.DataCentre),
		PeerAddr:     encodeAddr(m.PeerAddr),
		OperatorAddr: encodeAddr(m.OperatorAddr),
		Started:      EncodeTime(m.Started),
		Revision:     uint64(m.Revision),
		Ready:        m.Ready,
	}
}

// DecodeMember returns the member held in a protobuf message.
func DecodeMember(m *coltspb.Member) coltsmembership.Member {
	return coltsmembership.Member{
		ID:           coltsidentity.Instance(m.GetId()),
		Role:         coltsmembership.Role(m.GetRole()),
		DataCentre:   coltsidentity.DataCentre(m.GetDataCentre()),
		PeerAddr:     decodeAddr(m.GetPeerAddr()),
		OperatorAddr: decodeAddr(m.GetOperatorAddr()),
		Started:      DecodeTime(m.GetStarted()),
		Revision:     coltsdocument.Revision(m.GetRevision()),
		Ready:        m.GetReady(),
	}
}

// EncodeMembers returns the protobuf messages for members.
func EncodeMembers(members []coltsmembership.Member) []*coltspb.Member {
	return convert(members, EncodeMember)
}

// DecodeMembers returns the members held in protobuf messages.
func DecodeMembers(members []*coltspb.Member) []coltsmembership.Member {
	return convert(members, DecodeMember)
}

// EncodeBurnRow returns the protobuf message for a row of burn-rate counts.
func EncodeBurnRow(r coltsobjective.Row) *coltspb.BurnRow {
	return &coltspb.BurnRow{
		Objective:    r.Series.Objective,
		Organisation: string(r.Series.Organisation),
		Model:        string(r.Series.Model),
		Counts: convert(r.Counts[:], func(c coltsobjective.Counts) *coltspb.Counts {
			return &coltspb.Counts{Good: c.Good, Bad: c.Bad}
		}),
	}
}

// DecodeBurnRow returns the row of burn-rate counts held in a protobuf message.
// Counts beyond the length of Row.Counts are ignored.
func DecodeBurnRow(m *coltspb.BurnRow) coltsobjective.Row {
	r := coltsobjective.Row{Series: coltsobjective.Series{
		Objective:    m.GetObjective(),
		Organisation: coltsidentity.Organisation(m.GetOrganisation()),
		Model:        coltsidentity.Model(m.GetModel()),
	}}
	for i, c := range m.GetCounts() {
		if i < len(r.Counts) {
			r.Counts[i] = coltsobjective.Counts{Good: c.GetGood(), Bad: c.GetBad()}
		}
	}
	return r
}
