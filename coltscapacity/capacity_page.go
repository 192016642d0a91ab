package coltscapacity

// The tables of docs/CAPACITY.md are put between two marks, so that what people
// write around them stays; the curves are SVG files beside the page.

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

// taken is a measure with its points.
type taken struct {
	measure
	points []Point
	fit    Fit
}

// Run takes every measure and writes tables and curves into a folder of pages.
func Run(docs string) error {
	var all []taken
	for _, m := range table {
		t := taken{measure: m}
		for _, size := range m.sizes {
			t.points = append(t.points, Point{Size: size, Value: m.take(int(size))})
		}
		t.fit = fit(t.points)
		all = append(all, t)
		if err := t.draw(filepath.Join(docs, "capacity", t.fileName())); err != nil {
			return err
		}
	}
	return writeTables(filepath.Join(docs, "CAPACITY.md"), tables(all))
}

func (t taken) fileName() string {
	return strings.NewReplacer(" ", "-", ",", "", "'", "").Replace(t.name) + ".svg"
}

// tables returns the page's tables.
func tables(all []taken) string {
	var b strings.Builder
	b.WriteString("| measure | points (size: value) | slope | base | error of the fit | curve |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, t := range all {
		var points []string
		for _, p := range t.points {
			points = append(points, fmt.Sprintf("%.0f: %.3g", p.Size, p.Value))
		}
		fmt.Fprintf(&b, "| %s, %s by %s | %s | %.3g | %.3g | %.0f%% | [curve](capacity/%s) |\n",
			t.name, t.unit, t.size, strings.Join(points, "; "), t.fit.Slope, t.fit.Base, t.fit.Error*wholePercent, t.fileName())
	}
	b.WriteString("\n| role | measure at the planned size | comes to | limit | margin | mechanism |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, t := range all {
		atPlan := t.fit.at(t.planned)
		at := fmt.Sprintf("%s at %.0f %s: %.3g %s", t.name, t.planned, t.size, atPlan, t.unit)
		if len(t.sums) == 0 {
			fmt.Fprintf(&b, "| %s | %s | | | | %s |\n", t.role, at, t.mechanism)
		}
		for _, s := range t.sums {
			value := s.of(atPlan)
			fmt.Fprintf(&b, "| %s | %s | %.3g %s %s | %s | %s | %s |\n", t.role, at, value, s.unit, s.what, s.limitText(), s.margin(value), t.mechanism)
		}
	}
	b.WriteString("\nKeeping the log short, compared at 10 thousand to a million calls kept:\n\n")
	b.WriteString(compaction())
	fmt.Fprintf(&b, "\nOne call that may not be repeated puts %d bytes into the log (grant and settlement, answer of 100 bytes).\n", bookingBytes())
	return b.String()
}

func (s sum) limitText() string {
	if s.limit == 0 {
		return "none"
	}
	return fmt.Sprintf("%.4g %s", s.limit, s.unit)
}

func (s sum) margin(value float64) string {
	switch {
	case s.limit == 0:
		return ""
	case value > s.limit:
		return fmt.Sprintf("**over, %.1f times**", value/s.limit)
	}
	return fmt.Sprintf("%.2g times under", s.limit/value)
}

// writeTables puts the tables into the page.
func writeTables(page, content string) error {
	text, err := os.ReadFile(page)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	before, rest, found := strings.Cut(string(text), tablesBegin)
	_, after, closed := strings.Cut(rest, tablesEnd)
	if !found || !closed {
		return errors.Errorf("%s lacks the marks of its tables", page)
	}
	changed := before + tablesBegin + "\n\n" + content + "\n" + tablesEnd + after
	return errors.Wrap(os.WriteFile(page, []byte(changed), 0o644), "write page")
}

// draw writes the points and their line as an SVG.
func (t taken) draw(file string) error {
	p := plot.New()
	p.Title.Text = t.name
	p.X.Label.Text = t.size
	p.Y.Label.Text = t.unit
	xys := make(plotter.XYs, 0, len(t.points))
	for _, point := range t.points {
		xys = append(xys, plotter.XY{X: point.Size, Y: point.Value})
	}
	scatter, err := plotter.NewScatter(xys)
	if err != nil {
		return errors.Wrap(err, "plot points")
	}
	line := plotter.NewFunction(t.fit.at)
	p.Add(scatter, line, plotter.NewGrid())
	p.X.Min = 0
	p.X.Max = max(t.points[len(t.points)-1].Size, t.planned)
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save curve")
}
