package coltsdocument

// Operators are authenticated by keys: with names alone, an author could enter
// another operator's name and review their own change.

import (
	"fmt"
	"slices"

	"coltsfootstall/coltsidentity"
)

var sectionOperators = Section{
	Name: SectionOperators,
	Usage: `People who may change the document: the digest of their key and the sections they own.
  "operators": [{"id": "amina", "key-digest": "<sha-256, hexadecimal>", "sections": ["pricing"]}]`,
	check:    checkOperators,
	copyTo:   func(to *Sections, from Sections) { to.Operators = from.Operators },
	describe: describeOperators,
}

func checkOperators(s Sections, l *problemList) {
	names := make([]coltsidentity.Operator, 0, len(s.Operators))
	owners := make(map[coltsidentity.Digest]coltsidentity.Operator)
	ownersOfOperators := 0
	for _, o := range s.Operators {
		names = append(names, o.ID)
		if other, taken := owners[o.KeyDigest]; taken {
			l.add(string(o.ID)+"/key-digest", "is also the key of %q", other)
		}
		owners[o.KeyDigest] = o.ID
		for _, name := range o.Sections {
			if !slices.Contains(SectionNames, name) {
				l.add(string(o.ID)+"/sections", "there is no section %q", name)
			}
		}
		if o.Owns(SectionOperators) {
			ownersOfOperators++
		}
	}
	addDuplicates(l, names)
	if len(s.Operators) > 0 && ownersOfOperators < 2 {
		l.add("", "two operators at least must own this section, or it could never be reviewed again")
	}
}

func describeOperators(s Sections) []entryLine {
	lines := make([]entryLine, 0, len(s.Operators))
	for _, o := range s.Operators {
		text := fmt.Sprintf("operator %s: owns %v", o.ID, o.Sections)
		lines = append(lines, entryLine{key: string(o.ID), text: text, detail: o.KeyDigest.String()})
	}
	return lines
}
