package coltsreport

// The spend report lists computed and reused tokens separately, because saving
// computation by reusing tokens is the main purpose of the system.

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"

	"coltsfootstall/coltsusage"
)

// microsPerUnit is the number of millionths in one unit of the currency.
const microsPerUnit = 1e6

// wholePercent is 100%, in hundredths.
const wholePercent = 100

// Spend is the report of the usage and the charges of organisations.
type Spend struct {
	Rows  []SpendRow `json:"rows"`
	Total SpendRow   `json:"total"`
}

// SpendRow holds one organisation's usage of one model or service.
type SpendRow struct {
	Organisation string `json:"organisation,omitempty"`
	// Item is the name of the model or service.
	Item     string `json:"item,omitempty"`
	Requests int64  `json:"requests"`
	// Computed is the number of prompt tokens that were computed, Reused the number of
	// prompt tokens that came from a cache, and Generated the number of answer tokens.
	Computed  int64 `json:"computed-tokens"`
	Reused    int64 `json:"reused-tokens"`
	Generated int64 `json:"generated-tokens"`
	// Micros is the charge in millionths of the currency unit.
	Micros int64 `json:"micros"`
}

// NewSpend builds the report from usage lines and adds their total.
func NewSpend(lines []coltsusage.Line) Spend {
	report := Spend{Rows: make([]SpendRow, 0, len(lines))}
	var total coltsusage.Amounts
	for _, line := range lines {
		total = total.Plus(line.Amounts)
		row := newSpendRow(line.Amounts)
		row.Organisation = string(line.Organisation)
		row.Item = line.Item
		report.Rows = append(report.Rows, row)
	}
	report.Total = newSpendRow(total)
	return report
}

func newSpendRow(a coltsusage.Amounts) SpendRow {
	return SpendRow{
		Requests:  a.Requests,
		Computed:  a.Computed,
		Reused:    a.Reused,
		Generated: a.Generated,
		Micros:    a.Micros,
	}
}

// WriteJSON writes the report as JSON.
func (s Spend) WriteJSON(w io.Writer) error {
	return writeJSON(w, s)
}

// WriteText writes the report as a table.
func (s Spend) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "ORGANISATION\tITEM\tREQUESTS\tCOMPUTED\tREUSED\tREUSED %\tGENERATED\tSPEND\t")
	for _, row := range s.Rows {
		row.write(t)
	}
	total := s.Total
	total.Organisation = "total"
	total.write(t)
	return errors.Wrap(t.Flush(), "write report")
}

func (r SpendRow) write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%d\t%.6f\t\n", r.Organisation, r.Item, r.Requests,
		r.Computed, r.Reused, percent(r.Reused, r.Computed+r.Reused), r.Generated, float64(r.Micros)/microsPerUnit)
}

// percent returns part as a percentage of whole, or a dash if whole is zero.
func percent(part, whole int64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%d%%", part*wholePercent/whole)
}
