// Package coltsweights is the aggregate of model weight versions: which version operators
// have named for each model, and which runners load it next.
package coltsweights

// An operator names a version to make it the one that a model's runners have to load. The
// named version of a model only increases. The register is not divided into shards: it is
// written a few times a day, and each request reads one entry.

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
)

// maxEarlierVersions is the largest number of versions of a model that are kept besides the
// newest one.
const maxEarlierVersions = 16

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
	// newest holds the version that was named last.
	newest map[coltsidentity.Model]NamedVersion
	// earlier holds the versions that were named before the newest one, the oldest first.
	earlier map[coltsidentity.Model][]NamedVersion
	// revision is incremented by every change.
	revision uint64
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{newest: map[coltsidentity.Model]NamedVersion{}, earlier: map[coltsidentity.Model][]NamedVersion{}}
}

// SetNamed makes n the named version of its model if it is higher than the current one, and
// reports whether it did. If n is the current version, the earlier time of naming counts.
func (r *Register) SetNamed(n NamedVersion) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous, known := r.newest[n.Model]
	if n.Weights == previous.Weights && n.NamedAt.Before(previous.NamedAt) {
		previous.NamedAt = n.NamedAt
		r.newest[n.Model] = previous
	}
	if n.Number <= previous.Number {
		return false
	}
	if known {
		earlier := append(r.earlier[n.Model], previous)
		r.earlier[n.Model] = earlier[max(0, len(earlier)-maxEarlierVersions):]
	}
	r.newest[n.Model] = n
	r.revision++
	return true
}

// Wanted returns the newest named version of a model, or the zero value, whose number is 0,
// if none was named.
func (r *Register) Wanted(model coltsidentity.Model) NamedVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest[model]
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
	newest, known := r.newest[model]
	if known && !newest.NamedAt.After(at) {
		return newest.Number
	}
	number := Number(0)
	for _, n := range r.earlier[model] {
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
	all := make([]NamedVersion, 0, len(r.newest))
	for _, n := range r.newest {
		all = append(all, n)
	}
	slices.SortFunc(all, func(a, b NamedVersion) int { return cmp.Compare(a.Model, b.Model) })
	return all, r.revision
}

// Import replaces the newest named version of every model. It leaves the earlier versions
// as they are.
func (r *Register) Import(all []NamedVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest = make(map[coltsidentity.Model]NamedVersion, len(all))
	for _, n := range all {
		r.newest[n.Model] = n
	}
	r.revision++
}
