// Package coltsfleet is the aggregate of the upstreams. It tracks which upstreams
// are known and trusted, their load and health, and which must not get new work.
package coltsfleet

// Announcements are the only way an entry discovers upstreams. Announcements of one
// upstream are ordered by incarnation, then by number, so that a copy that arrives
// late or over a second path can't overwrite newer state.

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
)

// ModelVersion is a model and the version of its weights that a runner has loaded.
type ModelVersion struct {
	Model   coltsidentity.Model
	Version coltsidentity.Version
}

// Load is the load that an upstream reports about itself. It lags behind the
// actual load.
type Load struct {
	// Running and Waiting are numbers of requests.
	Running int
	Waiting int
	// QueuedTokens is the number of prompt tokens waiting for prefill.
	QueuedTokens int64
	// PrefillPerSecond is the prefill rate in tokens per second; zero if not reported.
	PrefillPerSecond int64
}

// Announcement is a message in which an upstream describes itself.
type Announcement struct {
	ID   coltsidentity.Upstream
	Addr netip.AddrPort
	Kind coltsdocument.Kind
	// DataCentre is the data centre that the upstream claims to be in.
	DataCentre coltsidentity.DataCentre
	// Service is the name of a plain service; empty for other kinds.
	Service coltsidentity.Service
	// Serving lists the model versions that a runner has loaded.
	Serving []ModelVersion
	// ChecksFencing is set if the upstream rejects orders with an old fencing token.
	ChecksFencing bool
	// Incarnation is the start time of the upstream's process. Number increases by
	// one with each announcement of that process.
	Incarnation time.Time
	Number      uint64
	// Leaving is set if the upstream is shutting down and asks for no new work.
	Leaving bool
	Load    Load
}

// Newer reports whether a is newer than other, an announcement of the same upstream.
func (a Announcement) Newer(other Announcement) bool {
	if !a.Incarnation.Equal(other.Incarnation) {
		return a.Incarnation.After(other.Incarnation)
	}
	return a.Number > other.Number
}

// Serves reports whether the runner has the given model version loaded.
func (a Announcement) Serves(s ModelVersion) bool {
	return slices.Contains(a.Serving, s)
}

// UntrustedError is returned for an announcement that the document's trust rules
// don't allow.
type UntrustedError struct {
	Upstream coltsidentity.Upstream
	Addr     netip.AddrPort
	Kind     coltsdocument.Kind
	// Reason describes the check that failed.
	Reason string
}

// Error returns a message with the upstream, its address and the reason.
func (e *UntrustedError) Error() string {
	return fmt.Sprintf("%s %s at %s is not trusted: %s", e.Kind, e.Upstream, e.Addr, e.Reason)
}

// CheckTrust checks an announcement against the document's trust rules. It returns
// an UntrustedError if no rule allows the upstream's kind and address, or if the rule
// is for another data centre than the announced one.
func CheckTrust(a Announcement, d coltsdocument.Document) error {
	untrusted := func(reason string) error {
		return &UntrustedError{Upstream: a.ID, Addr: a.Addr, Kind: a.Kind, Reason: reason}
	}
	if a.ID == "" {
		return untrusted("the upstream ID is empty")
	}
	if !a.Addr.IsValid() {
		return untrusted("the address is not valid")
	}
	rule, ok := d.TrustRule(a.Addr.Addr(), a.Kind)
	if !ok {
		return untrusted("no trust rule allows this kind from this network")
	}
	if rule.DataCentre != a.DataCentre {
		return untrusted(fmt.Sprintf("announced data centre %q, trust rule has %q", a.DataCentre, rule.DataCentre))
	}
	return nil
}
