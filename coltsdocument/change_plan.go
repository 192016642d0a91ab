package coltsdocument

// A plan shows a change in words, entry by entry, because the person who
// reviews a price or a network should not have to read two texts side by side.

import "fmt"

// entryLine describes one entry of a section.
type entryLine struct {
	key  string
	text string
	// detail holds what counts as a difference but is not worth showing.
	detail string
}

// Plan returns the difference that a section's new content makes, in words, one
// line an entry. It is empty if nothing changes.
func Plan(old, changed Sections, name SectionName) []string {
	section, ok := FindSection(name)
	if !ok {
		return nil
	}
	before := section.lines(old)
	after := section.lines(changed)
	beforeByKey := indexLines(before)
	afterByKey := indexLines(after)
	var plan []string
	for _, line := range before {
		if _, kept := afterByKey[line.key]; !kept {
			plan = append(plan, "remove  "+line.text)
		}
	}
	for _, line := range after {
		was, known := beforeByKey[line.key]
		plan = append(plan, planLine(was, line, known)...)
	}
	return plan
}

func planLine(was, is entryLine, known bool) []string {
	switch {
	case !known:
		return []string{"add     " + is.text}
	case was.text != is.text:
		return []string{fmt.Sprintf("change  %s  (was: %s)", is.text, was.text)}
	case was.detail != is.detail:
		return []string{"change  " + is.text + "  (keys)"}
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

// ReplaceSection returns sections in which the named one is taken from content.
func ReplaceSection(old, content Sections, name SectionName) Sections {
	section, ok := FindSection(name)
	if !ok {
		return old
	}
	section.copyTo(&old, content)
	return old
}
