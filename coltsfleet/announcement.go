// Package coltsfleet is the aggregate of the upstreams: which are known and
// trusted, how loaded and how healthy they seem, and which get no new work.
package coltsfleet

// An announcement is the only source of an upstream's existence. It carries its
// own order (incarnation, then number), so that copies that arrive late or by
// several ways can't turn an upstream back to what it was.

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
)

// ModelVersion is one set of weights that a runner has loaded.
type ModelVersion struct {
	Model   coltsidentity.Model
	Version coltsidentity.Version
}

// Load is what an upstream reports of itself, with a lag.
type Load struct {
	// Running and Waiting are requests.
	Running int
	Waiting int
	// QueuedTokens are prompt tokens that wait for their prefill.
	QueuedTokens int64
	// PrefillPerSecond is the rate of prefill in tokens a second.
	PrefillPerSecond int64
}

// Announcement is what an upstream says of itself.
type Announcement struct {
	ID   coltsidentity.Upstream
	Addr netip.AddrPort
	Kind coltsdocument.Kind
	// DataCentre is where the upstream says that it is.
	DataCentre coltsidentity.DataCentre
	// Service is the name of a plain service; empty for other kinds.
	Service coltsidentity.Service
	// Serving lists what a runner has loaded.
	Serving []ModelVersion
	// ChecksFencing says that it refuses an order with an old fencing number.
	ChecksFencing bool
	// Incarnation is when its process started, and Number rises by one with
	// each announcement of that process.
	Incarnation time.Time
	Number      uint64
	// Leaving asks for no new work.
	Leaving bool
	Load    Load
}

// Newer says whether the announcement follows another of the same upstream.
func (a Announcement) Newer(than Announcement) bool {
	if !a.Incarnation.Equal(than.Incarnation) {
		return a.Incarnation.After(than.Incarnation)
	}
	return a.Number > than.Number
}

// Serves says whether a runner has a version loaded.
func (a Announcement) Serves(s ModelVersion) bool {
	return slices.Contains(a.Serving, s)
}

// UntrustedError reports an announcement that no rule of the document trusts.
type UntrustedError struct {
	Upstream coltsidentity.Upstream
	Addr     netip.AddrPort
	Kind     coltsdocument.Kind
	// Reason says which part of the rules it breaks.
	Reason string
}

// Error names the upstream and the reason.
func (e *UntrustedError) Error() string {
	return fmt.Sprintf("%s %s at %s is not trusted: %s", e.Kind, e.Upstream, e.Addr, e.Reason)
}

// CheckTrust returns an UntrustedError unless a rule of the document trusts the
// announcement.
func CheckTrust(a Announcement, d coltsdocument.Document) error {
	refuse := func(reason string) error {
		return &UntrustedError{Upstream: a.ID, Addr: a.Addr, Kind: a.Kind, Reason: reason}
	}
	if a.ID == "" {
		return refuse("it has no identity")
	}
	if !a.Addr.IsValid() {
		return refuse("its address is not valid")
	}
	rule, ok := d.TrustRule(a.Addr.Addr(), a.Kind)
	if !ok {
		return refuse("no rule trusts this kind from this network")
	}
	if rule.DataCentre != a.DataCentre {
		return refuse(fmt.Sprintf("it says data centre %q and its rule says %q", a.DataCentre, rule.DataCentre))
	}
	return nil
}
