package coltswire

// The aggregates' error types are sent with their fields and decoded to the same
// Go types, so that callers can use errors.As no matter which process returned
// the error.

import (
	"github.com/pkg/errors"

	"coltsfootstall/coltsbooking"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsevacuation"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltswire/coltspb"
)

// Values of Refusal.kind, one for each error type. Any other error is sent as
// refusalOther with its text only.
const (
	refusalStale         = "stale"
	refusalDenied        = "denied"
	refusalUnknownChange = "unknown-change"
	refusalReusedChange  = "reused-change"
	refusalInvalid       = "invalid"
	refusalKeyReused     = "key-reused"
	refusalNotHolder     = "not-holder"
	refusalEvacuation    = "evacuation"
	refusalSuperseded    = "superseded"
	refusalOther         = "other"
)

// EncodeRefusal returns the protobuf message for an aggregate's error, or nil if err
// is nil.
func EncodeRefusal(err error) *coltspb.Refusal {
	if err == nil {
		return nil
	}
	if m := encodeDocumentRefusal(err); m != nil {
		return m
	}
	if m := encodeBookingRefusal(err); m != nil {
		return m
	}
	var evacuation *coltsevacuation.InvalidError
	if errors.As(err, &evacuation) {
		return &coltspb.Refusal{Kind: refusalEvacuation, Key: string(evacuation.DataCentre), Reason: evacuation.Reason}
	}
	var superseded *coltsevacuation.SupersededError
	if errors.As(err, &superseded) {
		return &coltspb.Refusal{Kind: refusalSuperseded, Key: string(superseded.DataCentre), Revision: uint64(superseded.Newest)}
	}
	return &coltspb.Refusal{Kind: refusalOther, Reason: err.Error()}
}

// encodeDocumentRefusal returns the protobuf message for an error of coltsdocument, or
// nil if err has another type.
func encodeDocumentRefusal(err error) *coltspb.Refusal {
	var stale *coltsdocument.StaleError
	if errors.As(err, &stale) {
		return &coltspb.Refusal{
			Kind:     refusalStale,
			Change:   string(stale.Change),
			Section:  string(stale.Section),
			Base:     uint64(stale.Base),
			Winner:   string(stale.Winner),
			Revision: uint64(stale.Revision),
		}
	}
	var denied *coltsdocument.DeniedError
	if errors.As(err, &denied) {
		return &coltspb.Refusal{
			Kind:     refusalDenied,
			Change:   string(denied.Change),
			Operator: string(denied.Operator),
			Reason:   denied.Reason,
		}
	}
	var unknown *coltsdocument.UnknownChangeError
	if errors.As(err, &unknown) {
		return &coltspb.Refusal{Kind: refusalUnknownChange, Change: string(unknown.Change)}
	}
	var reused *coltsdocument.ReusedChangeError
	if errors.As(err, &reused) {
		return &coltspb.Refusal{Kind: refusalReusedChange, Change: string(reused.Change)}
	}
	var invalid *coltsdocument.InvalidError
	if errors.As(err, &invalid) {
		return &coltspb.Refusal{Kind: refusalInvalid, Problems: convert(invalid.Problems, encodeProblem)}
	}
	return nil
}

// encodeBookingRefusal returns the protobuf message for an error of coltsbooking, or
// nil if err has another type.
func encodeBookingRefusal(err error) *coltspb.Refusal {
	var reused *coltsbooking.KeyReusedError
	if errors.As(err, &reused) {
		return &coltspb.Refusal{
			Kind:         refusalKeyReused,
			Organisation: string(reused.Key.Organisation),
			Key:          string(reused.Key.Key),
		}
	}
	var notHolder *coltsbooking.NotHolderError
	if errors.As(err, &notHolder) {
		return &coltspb.Refusal{
			Kind:         refusalNotHolder,
			Organisation: string(notHolder.Key.Organisation),
			Key:          string(notHolder.Key.Key),
			Grant:        uint64(notHolder.Grant),
		}
	}
	return nil
}

// DecodeRefusal returns the error held in a protobuf message, or nil if m is nil.
func DecodeRefusal(m *coltspb.Refusal) error {
	if m == nil {
		return nil
	}
	switch m.GetKind() {
	case refusalStale:
		return &coltsdocument.StaleError{
			Change:   coltsidentity.Change(m.GetChange()),
			Section:  coltsdocument.SectionName(m.GetSection()),
			Base:     coltsdocument.Revision(m.GetBase()),
			Winner:   coltsidentity.Change(m.GetWinner()),
			Revision: coltsdocument.Revision(m.GetRevision()),
		}
	case refusalDenied:
		return &coltsdocument.DeniedError{
			Change:   coltsidentity.Change(m.GetChange()),
			Operator: coltsidentity.Operator(m.GetOperator()),
			Reason:   m.GetReason(),
		}
	case refusalUnknownChange:
		return &coltsdocument.UnknownChangeError{Change: coltsidentity.Change(m.GetChange())}
	case refusalReusedChange:
		return &coltsdocument.ReusedChangeError{Change: coltsidentity.Change(m.GetChange())}
	case refusalInvalid:
		return &coltsdocument.InvalidError{Problems: convert(m.GetProblems(), decodeProblem)}
	case refusalKeyReused:
		return &coltsbooking.KeyReusedError{Key: decodeKey(m.GetOrganisation(), m.GetKey())}
	case refusalNotHolder:
		return &coltsbooking.NotHolderError{
			Key:   decodeKey(m.GetOrganisation(), m.GetKey()),
			Grant: coltsbooking.GrantNumber(m.GetGrant()),
		}
	case refusalEvacuation:
		return &coltsevacuation.InvalidError{DataCentre: coltsidentity.DataCentre(m.GetKey()), Reason: m.GetReason()}
	case refusalSuperseded:
		return &coltsevacuation.SupersededError{
			DataCentre: coltsidentity.DataCentre(m.GetKey()), Newest: coltsevacuation.OrderNumber(m.GetRevision()),
		}
	}
	return errors.New(m.GetReason())
}

func encodeProblem(p coltsdocument.Problem) *coltspb.Problem {
	return &coltspb.Problem{Section: string(p.Section), Path: p.Path, Reason: p.Reason, Line: int32(p.Line)}
}

func decodeProblem(m *coltspb.Problem) coltsdocument.Problem {
	return coltsdocument.Problem{
		Section: coltsdocument.SectionName(m.GetSection()),
		Path:    m.GetPath(),
		Reason:  m.GetReason(),
		Line:    int(m.GetLine()),
	}
}
