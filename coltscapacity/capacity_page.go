package coltscapacity

// The generated tables of docs/CAPACITY.md are inserted between two markers, so that the
// hand-written text around them is preserved. The plots are SVG files in the folder
// docs/capacity.

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	tablesBegin = "<!-- tables: made by scripts/capacity -->"
	tablesEnd   = "<!-- end of tables -->"
	plotWidth   = 12 * vg.Centimeter
	plotHeight  = 8 * vg.Centimeter
)

// result is a benchmark with its results and the line fitted to them.
type result struct {
	benchmark
	points []Point
	fit    Fit
}

// Run runs all benchmarks and writes the tables and plots into the folder docs.
func Run(docs string) error {
	var all []result
	for _, b := range benchmarks {
		r := result{benchmark: b}
		for _, size := range b.sizes {
			r.points = append(r.points, Point{Size: size, Value: b.run(int(size))})
		}
		r.fit = fit(r.points)
		all = append(all, r)
		if err := r.draw(filepath.Join(docs, "capacity", r.fileName())); err != nil {
			return err
		}
	}
	return writeTables(filepath.Join(docs, "CAPACITY.md"), renderTables(all))
}

// fileName returns the name of the plot's file.
func (r result) fileName() string {
	return strings.NewReplacer(" ", "-", ",", "", "'", "").Replace(r.name) + ".svg"
}

// renderTables returns the tables of the page as Markdown.
func renderTables(all []result) string {
	var b strings.Builder
	b.WriteString("| measurement | points (size: value) | slope | base | error of the fit | plot |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range all {
		var points []string
		for _, p := range r.points {
			points = append(points, fmt.Sprintf("%.0f: %.3g", p.Size, p.Value))
		}
		fmt.Fprintf(&b, "| %s, %s by %s | %s | %.3g | %.3g | %.0f%% | [plot](capacity/%s) |\n",
			r.name, r.unit, r.size, strings.Join(points, "; "), r.fit.Slope, r.fit.Base, r.fit.MaxRelativeError*wholePercent, r.fileName())
	}
	b.WriteString("\n| role | value at the planned size | derived figure | limit | margin | mechanism |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range all {
		plannedValue := r.fit.at(r.planned)
		at := fmt.Sprintf("%s at %.0f %s: %.3g %s", r.name, r.planned, r.size, plannedValue, r.unit)
		if len(r.derived) == 0 {
			fmt.Fprintf(&b, "| %s | %s | | | | %s |\n", r.role, at, r.mechanism)
		}
		for _, f := range r.derived {
			value := f.compute(plannedValue)
			fmt.Fprintf(&b, "| %s | %s | %.3g %s %s | %s | %s | %s |\n", r.role, at, value, f.unit, f.description, f.formatLimit(), f.formatMargin(value), r.mechanism)
		}
	}
	b.WriteString("\nLog compaction, compared at ten thousand to a million calls kept:\n\n")
	b.WriteString(compactionTable())
	fmt.Fprintf(&b, "\nOne call that must not run twice writes %d bytes to the log (grant and settlement, answer of 100 bytes).\n", loggedBytesPerCall())
	return b.String()
}

// formatLimit returns the limit with its unit.
func (f derivedFigure) formatLimit() string {
	if f.limit == 0 {
		return "none"
	}
	return fmt.Sprintf("%.4g %s", f.limit, f.unit)
}

// formatMargin returns how far the value is under or over the limit, as a factor; empty if
// there is no limit.
func (f derivedFigure) formatMargin(value float64) string {
	switch {
	case f.limit == 0:
		return ""
	case value > f.limit:
		return fmt.Sprintf("**over, %.1f times**", value/f.limit)
	}
	return fmt.Sprintf("%.2g times under", f.limit/value)
}

// writeTables replaces the text between the markers of the page by content.
func writeTables(page, content string) error {
	text, err := os.ReadFile(page)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	before, rest, found := strings.Cut(string(text), tablesBegin)
	_, after, closed := strings.Cut(rest, tablesEnd)
	if !found || !closed {
		return errors.Errorf("%s has no markers for the generated tables", page)
	}
	changed := before + tablesBegin + "\n\n" + content + "\n" + tablesEnd + after
	return errors.Wrap(os.WriteFile(page, []byte(changed), 0o644), "write page")
}

// draw plots the points and the fitted line into an SVG file.
func (r result) draw(file string) error {
	p := plot.New()
	p.Title.Text = r.name
	p.X.Label.Text = r.size
	p.Y.Label.Text = r.unit
	xys := make(plotter.XYs, 0, len(r.points))
	for _, point := range r.points {
		xys = append(xys, plotter.XY{X: point.Size, Y: point.Value})
	}
	scatter, err := plotter.NewScatter(xys)
	if err != nil {
		return errors.Wrap(err, "plot points")
	}
	line := plotter.NewFunction(r.fit.at)
	p.Add(scatter, line, plotter.NewGrid())
	p.X.Min = 0
	p.X.Max = max(r.points[len(r.points)-1].Size, r.planned)
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save plot")
}
