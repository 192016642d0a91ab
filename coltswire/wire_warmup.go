package coltswire

// This file has the permits for requests to cold upstreams. Their validity counts from when the gateway asked,
// by its own clock, so that no delay of a reply extends it.

import (
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltswarmup"
	"coltsfootstall/coltswire/coltspb"
)

// EncodeColdPermits returns the protobuf messages for permits of one request for each of some processes.
func EncodeColdPermits(processes []coltsregistry.Process) []*coltspb.ColdPermit {
	return convert(processes, func(p coltsregistry.Process) *coltspb.ColdPermit {
		return &coltspb.ColdPermit{
			Upstream: string(p.ID), Born: EncodeTime(p.StartedAt), Requests: 1, ValidNanos: int64(coltswarmup.Validity),
		}
	})
}

// DecodeColdPermits returns the permits held in protobuf messages, for which this instance asked at askedAt.
func DecodeColdPermits(messages []*coltspb.ColdPermit, askedAt time.Time) []coltswarmup.Permit {
	return convert(messages, func(m *coltspb.ColdPermit) coltswarmup.Permit {
		return coltswarmup.Permit{
			Process:  coltsregistry.Process{ID: coltsidentity.Upstream(m.GetUpstream()), StartedAt: DecodeTime(m.GetBorn())},
			Requests: int(m.GetRequests()), Until: askedAt.Add(time.Duration(m.GetValidNanos())),
		}
	})
}
