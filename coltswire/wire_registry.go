package coltswire

// Route tables, weight versions and the registry of upstreams, as control and the
// entries tell each other of them.

import (
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsweights"
	"coltsfootstall/coltswire/coltspb"
)

// EncodeRoutesText returns a route table's message.
func EncodeRoutesText(t coltsroute.EncodedTable) *coltspb.RoutesText {
	return &coltspb.RoutesText{Version: uint64(t.Version), Source: t.Source}
}

// DecodeRoutesText reads a route table's message.
func DecodeRoutesText(m *coltspb.RoutesText) coltsroute.EncodedTable {
	return coltsroute.EncodedTable{Version: coltsroute.Version(m.GetVersion()), Source: m.GetSource()}
}

// EncodeNamedWeights returns a named version's message.
func EncodeNamedWeights(n coltsweights.NamedVersion) *coltspb.NamedWeights {
	return &coltspb.NamedWeights{Model: string(n.Model), Number: uint64(n.Number), At: EncodeTime(n.NamedAt)}
}

// DecodeNamedWeights reads a named version's message.
func DecodeNamedWeights(m *coltspb.NamedWeights) coltsweights.NamedVersion {
	return coltsweights.NamedVersion{Weights: decodeWeights(m), NamedAt: DecodeTime(m.GetAt())}
}

func encodeWeights(w coltsweights.Weights) *coltspb.NamedWeights {
	return &coltspb.NamedWeights{Model: string(w.Model), Number: uint64(w.Number)}
}

func decodeWeights(m *coltspb.NamedWeights) coltsweights.Weights {
	return coltsweights.Weights{
		Model:  coltsidentity.Model(m.GetModel()),
		Number: coltsweights.Number(m.GetNumber()),
	}
}

// EncodeReportedUpstream returns a report's message.
func EncodeReportedUpstream(u coltsregistry.Upstream) *coltspb.ReportedUpstream {
	return &coltspb.ReportedUpstream{
		Id:         string(u.ID),
		Service:    string(u.Service),
		Addr:       encodeAddr(u.Addr),
		DataCentre: string(u.DataCentre),
		Slots:      int32(u.Slots),
		State:      int32(u.State),
		Weights:    convert(u.Weights, encodeWeights),
		Born:       EncodeTime(u.StartedAt),
		Sequence:   u.Sequence,
	}
}

// DecodeReportedUpstream reads a report's message.
func DecodeReportedUpstream(m *coltspb.ReportedUpstream) coltsregistry.Upstream {
	return coltsregistry.Upstream{
		ID:         coltsidentity.Upstream(m.GetId()),
		Service:    coltsidentity.Service(m.GetService()),
		Addr:       decodeAddr(m.GetAddr()),
		DataCentre: coltsidentity.DataCentre(m.GetDataCentre()),
		Slots:      int(m.GetSlots()),
		State:      coltsregistry.State(m.GetState()),
		Weights:    convert(m.GetWeights(), decodeWeights),
		StartedAt:       DecodeTime(m.GetBorn()),
		Sequence:   m.GetSequence(),
	}
}

// EncodeRegistryEntries returns the entries' messages.
func EncodeRegistryEntries(entries []coltsregistry.Entry) []*coltspb.RegistryEntry {
	return convert(entries, func(e coltsregistry.Entry) *coltspb.RegistryEntry {
		return &coltspb.RegistryEntry{Upstream: EncodeReportedUpstream(e.Upstream), Silent: e.Silent, Loading: e.Loading}
	})
}

// DecodeRegistryEntries reads the entries' messages.
func DecodeRegistryEntries(messages []*coltspb.RegistryEntry) []coltsregistry.Entry {
	return convert(messages, func(m *coltspb.RegistryEntry) coltsregistry.Entry {
		return coltsregistry.Entry{Upstream: DecodeReportedUpstream(m.GetUpstream()), Silent: m.GetSilent(), Loading: m.GetLoading()}
	})
}

// EncodeNamed returns the messages of the named versions.
func EncodeNamed(all []coltsweights.NamedVersion) []*coltspb.NamedWeights {
	return convert(all, EncodeNamedWeights)
}

// DecodeNamed reads the messages of the named versions.
func DecodeNamed(messages []*coltspb.NamedWeights) []coltsweights.NamedVersion {
	return convert(messages, DecodeNamedWeights)
}
