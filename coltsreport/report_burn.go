// Package coltsreport builds the burn and spend reports from counts, and writes them as
// text or JSON.
package coltsreport

// The burn report lists the highest burn rate first, because a person on call at night
// reads its first line.

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsobjective"
)

// Burn is the report on how fast the error budgets of the objectives burn.
type Burn struct {
	Objectives []BurnObjective `json:"objectives"`
	Rows       []BurnRow       `json:"rows"`
	// Unreachable holds the names of the entries that did not answer. Their counts are missing
	// from the report.
	Unreachable []string `json:"silent-entries"`
}

// BurnObjective is one service level objective.
type BurnObjective struct {
	Name string `json:"name"`
	// Model is the model that the objective applies to; empty for all models.
	Model string `json:"model,omitempty"`
	// FirstToken is the target time to first token, as text such as "460ms".
	FirstToken string `json:"first-token"`
	// PerMille is the target share of good requests, in thousandths.
	PerMille int `json:"per-mille"`
}

// BurnRow holds the counts of one organisation's requests to one model, measured against
// one objective.
type BurnRow struct {
	Objective    string       `json:"objective"`
	Organisation string       `json:"organisation"`
	Model        string       `json:"model"`
	Windows      []BurnWindow `json:"windows"`
}

// BurnWindow holds the counts of one time window.
type BurnWindow struct {
	// Span is the length of the window, as text such as "5m".
	Span     string `json:"span"`
	Requests int64  `json:"requests"`
	// Missed is the number of requests that missed the objective.
	Missed int64 `json:"missed"`
	// BurnRate is the rate at which the error budget burns; 1 consumes it exactly.
	BurnRate float64 `json:"burn-rate"`
}

// NewBurn builds the report from counts that were merged over all entries. Rows whose
// objective is no longer in force are left out.
func NewBurn(objectives []coltsdocument.Objective, rows []coltsobjective.Row, unreachable []string) Burn {
	report := Burn{Objectives: []BurnObjective{}, Rows: []BurnRow{}, Unreachable: append([]string{}, unreachable...)}
	perMille := map[string]int{}
	for _, o := range objectives {
		perMille[o.Name] = o.TargetPerMille
		report.Objectives = append(report.Objectives, BurnObjective{
			Name:       o.Name,
			Model:      string(o.Model),
			FirstToken: o.MaxTimeToFirstToken.String(),
			PerMille:   o.TargetPerMille,
		})
	}
	for _, row := range rows {
		if target, known := perMille[row.Series.Objective]; known {
			report.Rows = append(report.Rows, newBurnRow(row, target))
		}
	}
	slices.SortStableFunc(report.Rows, func(a, b BurnRow) int {
		return cmp.Compare(b.highestBurnRate(), a.highestBurnRate())
	})
	return report
}

func newBurnRow(row coltsobjective.Row, perMille int) BurnRow {
	r := BurnRow{
		Objective:    row.Series.Objective,
		Organisation: string(row.Series.Organisation),
		Model:        string(row.Series.Model),
	}
	for i, counts := range row.Counts {
		r.Windows = append(r.Windows, BurnWindow{
			Span:     formatSpan(coltsobjective.Windows[i].String()),
			Requests: counts.Good + counts.Bad,
			Missed:   counts.Bad,
			BurnRate: coltsobjective.BurnRate(counts, perMille),
		})
	}
	return r
}

// formatSpan drops trailing zero units from a duration's text: "1h0m0s" becomes "1h".
func formatSpan(s string) string {
	s = strings.TrimSuffix(s, "0s")
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// highestBurnRate returns the highest burn rate of all windows.
func (r BurnRow) highestBurnRate() float64 {
	var highest float64
	for _, w := range r.Windows {
		highest = max(highest, w.BurnRate)
	}
	return highest
}

// WriteJSON writes the report as JSON.
func (b Burn) WriteJSON(w io.Writer) error {
	return writeJSON(w, b)
}

func writeJSON(w io.Writer, report any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(report), "write report")
}

// WriteText writes the report as a table.
func (b Burn) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, o := range b.Objectives {
		_, _ = fmt.Fprintf(t, "objective %s: first token within %s for %d in 1000\n", o.Name, o.FirstToken, o.PerMille)
	}
	_, _ = fmt.Fprint(t, "\nOBJECTIVE\tORGANISATION\tMODEL")
	for _, span := range coltsobjective.Windows {
		_, _ = fmt.Fprintf(t, "\tBURN %s\tMISSED", formatSpan(span.String()))
	}
	_, _ = fmt.Fprintln(t)
	for _, row := range b.Rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s", row.Objective, row.Organisation, row.Model)
		for _, window := range row.Windows {
			_, _ = fmt.Fprintf(t, "\t%.2f\t%d of %d", window.BurnRate, window.Missed, window.Requests)
		}
		_, _ = fmt.Fprintln(t)
	}
	for _, name := range b.Unreachable {
		_, _ = fmt.Fprintf(t, "\n%s did not answer; its counts are missing\n", name)
	}
	return errors.Wrap(t.Flush(), "write report")
}
