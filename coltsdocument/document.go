// Package coltsdocument is the aggregate of the operators' document: its
// sections, their validation rules, and the process by which a proposed change
// is reviewed and accepted.
//
// The package does no encoding and reads no clock: callers parse texts into
// Sections and pass the current time as an argument.
package coltsdocument

// Document is a plain value. A change creates a new Document with one section
// replaced as a whole, so readers never see a partly applied change.

import (
	"net/netip"
	"slices"
	"time"

	"coltsfootstall/coltsidentity"
)

// Revision numbers the versions of the document: it is the number of changes
// accepted so far. The empty document has revision 0.
type Revision uint64

// Kind is the type of an upstream.
type Kind string

// The kinds of upstream.
const (
	KindRunner  Kind = "runner"
	KindStore   Kind = "store"
	KindService Kind = "service"
)

// Kinds lists all kinds of upstream.
var Kinds = []Kind{KindRunner, KindStore, KindService}

// Document is the content of the document at one revision.
type Document struct {
	Revision Revision
	Sections Sections
	// SectionRevisions holds, for each section, the revision that last replaced it.
	SectionRevisions map[SectionName]Revision
}

// Sections holds the sections of a document. In a Change, only the section named
// by Change.Section is used.
type Sections struct {
	Organisations []Organisation
	Models        []Model
	Pricing       Pricing
	Upstreams     UpstreamRules
	Objectives    []Objective
	Operators     []Operator
}

// Organisation is a customer with its keys, permissions and limits.
type Organisation struct {
	ID coltsidentity.Organisation
	// KeyDigests are the SHA-256 digests of its bearer keys.
	KeyDigests []coltsidentity.Digest
	// Models lists the models and versions that it may call.
	Models []ModelGrant
	// Services lists the plain services that it may call.
	Services []coltsidentity.Service
	// Weight is its relative share of the capacity under contention, at least 1.
	Weight int
	// MaxConcurrentRequests limits its in-flight requests on one entry instance; zero
	// means no limit.
	MaxConcurrentRequests int
	// TokensPerSecond limits the rate of its prompt and completion tokens; zero
	// means no limit.
	TokensPerSecond int64
}

// ModelGrant permits an organisation to call a model.
type ModelGrant struct {
	Model coltsidentity.Model
	// Version restricts the grant to one version; empty permits every version.
	Version coltsidentity.Version
}

// Model is a model with its versions.
type Model struct {
	ID coltsidentity.Model
	// Current is the version for callers that name none; it is one of Versions.
	Current  coltsidentity.Version
	Versions []coltsidentity.Version
}

// Pricing holds the prices that organisations pay. A price that is not listed is
// zero.
type Pricing struct {
	Models   []ModelPrice
	Services []ServicePrice
}

// ModelPrice holds the prices of a model's tokens, in millionths of the currency
// unit per thousand tokens.
type ModelPrice struct {
	Model coltsidentity.Model
	// ComputedMicros is the price of prompt tokens that had to be computed.
	ComputedMicros int64
	// ReusedMicros is the price of prompt tokens found in the cache.
	ReusedMicros int64
	// GeneratedMicros is the price of completion tokens.
	GeneratedMicros int64
}

// ServicePrice is the price of a service call. Only calls that ran are charged.
type ServicePrice struct {
	Service coltsidentity.Service
	// Micros is the price of one call in millionths of the currency unit.
	Micros int64
}

// UpstreamRules holds the rules for trusting and draining upstreams.
type UpstreamRules struct {
	Trusted []TrustRule
	// Draining lists the upstreams that get no new work.
	Draining []coltsidentity.Upstream
}

// TrustRule accepts announcements of upstreams of one kind from one network.
type TrustRule struct {
	Network netip.Prefix
	Kind    Kind
	// DataCentre is where these upstreams run.
	DataCentre coltsidentity.DataCentre
	// ChecksFencing is set if these upstreams reject orders with an old fencing token.
	ChecksFencing bool
}

// Objective is a service level objective (SLO) tracked by the burn report.
type Objective struct {
	Name string
	// Model restricts the objective to one model; empty means all models.
	Model coltsidentity.Model
	// MaxTimeToFirstToken is the longest time to first token that meets the objective.
	MaxTimeToFirstToken time.Duration
	// TargetPerMille is the target share of requests that meet the objective, in thousandths.
	TargetPerMille int
}

// Operator is a person who is identified by a key and owns sections of the
// document.
type Operator struct {
	ID        coltsidentity.Operator
	KeyDigest coltsidentity.Digest
	Sections  []SectionName
}

// FindOperator returns the operator whose key has the given digest.
func (d Document) FindOperator(key coltsidentity.Digest) (Operator, bool) {
	for _, o := range d.Sections.Operators {
		if o.KeyDigest == key {
			return o, true
		}
	}
	return Operator{}, false
}

// FindModel returns the model with the given name.
func (d Document) FindModel(id coltsidentity.Model) (Model, bool) {
	for _, m := range d.Sections.Models {
		if m.ID == id {
			return m, true
		}
	}
	return Model{}, false
}

// ModelPrice returns the prices of a model; they are zero if none are set.
func (d Document) ModelPrice(id coltsidentity.Model) ModelPrice {
	for _, p := range d.Sections.Pricing.Models {
		if p.Model == id {
			return p
		}
	}
	return ModelPrice{Model: id}
}

// ServicePrice returns the price of a service call; it is zero if none is set.
func (d Document) ServicePrice(id coltsidentity.Service) ServicePrice {
	for _, p := range d.Sections.Pricing.Services {
		if p.Service == id {
			return p
		}
	}
	return ServicePrice{Service: id}
}

// MayUse reports whether the organisation may call a version of a model.
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

// Owns reports whether the operator owns a section.
func (o Operator) Owns(name SectionName) bool {
	return slices.Contains(o.Sections, name)
}
