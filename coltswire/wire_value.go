// Package coltswire converts between the aggregates' types and the protobuf
// messages that the system's own processes exchange and store.
package coltswire

// Messages hold times as integers and addresses as strings. The decoders return
// them as time.Time and netip.AddrPort.

import (
	"net/netip"
	"time"

	"coltsfootstall/coltsidentity"
)

// EncodeTime returns t in nanoseconds since the Unix epoch, or 0 if t is the zero
// time.
func EncodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// DecodeTime is the inverse of EncodeTime.
func DecodeTime(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// encodeAddr returns the string form of a, or "" if a is the zero address.
func encodeAddr(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// decodeAddr is the inverse of encodeAddr. It returns the zero address if s can't be
// parsed.
func decodeAddr(s string) netip.AddrPort {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}

func decodeDigest(b []byte) coltsidentity.Digest {
	var d coltsidentity.Digest
	copy(d[:], b)
	return d
}

func decodeRequest(b []byte) coltsidentity.Request {
	var r coltsidentity.Request
	copy(r[:], b)
	return r
}

// convert returns the results of calling fn for each element of list.
func convert[A, B any](list []A, fn func(A) B) []B {
	converted := make([]B, 0, len(list))
	for _, a := range list {
		converted = append(converted, fn(a))
	}
	return converted
}
