package coltsdocument

// The sections are entered in one table, each with its own file that holds its
// usage, its check and its description in words. Adding a section is a file, a
// field of Sections and a line here.

import (
	"fmt"
	"slices"
	"strings"
)

// SectionName names a section in kebab case.
type SectionName string

// The names of the sections.
const (
	SectionOrganisations SectionName = "organisations"
	SectionModels        SectionName = "models"
	SectionPricing       SectionName = "pricing"
	SectionUpstreams     SectionName = "upstreams"
	SectionObjectives    SectionName = "objectives"
	SectionOperators     SectionName = "operators"
)

// SectionNames lists the names in the order in which sections are shown.
var SectionNames = []SectionName{
	SectionOrganisations,
	SectionModels,
	SectionPricing,
	SectionUpstreams,
	SectionObjectives,
	SectionOperators,
}

// Section is one member of the table.
type Section struct {
	Name SectionName
	// Usage says what the section holds, with an example in the document's form.
	Usage string
	// check reports what is wrong with the section inside the whole document.
	check func(s Sections, r *problemList)
	// copyTo replaces the section in to by the one in from.
	copyTo func(to *Sections, from Sections)
	// lines describes each entry of the section by one line, keyed by identity.
	lines func(s Sections) []entryLine
}

// sectionTable lists every section in the order in which they are shown.
var sectionTable = []Section{
	sectionOrganisations,
	sectionModels,
	sectionPricing,
	sectionUpstreams,
	sectionObjectives,
	sectionOperators,
}

// SectionTable returns the sections in the order in which they are shown.
func SectionTable() []Section {
	return slices.Clone(sectionTable)
}

// FindSection returns a section by its name.
func FindSection(name SectionName) (Section, bool) {
	i := slices.IndexFunc(sectionTable, func(s Section) bool { return s.Name == name })
	if i < 0 {
		return Section{}, false
	}
	return sectionTable[i], true
}

// Problem is one thing that is wrong with a document.
type Problem struct {
	Section SectionName
	// Path leads to the entry inside the section, as in "organisations/acme/weight".
	Path string
	// Reason says what is wrong and what was expected.
	Reason string
	// Line is the line in the operator's text, or 0 if it has none.
	Line int
}

// InvalidError reports everything that is wrong with a document.
type InvalidError struct {
	Problems []Problem
}

// Error lists the problems, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// String returns the problem as place and reason.
func (p Problem) String() string {
	if p.Line > 0 {
		return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Reason)
	}
	return fmt.Sprintf("%s: %s", p.Path, p.Reason)
}

// problemList collects problems of one section.
type problemList struct {
	section  SectionName
	problems []Problem
}

// add reports a problem at a path below the section.
func (l *problemList) add(path, format string, args ...any) {
	l.problems = append(l.problems, Problem{
		Section: l.section,
		Path:    strings.TrimSuffix(string(l.section)+"/"+path, "/"),
		Reason:  fmt.Sprintf(format, args...),
	})
}

// addDuplicates reports every name that stands more than once.
func addDuplicates[T ~string](l *problemList, names []T) {
	seen := make(map[T]bool, len(names))
	for _, n := range names {
		if n == "" {
			l.add("", "an entry has no name")
		}
		if seen[n] {
			l.add(string(n), "stands more than once")
		}
		seen[n] = true
	}
}

// Validate reports every problem of the sections taken together.
func Validate(s Sections) []Problem {
	var problems []Problem
	for _, section := range sectionTable {
		l := &problemList{section: section.Name}
		section.check(s, l)
		problems = append(problems, l.problems...)
	}
	return problems
}
