package coltswire

// This file has the messages in which control instances exchange route tables, weight
// versions and the registry of upstreams with the other instances.

import (
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsweights"
	"coltsfootstall/coltswire/coltspb"
)

// EncodeRouteTable returns the protobuf message for a route table.
func EncodeRouteTable(t coltsroute.EncodedTable) *coltspb.RoutesText {
	m := &coltspb.RoutesText{Version: uint64(t.Version), Source: t.Source, CacheGeneration: uint64(t.CacheGeneration)}
	if t.CacheMembers != nil {
		m.CacheMembers = &coltspb.CacheMembers{
			Sharing: encodeOrganisations(t.CacheMembers.Sharing), Isolated: encodeOrganisations(t.CacheMembers.Isolated),
		}
	}
	return m
}

// DecodeRouteTable returns the route table held in a protobuf message.
func DecodeRouteTable(m *coltspb.RoutesText) coltsroute.EncodedTable {
	t := coltsroute.EncodedTable{
		Version: coltsroute.Version(m.GetVersion()), Source: m.GetSource(),
		CacheGeneration: coltsroute.CacheGeneration(m.GetCacheGeneration()),
	}
	if members := m.GetCacheMembers(); members != nil {
		t.CacheMembers = &coltsroute.CacheMembers{
			Sharing: decodeOrganisations(members.GetSharing()), Isolated: decodeOrganisations(members.GetIsolated()),
		}
	}
	return t
}

func encodeCacheSharing(s coltsroute.CacheSharing) *coltspb.CacheSharing {
	return &coltspb.CacheSharing{
		Generation: uint64(s.Generation), Sharers: encodeOrganisations(s.Sharers), SharersUnknown: s.SharersUnknown,
	}
}

// decodeCacheSharing is the inverse of encodeCacheSharing. A snapshot of an earlier release has no message;
// who shared parts by its route table, if it has one, is not known.
func decodeCacheSharing(m *coltspb.CacheSharing, hasRoutes bool) coltsroute.CacheSharing {
	return coltsroute.CacheSharing{
		Generation:     coltsroute.CacheGeneration(m.GetGeneration()),
		Sharers:        decodeOrganisations(m.GetSharers()),
		SharersUnknown: m.GetSharersUnknown() || m == nil && hasRoutes,
	}
}

func encodeOrganisations(names []coltsidentity.Organisation) []string {
	return convert(names, func(n coltsidentity.Organisation) string { return string(n) })
}

func decodeOrganisations(names []string) []coltsidentity.Organisation {
	return convert(names, func(n string) coltsidentity.Organisation { return coltsidentity.Organisation(n) })
}

// EncodeNamedVersion returns the protobuf message for a weight version that an
// operator has named.
func EncodeNamedVersion(n coltsweights.NamedVersion) *coltspb.NamedWeights {
	return &coltspb.NamedWeights{Model: string(n.Model), Number: uint64(n.Number), At: EncodeTime(n.NamedAt)}
}

// DecodeNamedVersion returns the named weight version held in a protobuf message.
func DecodeNamedVersion(m *coltspb.NamedWeights) coltsweights.NamedVersion {
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

// EncodeProcesses returns the protobuf messages for processes of upstreams.
func EncodeProcesses(processes []coltsregistry.Process) []*coltspb.UpstreamProcess {
	return convert(processes, func(p coltsregistry.Process) *coltspb.UpstreamProcess {
		return &coltspb.UpstreamProcess{Upstream: string(p.ID), Born: EncodeTime(p.StartedAt)}
	})
}

// DecodeProcesses returns the processes of upstreams held in protobuf messages.
func DecodeProcesses(messages []*coltspb.UpstreamProcess) []coltsregistry.Process {
	return convert(messages, func(m *coltspb.UpstreamProcess) coltsregistry.Process {
		return coltsregistry.Process{ID: coltsidentity.Upstream(m.GetUpstream()), StartedAt: DecodeTime(m.GetBorn())}
	})
}

// EncodeReportedUpstream returns the protobuf message, sent at now, for an upstream's report about
// itself.
func EncodeReportedUpstream(u coltsregistry.Upstream, now time.Time) *coltspb.ReportedUpstream {
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
		ColdNanos:  encodeColdUntil(u.ColdUntil, now),
	}
}

// encodeColdUntil returns for how much longer than now an upstream is cold. It is negative if the
// upstream has said that it is not, and 0 if it has said nothing.
func encodeColdUntil(until, now time.Time) int64 {
	if until.IsZero() {
		return 0
	}
	if left := until.Sub(now); left != 0 {
		return int64(left)
	}
	return -1
}

// decodeColdUntil is the inverse of encodeColdUntil.
func decodeColdUntil(n int64, now time.Time) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(n))
}

// DecodeReportedUpstream returns the upstream's report held in a protobuf message that was received
// at now.
func DecodeReportedUpstream(m *coltspb.ReportedUpstream, now time.Time) coltsregistry.Upstream {
	return coltsregistry.Upstream{
		ID:         coltsidentity.Upstream(m.GetId()),
		Service:    coltsidentity.Service(m.GetService()),
		Addr:       decodeAddr(m.GetAddr()),
		DataCentre: coltsidentity.DataCentre(m.GetDataCentre()),
		Slots:      int(m.GetSlots()),
		State:      coltsregistry.State(m.GetState()),
		Weights:    convert(m.GetWeights(), decodeWeights),
		StartedAt:  DecodeTime(m.GetBorn()),
		Sequence:   m.GetSequence(),
		ColdUntil:  decodeColdUntil(m.GetColdNanos(), now),
	}
}

// EncodeRegistryEntries returns the protobuf messages, sent at now, for registry entries. They don't tell
// that an upstream is warm from that it has not said whether it is cold.
func EncodeRegistryEntries(entries []coltsregistry.Entry, now time.Time) []*coltspb.RegistryEntry {
	return convert(entries, func(e coltsregistry.Entry) *coltspb.RegistryEntry {
		upstream := EncodeReportedUpstream(e.Upstream, now)
		upstream.ColdNanos = max(0, upstream.ColdNanos)
		return &coltspb.RegistryEntry{Upstream: upstream, Silent: e.Silent, Loading: e.Loading}
	})
}

// DecodeRegistryEntries returns the registry entries held in protobuf messages that were received at
// now.
func DecodeRegistryEntries(messages []*coltspb.RegistryEntry, now time.Time) []coltsregistry.Entry {
	return convert(messages, func(m *coltspb.RegistryEntry) coltsregistry.Entry {
		return coltsregistry.Entry{Upstream: DecodeReportedUpstream(m.GetUpstream(), now), Silent: m.GetSilent(), Loading: m.GetLoading()}
	})
}

// EncodeNamedVersions returns the protobuf messages for named weight versions.
func EncodeNamedVersions(versions []coltsweights.NamedVersion) []*coltspb.NamedWeights {
	return convert(versions, EncodeNamedVersion)
}

// DecodeNamedVersions returns the named weight versions held in protobuf messages.
func DecodeNamedVersions(messages []*coltspb.NamedWeights) []coltsweights.NamedVersion {
	return convert(messages, DecodeNamedVersion)
}
