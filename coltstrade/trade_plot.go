package coltstrade

// A plot of the scores shows whether a variant's advantage holds for any number of gateways.

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// Plot writes an SVG file with the mean score of the seeds by number of gateways, with a line for each
// variant.
func Plot(file, title string, results []*Result) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "gateways", "score"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Legend.Top = true
	var lines []any
	for _, variant := range distinct(results, func(r *Result) string { return r.Variant.Name }) {
		var points plotter.XYs
		for _, gateways := range distinct(results, func(r *Result) int { return r.Gateways }) {
			sum, n := 0.0, 0.0
			for _, r := range results {
				if r.Variant.Name == variant && r.Gateways == gateways {
					sum, n = sum+r.Score(), n+1
				}
			}
			points = append(points, plotter.XY{X: float64(gateways), Y: sum / n})
		}
		lines = append(lines, variant, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "plot scores")
	}
	p.Add(plotter.NewGrid())
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save plot")
}

// distinct returns the different values of results in order of their first occurrence.
func distinct[T comparable](results []*Result, value func(*Result) T) []T {
	var values []T
	seen := map[T]bool{}
	for _, r := range results {
		if v := value(r); !seen[v] {
			values, seen[v] = append(values, v), true
		}
	}
	return values
}
