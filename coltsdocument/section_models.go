package coltsdocument

// The current version of a model is a separate field next to the list of versions,
// so a switch to new weights appears in the plan as one changed word.

import (
	"fmt"
	"slices"

	"coltsfootstall/coltsidentity"
)

var sectionModels = Section{
	Name: SectionModels,
	Usage: `Models with their versions; callers who name no version get the current one.
  "models": [{"id": "seed-writer", "current": "w7", "versions": ["w6", "w7"]}]`,
	check:    checkModels,
	copyTo:   func(to *Sections, from Sections) { to.Models = from.Models },
	describe: describeModels,
}

func checkModels(s Sections, l *problemList) {
	names := make([]coltsidentity.Model, 0, len(s.Models))
	for _, m := range s.Models {
		names = append(names, m.ID)
		if !slices.Contains(m.Versions, m.Current) {
			l.add(string(m.ID)+"/current", "%q is not one of its versions %v", m.Current, m.Versions)
		}
	}
	addDuplicates(l, names)
}

func describeModels(s Sections) []entryLine {
	lines := make([]entryLine, 0, len(s.Models))
	for _, m := range s.Models {
		text := fmt.Sprintf("model %s: current version %s of %v", m.ID, m.Current, m.Versions)
		lines = append(lines, entryLine{key: string(m.ID), text: text})
	}
	return lines
}
