// Package coltsdocument is the aggregate of the operators' document: its
// sections, their rules, and the way from a proposed change to one in force.
//
// The package decides and encodes nothing: texts are read into Sections by an
// adapter, and the time always comes in as an argument.
package coltsdocument

// A document is a plain value. Every section is replaced whole by a change, so
// a reader that holds a Document never sees half of one change.

import (
	"net/netip"
	"slices"
	"time"

	"coltsfootstall/coltsidentity"
)

// Revision counts the accepted changes; the empty document has revision 0.
type Revision uint64

// Kind says what an upstream is.
type Kind string

// The kinds of upstream.
const (
	KindRunner  Kind = "runner"
	KindStore   Kind = "store"
	KindService Kind = "service"
)

// Kinds lists the valid kinds.
var Kinds = []Kind{KindRunner, KindStore, KindService}

// Document is what is in force at one revision.
type Document struct {
	Revision Revision
	Sections Sections
	// Changed holds, for each section, the revision that last replaced it.
	Changed map[SectionName]Revision
}

// Sections is the content of a document. In a change only the section that the
// change names is looked at.
type Sections struct {
	Organisations []Organisation
	Models        []Model
	Pricing       Pricing
	Upstreams     Upstreams
	Objectives    []Objective
	Operators     []Operator
}

// Organisation is a customer with what it may use.
type Organisation struct {
	ID coltsidentity.Organisation
	// KeyDigests are the SHA-256 sums of its bearer keys.
	KeyDigests []coltsidentity.Digest
	// Models lists what it may call; an empty Version allows the current one.
	Models []ModelGrant
	// Services lists the plain services that it may call.
	Services []coltsidentity.Service
	// Weight is its share when there is not enough for all, from 1 up.
	Weight int
	// Concurrent bounds its requests under way on one entry; 0 for no bound.
	Concurrent int
	// TokensPerSecond bounds its prompt and answer tokens; 0 for no bound.
	TokensPerSecond int64
}

// ModelGrant allows one model to an organisation.
type ModelGrant struct {
	Model coltsidentity.Model
	// Version narrows the grant; empty for whichever is current.
	Version coltsidentity.Version
}

// Model is a model with its versions.
type Model struct {
	ID       coltsidentity.Model
	Current  coltsidentity.Version
	Versions []coltsidentity.Version
}

// Pricing is what organisations pay, in millionths of the currency unit.
type Pricing struct {
	Models   []ModelPrice
	Services []ServicePrice
}

// ModelPrice is the price of a thousand tokens of each kind.
type ModelPrice struct {
	Model           coltsidentity.Model
	ComputedMicros  int64
	ReusedMicros    int64
	GeneratedMicros int64
}

// ServicePrice is the price of one call that ran.
type ServicePrice struct {
	Service coltsidentity.Service
	Micros  int64
}

// Upstreams holds the rules by which upstreams are trusted and drained.
type Upstreams struct {
	Trusted  []TrustRule
	Draining []coltsidentity.Upstream
}

// TrustRule trusts announcements of one kind from one network.
type TrustRule struct {
	Network    netip.Prefix
	Kind       Kind
	DataCentre coltsidentity.DataCentre
	// ChecksFencing says that these upstreams refuse an old fencing number.
	ChecksFencing bool
}

// Objective is one promise of service that the burn report watches.
type Objective struct {
	Name string
	// Model narrows the objective; empty for all.
	Model coltsidentity.Model
	// MaxTimeToFirstToken is the bound on the time to first token.
	MaxTimeToFirstToken time.Duration
	// PerMille is the share of requests that must keep the bound, in thousandths.
	PerMille int
}

// Operator is a person, known by a key, who owns sections of the document.
type Operator struct {
	ID        coltsidentity.Operator
	KeyDigest coltsidentity.Digest
	Sections  []SectionName
}

// FindOperator returns the operator who owns a key's digest.
func (d Document) FindOperator(key coltsidentity.Digest) (Operator, bool) {
	for _, o := range d.Sections.Operators {
		if o.KeyDigest == key {
			return o, true
		}
	}
	return Operator{}, false
}

// FindModel returns a model by its name.
func (d Document) FindModel(id coltsidentity.Model) (Model, bool) {
	for _, m := range d.Sections.Models {
		if m.ID == id {
			return m, true
		}
	}
	return Model{}, false
}

// ModelPrice returns the price of a model, zero where none is set.
func (d Document) ModelPrice(id coltsidentity.Model) ModelPrice {
	for _, p := range d.Sections.Pricing.Models {
		if p.Model == id {
			return p
		}
	}
	return ModelPrice{Model: id}
}

// ServicePrice returns the price of a call, zero where none is set.
func (d Document) ServicePrice(id coltsidentity.Service) ServicePrice {
	for _, p := range d.Sections.Pricing.Services {
		if p.Service == id {
			return p
		}
	}
	return ServicePrice{Service: id}
}

// MayUse says whether the organisation may call a version of a model.
func (o Organisation) MayUse(model coltsidentity.Model, version coltsidentity.Version) bool {
	for _, g := range o.Models {
		if g.Model != model {
			continue
		}
		if g.Version == "" || g.Version == version {
			return true
		}
	}
	return false
}

// Owns says whether the operator owns a section.
func (o Operator) Owns(name SectionName) bool {
	return slices.Contains(o.Sections, name)
}
