package coltsdocument

// A plan describes a change entry by entry, so that a reviewer does not have to
// compare the old and the new text of a section side by side.

import "fmt"

// entryLine describes one entry of a section.
type entryLine struct {
	// key identifies the entry within its section.
	key  string
	text string
	// detail is compared, but its value is not shown in the plan, for example key
	// digests.
	detail string
}

// Plan describes how the named section differs between old and changed, with one
// line for each entry that was added, changed or removed. It is empty if the
// section is the same in both or if there is no such section.
func Plan(old, changed Sections, name SectionName) []string {
	section, ok := FindSection(name)
	if !ok {
		return nil
	}
	oldLines := section.describe(old)
	newLines := section.describe(changed)
	oldByKey := indexLines(oldLines)
	newByKey := indexLines(newLines)
	var plan []string
	for _, line := range oldLines {
		if _, exists := newByKey[line.key]; !exists {
			plan = append(plan, "remove  "+line.text)
		}
	}
	for _, line := range newLines {
		oldLine, existed := oldByKey[line.key]
		plan = append(plan, planLine(oldLine, line, existed)...)
	}
	return plan
}

// planLine describes the difference between two versions of an entry; the result
// is empty if they are equal. oldLine is ignored unless existed is true.
func planLine(oldLine, newLine entryLine, existed bool) []string {
	switch {
	case !existed:
		return []string{"add     " + newLine.text}
	case oldLine.text != newLine.text:
		return []string{fmt.Sprintf("change  %s  (was: %s)", newLine.text, oldLine.text)}
	case oldLine.detail != newLine.detail:
		return []string{"change  " + newLine.text + "  (keys)"}
	}
	return nil
}

func indexLines(lines []entryLine) map[string]entryLine {
	index := make(map[string]entryLine, len(lines))
	for _, line := range lines {
		index[line.key] = line
	}
	return index
}

// ReplaceSection returns a copy of old whose named section is taken from content. It
// returns old unchanged if there is no such section.
func ReplaceSection(old, content Sections, name SectionName) Sections {
	section, ok := FindSection(name)
	if !ok {
		return old
	}
	section.copyTo(&old, content)
	return old
}
