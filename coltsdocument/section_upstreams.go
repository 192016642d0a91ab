package coltsdocument

// The document does not list the upstreams: they announce themselves. This
// section defines which announcements are trusted and which upstreams are drained.

import (
	"fmt"
	"net/netip"
	"slices"

	"coltsfootstall/coltsidentity"
)

var sectionUpstreams = Section{
	Name: SectionUpstreams,
	Usage: `Rules by which announced upstreams are trusted, and those being drained.
  "upstreams": {
    "trusted": [{"network": "10.1.0.0/16", "kind": "runner", "data-centre": "north-1", "checks-fencing": true}],
    "draining": ["runner-7"]
  }`,
	check:    checkUpstreams,
	copyTo:   func(to *Sections, from Sections) { to.Upstreams = from.Upstreams },
	describe: describeUpstreams,
}

func checkUpstreams(s Sections, l *problemList) {
	for i, t := range s.Upstreams.Trusted {
		path := fmt.Sprintf("trusted/%d", i)
		if !slices.Contains(Kinds, t.Kind) {
			l.add(path+"/kind", "%q is not one of %v", t.Kind, Kinds)
		}
		if !t.Network.IsValid() {
			l.add(path+"/network", "is not a network prefix")
		}
		if t.DataCentre == "" {
			l.add(path+"/data-centre", "is empty")
		}
	}
	addDuplicates(l, s.Upstreams.Draining)
}

func describeUpstreams(s Sections) []entryLine {
	lines := make([]entryLine, 0, len(s.Upstreams.Trusted)+len(s.Upstreams.Draining))
	for _, t := range s.Upstreams.Trusted {
		fencing := "ignoring fencing numbers"
		if t.ChecksFencing {
			fencing = "checking fencing numbers"
		}
		text := fmt.Sprintf("trust %s upstreams from %s in %s, %s", t.Kind, t.Network, t.DataCentre, fencing)
		lines = append(lines, entryLine{key: fmt.Sprintf("trust/%s/%s", t.Network, t.Kind), text: text})
	}
	for _, u := range s.Upstreams.Draining {
		lines = append(lines, entryLine{key: "draining/" + string(u), text: fmt.Sprintf("drain upstream %s", u)})
	}
	return lines
}

// TrustRule returns the rule that matches an address and a kind. The rule with
// the longest prefix wins, so that a rule for a small network can override one
// for a larger network.
func (d Document) TrustRule(addr netip.Addr, kind Kind) (TrustRule, bool) {
	var best TrustRule
	found := false
	for _, t := range d.Sections.Upstreams.Trusted {
		if t.Kind != kind || !t.Network.Contains(addr) {
			continue
		}
		if !found || t.Network.Bits() > best.Network.Bits() {
			best = t
			found = true
		}
	}
	return best, found
}

// IsDraining reports whether an upstream is being drained.
func (d Document) IsDraining(id coltsidentity.Upstream) bool {
	return slices.Contains(d.Sections.Upstreams.Draining, id)
}
