package coltsdocument

// Objectives are in the document and not in the settings of an instance, because
// they are promises to organisations and need a review, as prices do.

import (
	"fmt"
	"time"
)

// perMilleScale is 100%, in thousandths.
const perMilleScale = 1000

var sectionObjectives = Section{
	Name: SectionObjectives,
	Usage: `Objectives that the burn report watches.
  "objectives": [{"name": "first-token", "model": "", "first-token": "460ms", "per-mille": 950}]`,
	check:    checkObjectives,
	copyTo:   func(to *Sections, from Sections) { to.Objectives = from.Objectives },
	describe: describeObjectives,
}

func checkObjectives(s Sections, l *problemList) {
	names := make([]string, 0, len(s.Objectives))
	for _, o := range s.Objectives {
		names = append(names, o.Name)
		if o.MaxTimeToFirstToken <= 0 {
			l.add(o.Name+"/first-token", "is %v, expected more than 0s", o.MaxTimeToFirstToken)
		}
		if o.TargetPerMille < 1 || o.TargetPerMille >= perMilleScale {
			l.add(o.Name+"/per-mille", "is %d, expected 1 to 999", o.TargetPerMille)
		}
		if o.Model != "" && !hasVersion(s, o.Model, "") {
			l.add(o.Name+"/model", "there is no model %q", o.Model)
		}
	}
	addDuplicates(l, names)
}

func describeObjectives(s Sections) []entryLine {
	lines := make([]entryLine, 0, len(s.Objectives))
	for _, o := range s.Objectives {
		model := "every model"
		if o.Model != "" {
			model = "model " + string(o.Model)
		}
		text := fmt.Sprintf("objective %s: first token of %s within %v for %d in 1000",
			o.Name, model, o.MaxTimeToFirstToken.Round(time.Millisecond), o.TargetPerMille)
		lines = append(lines, entryLine{key: o.Name, text: text})
	}
	return lines
}
