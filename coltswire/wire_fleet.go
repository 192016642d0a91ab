package coltswire

// This file has the messages for upstream announcements and cache events, which the
// entry that receives them forwards to the other entries.

import (
	"coltsfootstall/coltscache"
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltswire/coltspb"
)

// EncodeAnnouncement returns the protobuf message for an announcement.
func EncodeAnnouncement(a coltsfleet.Announcement) *coltspb.Announcement {
	return &coltspb.Announcement{
		Id:         string(a.ID),
		Addr:       encodeAddr(a.Addr),
		Kind:       string(a.Kind),
		DataCentre: string(a.DataCentre),
		Service:    string(a.Service),
		Serving: convert(a.Serving, func(s coltsfleet.ModelVersion) *coltspb.Serving {
			return &coltspb.Serving{Model: string(s.Model), Version: string(s.Version)}
		}),
		ChecksFencing:    a.ChecksFencing,
		Incarnation:      EncodeTime(a.Incarnation),
		Number:           a.Number,
		Leaving:          a.Leaving,
		Running:          int32(a.Load.Running),
		Waiting:          int32(a.Load.Waiting),
		QueuedTokens:     a.Load.QueuedTokens,
		PrefillPerSecond: a.Load.PrefillPerSecond,
	}
}

// DecodeAnnouncement returns the announcement held in a protobuf message.
func DecodeAnnouncement(m *coltspb.Announcement) coltsfleet.Announcement {
	return coltsfleet.Announcement{
		ID:         coltsidentity.Upstream(m.GetId()),
		Addr:       decodeAddr(m.GetAddr()),
		Kind:       coltsdocument.Kind(m.GetKind()),
		DataCentre: coltsidentity.DataCentre(m.GetDataCentre()),
		Service:    coltsidentity.Service(m.GetService()),
		Serving: convert(m.GetServing(), func(s *coltspb.Serving) coltsfleet.ModelVersion {
			return coltsfleet.ModelVersion{
				Model:   coltsidentity.Model(s.GetModel()),
				Version: coltsidentity.Version(s.GetVersion()),
			}
		}),
		ChecksFencing: m.GetChecksFencing(),
		Incarnation:   DecodeTime(m.GetIncarnation()),
		Number:        m.GetNumber(),
		Leaving:       m.GetLeaving(),
		Load: coltsfleet.Load{
			Running:          int(m.GetRunning()),
			Waiting:          int(m.GetWaiting()),
			QueuedTokens:     m.GetQueuedTokens(),
			PrefillPerSecond: m.GetPrefillPerSecond(),
		},
	}
}

// EncodeCacheEvent returns the protobuf message for a cache event.
func EncodeCacheEvent(e coltscodec.CacheEvent) *coltspb.CacheEvent {
	return &coltspb.CacheEvent{
		Upstream: string(e.Upstream),
		Added:    encodePieces(e.Added),
		Removed:  encodePieces(e.Removed),
	}
}

// DecodeCacheEvent returns the cache event held in a protobuf message.
func DecodeCacheEvent(m *coltspb.CacheEvent) coltscodec.CacheEvent {
	return coltscodec.CacheEvent{
		Upstream: coltsidentity.Upstream(m.GetUpstream()),
		Added:    decodePieces(m.GetAdded()),
		Removed:  decodePieces(m.GetRemoved()),
	}
}

// encodePieces concatenates the fixed-size names of pieces.
func encodePieces(pieces []coltscache.Piece) []byte {
	b := make([]byte, 0, len(pieces)*len(coltscache.Piece{}))
	for _, p := range pieces {
		b = append(b, p[:]...)
	}
	return b
}

// decodePieces splits the output of encodePieces; an incomplete last name is ignored.
func decodePieces(b []byte) []coltscache.Piece {
	size := len(coltscache.Piece{})
	pieces := make([]coltscache.Piece, 0, len(b)/size)
	for len(b) >= size {
		pieces = append(pieces, coltscache.Piece(b[:size]))
		b = b[size:]
	}
	return pieces
}
