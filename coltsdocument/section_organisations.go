package coltsdocument

// Organisations carry only digests of their keys, so that whoever reads the
// document or a backup of it can't call in their name.

import (
	"fmt"

	"coltsfootstall/coltsidentity"
)

var sectionOrganisations = Section{
	Name: SectionOrganisations,
	Usage: `Organisations with the digests of their keys, what they may call, and limits.
  "organisations": [{
    "id": "acme",
    "key-digests": ["<sha-256 of the bearer key, hexadecimal>"],
    "models": [{"model": "seed-writer", "version": ""}],  // empty: the current one
    "services": ["press"],
    "weight": 2, "concurrent": 64, "tokens-per-second": 20000
  }]`,
	check:  checkOrganisations,
	copyTo: func(to *Sections, from Sections) { to.Organisations = from.Organisations },
	lines:  describeOrganisations,
}

func checkOrganisations(s Sections, l *problemList) {
	names := make([]coltsidentity.Organisation, 0, len(s.Organisations))
	owners := make(map[coltsidentity.Digest]coltsidentity.Organisation)
	for _, o := range s.Organisations {
		names = append(names, o.ID)
		checkOrganisation(s, o, l)
		for _, d := range o.KeyDigests {
			owner, taken := owners[d]
			if taken {
				l.add(string(o.ID)+"/key-digests", "a key is already owned by %q", owner)
			}
			owners[d] = o.ID
		}
	}
	addDuplicates(l, names)
}

func checkOrganisation(s Sections, o Organisation, l *problemList) {
	if o.Weight < 1 {
		l.add(string(o.ID)+"/weight", "is %d, expected 1 or more", o.Weight)
	}
	if o.MaxConcurrentRequests < 0 {
		l.add(string(o.ID)+"/concurrent", "is %d, expected 0 or more", o.MaxConcurrentRequests)
	}
	if o.TokensPerSecond < 0 {
		l.add(string(o.ID)+"/tokens-per-second", "is %d, expected 0 or more", o.TokensPerSecond)
	}
	for _, g := range o.Models {
		if !hasVersion(s, g.Model, g.Version) {
			l.add(string(o.ID)+"/models", "model %q has no version %q", g.Model, g.Version)
		}
	}
}

// hasVersion says whether a model has a version; the empty one stands for the
// current one, which every model has.
func hasVersion(s Sections, model coltsidentity.Model, version coltsidentity.Version) bool {
	for _, m := range s.Models {
		if m.ID != model {
			continue
		}
		if version == "" {
			return true
		}
		for _, v := range m.Versions {
			if v == version {
				return true
			}
		}
	}
	return false
}

func describeOrganisations(s Sections) []entryLine {
	lines := make([]entryLine, 0, len(s.Organisations))
	for _, o := range s.Organisations {
		text := fmt.Sprintf("organisation %s: %d keys, models %v, services %v, weight %d, concurrent %d, tokens a second %d",
			o.ID, len(o.KeyDigests), o.Models, o.Services, o.Weight, o.MaxConcurrentRequests, o.TokensPerSecond)
		lines = append(lines, entryLine{key: string(o.ID), text: text, detail: fmt.Sprint(o.KeyDigests)})
	}
	return lines
}
