// Package coltsshard maps identifiers to shards.
//
// Every aggregate with many concurrent users has a fixed array of shards, each with
// its own lock. All of them use the hash in this package to choose the shard.
package coltsshard

// The hash is xxHash with a fixed seed, because it distributes short identifiers
// evenly and has the same result in every process. Processes can therefore also use
// it to agree on the owner of an identifier without communication.

import "github.com/cespare/xxhash/v2"

// Count is the number of shards of an aggregate. It is a power of two well above
// the number of cores, so that two frequently used identifiers rarely share a lock.
const Count = 32

// Of returns the index of the shard of an identifier, from 0 to Count-1.
func Of[T ~string](id T) int {
	return int(Hash(id) % Count)
}

// Hash returns the hash of an identifier.
func Hash[T ~string](id T) uint64 {
	return xxhash.Sum64String(string(id))
}

// RendezvousScore returns the score of a candidate for an identifier in rendezvous hashing
// (highest random weight): the candidate with the highest score owns the identifier.
// When a candidate is removed, only the identifiers that it owned move.
func RendezvousScore[T ~string](identity []byte, candidate T) uint64 {
	var d xxhash.Digest
	d.Reset()
	// The write methods of xxhash.Digest are documented never to return an error.
	_, _ = d.Write(identity)
	_, _ = d.WriteString(string(candidate))
	return d.Sum64()
}
