// Package coltsweights is the aggregate of model weight versions: which version operators
// have named for each model, and which runners load it next.
package coltsweights

// An operator names a version to make it the one that a model's runners have to load. The
// named version of a model only increases. The register is not divided into shards: it is
// written a few times a day, and each request reads one entry.

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
)

// maxVersions is the largest number of versions of a model that are kept. An operator names fewer of them
// in the time that runners have to load one.
const maxVersions = 64

// Number is the version number of a model's weights. Versions start at 1; 0 means unknown.
type Number uint64

// Weights identifies one version of the weights of a model.
type Weights struct {
	Model  coltsidentity.Model
	Number Number
}

// NamedVersion is a version that an operator has named.
type NamedVersion struct {
	Weights
	// NamedAt is when the version was named, by the clock of the instance that recorded it.
	NamedAt time.Time
}

// Register holds the named versions of each model. It is safe for concurrent use.
type Register struct {
	mu sync.Mutex
	// versions holds the versions of each model by number, each of which was named before the next one.
	versions map[coltsidentity.Model][]NamedVersion
	// revision is incremented by every new newest version.
	revision uint64
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{versions: map[coltsidentity.Model][]NamedVersion{}}
}

// SetNamed makes n the named version of its model if it is higher than the current one, and
// reports whether it did. If n is known, the earlier time of naming counts. A lower version that was
// named before the higher ones is added as an earlier one; it is learned late, or out of order.
func (r *Register) SetNamed(n NamedVersion) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := r.versions[n.Model]
	i, known := slices.BinarySearchFunc(versions, n.Number, func(v NamedVersion, number Number) int {
		return cmp.Compare(v.Number, number)
	})
	isNewest := i == len(versions) && n.Number > 0
	switch {
	case known:
		if n.NamedAt.Before(versions[i].NamedAt) {
			versions[i].NamedAt = n.NamedAt
		}
	case isNewest || i < len(versions) && n.NamedAt.Before(versions[i].NamedAt):
		versions = slices.Insert(versions, i, n)
		r.versions[n.Model] = versions[max(0, len(versions)-maxVersions):]
	}
	if isNewest {
		r.revision++
	}
	return isNewest
}

// Wanted returns the newest named version of a model, or the zero value, whose number is 0,
// if none was named.
func (r *Register) Wanted(model coltsidentity.Model) NamedVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := r.versions[model]
	if len(versions) == 0 {
		return NamedVersion{}
	}
	return versions[len(versions)-1]
}

// startMarginShare is the largest share of the grace period for which requests are withheld from
// runners with older weights before the period ends.
const startMarginShare = 0.25

// Limit says until when older weights may serve requests.
type Limit struct {
	// GracePeriod is the time after the naming of a version at which no request may begin on an
	// older one any more; 0 for no limit.
	GracePeriod time.Duration
	// StartWithin is the time within which a request that is sent now begins, or else its caller
	// leaves.
	StartWithin time.Duration
}

// Required returns the lowest version that a runner must have to be sent a request for a model now,
// or 0 for any. A request may be queued at its runner until its caller leaves, so it is not sent to
// a runner on which it could begin too late.
func (r *Register) Required(model coltsidentity.Model, l Limit, now time.Time) Number {
	if l.GracePeriod == 0 {
		return 0
	}
	margin := min(l.StartWithin, time.Duration(startMarginShare*float64(l.GracePeriod)))
	return r.NamedAsOf(model, now.Add(margin-l.GracePeriod))
}

// NamedAsOf returns the highest version of a model that was named at or before a time, or 0 if
// there is none. Earlier versions count too: a version may be named before all runners have
// loaded the previous one, and the time limit for loading a version starts when that version
// is named.
func (r *Register) NamedAsOf(model coltsidentity.Model, at time.Time) Number {
	r.mu.Lock()
	defer r.mu.Unlock()
	number := Number(0)
	for _, n := range r.versions[model] {
		if !n.NamedAt.After(at) {
			number = max(number, n.Number)
		}
	}
	return number
}

// Newest returns the newest named version of each model, sorted by model, and the revision of
// the register.
func (r *Register) Newest() ([]NamedVersion, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]NamedVersion, 0, len(r.versions))
	for _, model := range slices.Sorted(maps.Keys(r.versions)) {
		versions := r.versions[model]
		all = append(all, versions[len(versions)-1])
	}
	return all, r.revision
}

// Versions returns all versions, sorted by model and number, and the revision of the register. Whoever learns only the
// newest of them can't know when the time to load an earlier one ends.
func (r *Register) Versions() ([]NamedVersion, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []NamedVersion
	for _, model := range slices.Sorted(maps.Keys(r.versions)) {
		all = append(all, r.versions[model]...)
	}
	return all, r.revision
}

// Import replaces all versions, which must be sorted by model and number.
func (r *Register) Import(all []NamedVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions = make(map[coltsidentity.Model][]NamedVersion, len(all))
	for _, n := range all {
		r.versions[n.Model] = append(r.versions[n.Model], n)
	}
	r.revision++
}
