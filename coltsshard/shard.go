// Package coltsshard says which shard an identity belongs to.
//
// Every aggregate that many goroutines touch keeps a fixed array of shards,
// each with a lock of its own; this is the one hash that chooses among them.
package coltsshard

// The hash is xxHash with a fixed seed, because it spreads short identities
// well and gives the same answer in every process, so that it can also be used
// to agree on an owner without a message.

import "github.com/cespare/xxhash/v2"

// Count is the number of shards of an aggregate. It is a power of two well
// above the number of cores, so that two busy identities seldom share a lock.
const Count = 32

// Of returns the shard of an identity, from 0 to Count-1.
func Of[T ~string](id T) int {
	return int(Hash(id) % Count)
}

// Hash returns the hash of an identity.
func Hash[T ~string](id T) uint64 {
	return xxhash.Sum64String(string(id))
}

// Rank returns the weight of a candidate for an identity in rendezvous hashing:
// the candidate with the highest rank is the identity's home, and a candidate
// that leaves moves only the identities that it was home to.
func Rank[T ~string](identity []byte, candidate T) uint64 {
	var d xxhash.Digest
	d.Reset()
	// A Digest's writes never return an error; see its documentation.
	_, _ = d.Write(identity)
	_, _ = d.WriteString(string(candidate))
	return d.Sum64()
}
