// Package coltswire translates between the aggregates' types and the messages
// that the system's own processes exchange.
package coltswire

// Times and addresses are numbers and texts only inside messages; whatever
// comes out of this package is a time.Time or a netip.AddrPort again.

import (
	"net/netip"
	"time"

	"coltsfootstall/coltsidentity"
)

// EncodeTime returns nanoseconds since the Unix epoch, 0 for the zero time.
func EncodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// DecodeTime reads what EncodeTime returns.
func DecodeTime(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// encodeAddr returns the text of an address, empty for the zero one.
func encodeAddr(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// decodeAddr reads what encodeAddr returns; the zero address for a bad text.
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

// convert turns each element of a list.
func convert[A, B any](list []A, fn func(A) B) []B {
	converted := make([]B, 0, len(list))
	for _, a := range list {
		converted = append(converted, fn(a))
	}
	return converted
}
