// Package coltsreport turns counts into the reports that operators and creditors
// read, as text and as JSON.
package coltsreport

// The burn report puts the organisation that is worst off first, because the one
// who reads it at night reads its first line.

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

// Burn is the report on service-level burn.
type Burn struct {
	Objectives []BurnObjective `json:"objectives"`
	Rows       []BurnRow       `json:"rows"`
	// Silent names the entries that did not answer, whose counts are missing.
	Silent []string `json:"silent-entries"`
}

// BurnObjective is one promise.
type BurnObjective struct {
	Name       string `json:"name"`
	Model      string `json:"model,omitempty"`
	FirstToken string `json:"first-token"`
	PerMille   int    `json:"per-mille"`
}

// BurnRow is one organisation's use of one model.
type BurnRow struct {
	Objective    string       `json:"objective"`
	Organisation string       `json:"organisation"`
	Model        string       `json:"model"`
	Windows      []BurnWindow `json:"windows"`
}

// BurnWindow is what was counted over one span.
type BurnWindow struct {
	Span     string  `json:"span"`
	Requests int64   `json:"requests"`
	Missed   int64   `json:"missed"`
	BurnRate float64 `json:"burn-rate"`
}

// NewBurn makes the report from counts that were merged over entries.
func NewBurn(objectives []coltsdocument.Objective, rows []coltsobjective.Row, silent []string) Burn {
	report := Burn{Objectives: []BurnObjective{}, Rows: []BurnRow{}, Silent: append([]string{}, silent...)}
	perMille := map[string]int{}
	for _, o := range objectives {
		perMille[o.Name] = o.PerMille
		report.Objectives = append(report.Objectives, BurnObjective{
			Name:       o.Name,
			Model:      string(o.Model),
			FirstToken: o.MaxTimeToFirstToken.String(),
			PerMille:   o.PerMille,
		})
	}
	for _, row := range rows {
		if promised, known := perMille[row.Series.Objective]; known {
			report.Rows = append(report.Rows, newBurnRow(row, promised))
		}
	}
	slices.SortStableFunc(report.Rows, func(a, b BurnRow) int { return cmp.Compare(b.worst(), a.worst()) })
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
			Span:     shortSpan(coltsobjective.Windows[i].String()),
			Requests: counts.Good + counts.Bad,
			Missed:   counts.Bad,
			BurnRate: coltsobjective.BurnRate(counts, perMille),
		})
	}
	return r
}

// shortSpan turns "1h0m0s" into "1h".
func shortSpan(s string) string {
	s = strings.TrimSuffix(s, "0s")
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func (r BurnRow) worst() float64 {
	var worst float64
	for _, w := range r.Windows {
		worst = max(worst, w.BurnRate)
	}
	return worst
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
		_, _ = fmt.Fprintf(t, "\tBURN %s\tMISSED", shortSpan(span.String()))
	}
	_, _ = fmt.Fprintln(t)
	for _, row := range b.Rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s", row.Objective, row.Organisation, row.Model)
		for _, window := range row.Windows {
			_, _ = fmt.Fprintf(t, "\t%.2f\t%d of %d", window.BurnRate, window.Missed, window.Requests)
		}
		_, _ = fmt.Fprintln(t)
	}
	for _, name := range b.Silent {
		_, _ = fmt.Fprintf(t, "\n%s did not answer; its counts are missing\n", name)
	}
	return errors.Wrap(t.Flush(), "write report")
}
