// Package coltsweights is the aggregate of the weight versions that operators have
// named: which one each model is to have, and which runners are brought to it next.
package coltsweights

// Named versions are numbers that only rise. The register is one shard: a few
// names a day are written, and each request reads one.

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
)

// keptNamed bounds the versions that are kept behind the newest one.
const keptNamed = 16

// Number is a version of a model's weights; the first one is 1, 0 is unknown.
type Number uint64

// Weights are a version of a model.
type Weights struct {
	Model  coltsidentity.Model
	Number Number
}

// NamedVersion is a version that an operator has named.
type NamedVersion struct {
	Weights
	// NamedAt is when it was named, by the clock of the instance that recorded it.
	NamedAt time.Time
}

// Register holds the newest version of each model. It may be used concurrently.
type Register struct {
	mu    sync.Mutex
	named map[coltsidentity.Model]NamedVersion
	// earlier are the versions that were named before the newest one, the oldest first.
	earlier map[coltsidentity.Model][]NamedVersion
	// revision counts the changes.
	revision uint64
}

// NewRegister returns a register in which nothing is named.
func NewRegister() *Register {
	return &Register{named: map[coltsidentity.Model]NamedVersion{}, earlier: map[coltsidentity.Model][]NamedVersion{}}
}

// SetNamed takes in a named version and says whether it is news. Versions never go back.
func (r *Register) SetNamed(n NamedVersion) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, known := r.named[n.Model]
	if n.Number <= before.Number {
		return false
	}
	if known {
		earlier := append(r.earlier[n.Model], before)
		r.earlier[n.Model] = earlier[max(0, len(earlier)-keptNamed):]
	}
	r.named[n.Model] = n
	r.revision++
	return true
}

// Wanted returns the version that a model is to have, 0 if none was named.
func (r *Register) Wanted(model coltsidentity.Model) NamedVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.named[model]
}

// NamedBy returns the highest version of a model that was named by a time, 0 if none was.
// A version may be named before the one before it is in place, and each is due from its
// own naming on.
func (r *Register) NamedBy(model coltsidentity.Model, by time.Time) Number {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest, known := r.named[model]
	if known && !newest.NamedAt.After(by) {
		return newest.Number
	}
	number := Number(0)
	for _, n := range r.earlier[model] {
		if !n.NamedAt.After(by) {
			number = max(number, n.Number)
		}
	}
	return number
}

// Newest returns the named versions in the order of their models, and the revision
// that they make up.
func (r *Register) Newest() ([]NamedVersion, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]NamedVersion, 0, len(r.named))
	for _, n := range r.named {
		all = append(all, n)
	}
	slices.SortFunc(all, func(a, b NamedVersion) int { return cmp.Compare(a.Model, b.Model) })
	return all, r.revision
}

// Import replaces everything.
func (r *Register) Import(all []NamedVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.named = make(map[coltsidentity.Model]NamedVersion, len(all))
	for _, n := range all {
		r.named[n.Model] = n
	}
	r.revision++
}
