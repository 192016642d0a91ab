package coltswire

// This file has the messages about requests that ran on upstreams that crashed. Times are sent as ages and as the
// time left, because the clocks of two instances may differ.

import (
	"time"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltswire/coltspb"
)

// EncodeSuspect returns the protobuf message for a suspect.
func EncodeSuspect(s coltsattempt.Suspect, now time.Time) *coltspb.Suspect {
	return &coltspb.Suspect{
		Fingerprint: s.Fingerprint[:],
		Upstreams:   convert(s.Upstreams, func(u coltsidentity.Upstream) string { return string(u) }),
		ForgetAt:    EncodeTime(s.ExpiresAt),
		Crashes: convert(s.Crashes, func(c coltsattempt.Crash) *coltspb.SuspectCrash {
			return &coltspb.SuspectCrash{
				Upstream: string(c.Upstream), SentAgeNanos: encodeAge(c.SentAt, now), AgeNanos: encodeAge(c.At, now),
				RepeatedCrash: c.Repeated,
			}
		}),
		SucceededAgeNanos: encodeAge(s.SucceededAt, now),
		TrialLeftNanos:    max(0, int64(s.TrialUntil.Sub(now))),
		FailedTrials:      int32(s.FailedTrials),
	}
}

// DecodeSuspect returns the suspect held in a protobuf message.
func DecodeSuspect(m *coltspb.Suspect, now time.Time) coltsattempt.Suspect {
	s := coltsattempt.Suspect{
		Fingerprint: decodeDigest(m.GetFingerprint()),
		Upstreams:   convert(m.GetUpstreams(), func(s string) coltsidentity.Upstream { return coltsidentity.Upstream(s) }),
		ExpiresAt:   DecodeTime(m.GetForgetAt()),
		Crashes: convert(m.GetCrashes(), func(c *coltspb.SuspectCrash) coltsattempt.Crash {
			return coltsattempt.Crash{
				Upstream: coltsidentity.Upstream(c.GetUpstream()),
				SentAt:   decodeAge(c.GetSentAgeNanos(), now), At: decodeAge(c.GetAgeNanos(), now),
				Repeated: c.GetRepeatedCrash(),
			}
		}),
		SucceededAt:  decodeAge(m.GetSucceededAgeNanos(), now),
		FailedTrials: int(m.GetFailedTrials()),
	}
	if left := m.GetTrialLeftNanos(); left > 0 {
		s.TrialUntil = now.Add(time.Duration(left))
	}
	return s
}

// EncodeSuspects returns the protobuf messages for suspects.
func EncodeSuspects(suspects []coltsattempt.Suspect, now time.Time) []*coltspb.Suspect {
	return convert(suspects, func(s coltsattempt.Suspect) *coltspb.Suspect { return EncodeSuspect(s, now) })
}
