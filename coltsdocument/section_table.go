package coltsdocument

// All sections are listed in one table. The file of each section holds its usage
// text, its validation and the descriptions of its entries. To add a section,
// add such a file, a field of Sections, a SectionName and an entry in both lists.

import (
	"fmt"
	"slices"
	"strings"
)

// SectionName is the name of a section, in kebab case.
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

// SectionNames lists the names of all sections in display order.
var SectionNames = []SectionName{
	SectionOrganisations,
	SectionModels,
	SectionPricing,
	SectionUpstreams,
	SectionObjectives,
	SectionOperators,
}

// Section describes one section of the document.
type Section struct {
	Name SectionName
	// Usage explains the section and shows an example in the format of the document.
	Usage string
	// check adds the problems of this section to l. It may read other sections of s
	// to validate references.
	check func(s Sections, l *problemList)
	// copyTo copies this section from one document to another.
	copyTo func(to *Sections, from Sections)
	// describe returns one line for each entry of this section.
	describe func(s Sections) []entryLine
}

// sectionTable lists all sections in display order.
var sectionTable = []Section{
	sectionOrganisations,
	sectionModels,
	sectionPricing,
	sectionUpstreams,
	sectionObjectives,
	sectionOperators,
}

// SectionTable returns all sections in display order.
func SectionTable() []Section {
	return slices.Clone(sectionTable)
}

// FindSection returns the section with the given name.
func FindSection(name SectionName) (Section, bool) {
	i := slices.IndexFunc(sectionTable, func(s Section) bool { return s.Name == name })
	if i < 0 {
		return Section{}, false
	}
	return sectionTable[i], true
}

// Problem is one validation error in a document.
type Problem struct {
	Section SectionName
	// Path is the path of the invalid value, for example "organisations/acme/weight".
	Path string
	// Reason describes the error and, where it helps, what was expected.
	Reason string
	// Line is the line number in the operator's text; zero means unknown.
	Line int
}

// InvalidError reports all validation errors of a document.
type InvalidError struct {
	Problems []Problem
}

// Error returns the problems, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// String returns the line, if known, the path and the reason.
func (p Problem) String() string {
	if p.Line > 0 {
		return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Reason)
	}
	return fmt.Sprintf("%s: %s", p.Path, p.Reason)
}

// problemList collects the problems of one section.
type problemList struct {
	section  SectionName
	problems []Problem
}

// add adds a problem. The path is relative to the section; an empty path means
// the section itself.
func (l *problemList) add(path, format string, args ...any) {
	l.problems = append(l.problems, Problem{
		Section: l.section,
		Path:    strings.TrimSuffix(string(l.section)+"/"+path, "/"),
		Reason:  fmt.Sprintf(format, args...),
	})
}

// addDuplicates adds a problem for each empty and each duplicate name.
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

// Validate returns the problems of all sections, including references between
// them.
func Validate(s Sections) []Problem {
	var problems []Problem
	for _, section := range sectionTable {
		l := &problemList{section: section.Name}
		section.check(s, l)
		problems = append(problems, l.problems...)
	}
	return problems
}
