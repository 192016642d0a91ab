package coltsdocument

// Each request is looked up by its key's digest. With a thousand organisations a
// walk over all of them would cost more than the rest of the admission, so a
// document is indexed once, when it comes into force.

import "coltsfootstall/coltsidentity"

// Index is a document with its organisations by key. It is not changed after
// NewIndex and may be read by many goroutines.
type Index struct {
	Document Document
	byKey    map[coltsidentity.Digest]Organisation
}

// NewIndex indexes a document.
func NewIndex(d Document) *Index {
	x := &Index{Document: d, byKey: map[coltsidentity.Digest]Organisation{}}
	for _, o := range d.Sections.Organisations {
		for _, key := range o.KeyDigests {
			x.byKey[key] = o
		}
	}
	return x
}

// Organisation returns the organisation that owns a key's digest.
func (x *Index) Organisation(key coltsidentity.Digest) (Organisation, bool) {
	o, known := x.byKey[key]
	return o, known
}
