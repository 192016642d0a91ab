package coltsdocument

// The organisation of every request is found by the digest of its key. With a
// thousand organisations, a linear search would cost more than the rest of the
// admission check, so each accepted document is indexed once.

import "coltsfootstall/coltsidentity"

// Index is a document with its organisations indexed by key. It is not modified
// after NewIndex, so it is safe for concurrent use.
type Index struct {
	Document Document
	// byKey maps a key digest to the organisation that owns the key.
	byKey map[coltsidentity.Digest]Organisation
}

// NewIndex returns an index of d.
func NewIndex(d Document) *Index {
	x := &Index{Document: d, byKey: map[coltsidentity.Digest]Organisation{}}
	for _, o := range d.Sections.Organisations {
		for _, key := range o.KeyDigests {
			x.byKey[key] = o
		}
	}
	return x
}

// Organisation returns the organisation that owns the key with the given digest.
func (x *Index) Organisation(key coltsidentity.Digest) (Organisation, bool) {
	o, known := x.byKey[key]
	return o, known
}
