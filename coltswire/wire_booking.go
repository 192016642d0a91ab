package coltswire

// Bookings are sent between entries and control instances and stored in the log
// and in snapshots, always as the same protobuf messages.

import (
	"coltsfootstall/coltsbooking"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltswire/coltspb"
)

// EncodeGrantRequest returns the protobuf message for a request for a grant.
func EncodeGrantRequest(r coltsbooking.Request) *coltspb.GrantRequest {
	return &coltspb.GrantRequest{
		Organisation: string(r.Key.Organisation),
		Key:          string(r.Key.Key),
		Service:      string(r.Service),
		Digest:       r.Digest[:],
		Holder:       string(r.Holder),
		Caller:       r.RequestID[:],
	}
}

// DecodeGrantRequest returns the request for a grant held in a protobuf message.
func DecodeGrantRequest(m *coltspb.GrantRequest) coltsbooking.Request {
	return coltsbooking.Request{
		Key:       decodeKey(m.GetOrganisation(), m.GetKey()),
		Service:   coltsidentity.Service(m.GetService()),
		Digest:    decodeDigest(m.GetDigest()),
		Holder:    coltsidentity.Instance(m.GetHolder()),
		RequestID: decodeRequest(m.GetCaller()),
	}
}

func decodeKey(organisation, key string) coltsbooking.Key {
	return coltsbooking.Key{
		Organisation: coltsidentity.Organisation(organisation),
		Key:          coltsidentity.IdempotencyKey(key),
	}
}

func encodeAnswer(a coltsbooking.Answer) *coltspb.Answer {
	return &coltspb.Answer{Status: int32(a.Status), ContentType: a.ContentType, Body: a.Body}
}

func decodeAnswer(m *coltspb.Answer) coltsbooking.Answer {
	return coltsbooking.Answer{Status: int(m.GetStatus()), ContentType: m.GetContentType(), Body: m.GetBody()}
}

// EncodeSettlement returns the protobuf message for a settlement.
func EncodeSettlement(s coltsbooking.Settlement) *coltspb.Settlement {
	return &coltspb.Settlement{
		Organisation: string(s.Key.Organisation),
		Key:          string(s.Key.Key),
		Grant:        uint64(s.Grant),
		State:        string(s.State),
		Answer:       encodeAnswer(s.Answer),
		ChargeMicros: s.ChargeMicros,
	}
}

// DecodeSettlement returns the settlement held in a protobuf message.
func DecodeSettlement(m *coltspb.Settlement) coltsbooking.Settlement {
	return coltsbooking.Settlement{
		Key:          decodeKey(m.GetOrganisation(), m.GetKey()),
		Grant:        coltsbooking.GrantNumber(m.GetGrant()),
		State:        coltsbooking.State(m.GetState()),
		Answer:       decodeAnswer(m.GetAnswer()),
		ChargeMicros: m.GetChargeMicros(),
	}
}

// EncodeBooking returns the protobuf message for a booking record.
func EncodeBooking(r coltsbooking.Record) *coltspb.BookingRecord {
	return &coltspb.BookingRecord{
		Organisation: string(r.Key.Organisation),
		Key:          string(r.Key.Key),
		State:        string(r.State),
		Grant:        uint64(r.Grant),
		Service:      string(r.Service),
		Digest:       r.Digest[:],
		Holder:       string(r.Holder),
		Caller:       r.RequestID[:],
		SettleBy:     EncodeTime(r.SettleBy),
		RetainUntil:  EncodeTime(r.RetainUntil),
		Answer:       encodeAnswer(r.Answer),
		ChargeMicros: r.ChargeMicros,
	}
}

// DecodeBooking returns the booking record held in a protobuf message.
func DecodeBooking(m *coltspb.BookingRecord) coltsbooking.Record {
	return coltsbooking.Record{
		Key:          decodeKey(m.GetOrganisation(), m.GetKey()),
		State:        coltsbooking.State(m.GetState()),
		Grant:        coltsbooking.GrantNumber(m.GetGrant()),
		Service:      coltsidentity.Service(m.GetService()),
		Digest:       decodeDigest(m.GetDigest()),
		Holder:       coltsidentity.Instance(m.GetHolder()),
		RequestID:    decodeRequest(m.GetCaller()),
		SettleBy:     DecodeTime(m.GetSettleBy()),
		RetainUntil:  DecodeTime(m.GetRetainUntil()),
		Answer:       decodeAnswer(m.GetAnswer()),
		ChargeMicros: m.GetChargeMicros(),
	}
}
