// Package coltscapacity measures how the system's costs grow with its size, and
// extrapolates them to the size that the users plan for.
package coltscapacity

// Each benchmark runs at several sizes that span at least a factor of ten, and a line is
// fitted to the results. The program computes all derived figures on the page from the
// fitted lines, so that no figure can be older than the measurement next to it.

import (
	"math"
	"runtime"
	"time"
)

// Point is the result of a benchmark at one size.
type Point struct {
	Size  float64
	Value float64
}

// Fit is the line value = Base + Slope × size, fitted to points.
type Fit struct {
	Base  float64
	Slope float64
	// MaxRelativeError is the largest vertical distance of a point from the line, as a share of the
	// largest value: 0.05 is 5% of it.
	MaxRelativeError float64
}

// fit returns the least-squares line through the points.
func fit(points []Point) Fit {
	n := float64(len(points))
	var sx, sy, sxx, sxy, largest float64
	for _, p := range points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
		largest = max(largest, p.Value)
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	f := Fit{Slope: slope, Base: (sy - slope*sx) / n}
	for _, p := range points {
		f.MaxRelativeError = max(f.MaxRelativeError, math.Abs(p.Value-f.Base-f.Slope*p.Size)/largest)
	}
	return f
}

// at returns the value of the line at a size.
func (f Fit) at(size float64) float64 {
	return f.Base + f.Slope*size
}

// benchmark measures one cost at several sizes.
type benchmark struct {
	// name is shown in the tables; the name of the plot's file is derived from it.
	name string
	// size is the name of the quantity that grows, such as "runners".
	size string
	// unit is the unit of the measured value.
	unit string
	// sizes are the sizes at which the benchmark runs.
	sizes []float64
	// planned is the size that the users plan for.
	planned float64
	// run returns the measured value at a size.
	run func(size int) float64
	// role is the part of the system that the cost belongs to.
	role string
	// mechanism is the code that causes the cost.
	mechanism string
	// derived are the figures computed from the value at the planned size.
	derived []derivedFigure
}

// derivedFigure is a figure computed from a benchmark's value at the planned size, such as
// a share of a core.
type derivedFigure struct {
	description string
	// compute returns the figure, in unit, for the value at the planned size.
	compute func(value float64) float64
	unit    string
	// limit is the users' limit, in unit; zero means no limit.
	limit float64
}

// timingRuns is the number of runs of each timed function. The shortest run counts,
// because other load on the machine can only add to the time.
const timingRuns = 3

// minSecondsPerOp returns the shortest time of a run of fn, which performs n operations, in
// seconds for each operation.
func minSecondsPerOp(n int, fn func()) float64 {
	least := math.Inf(1)
	for range timingRuns {
		begin := time.Now()
		fn()
		least = min(least, time.Since(begin).Seconds())
	}
	return least / float64(n)
}

// heapBytes returns the heap memory held by the value that fn returns, in bytes.
func heapBytes(fn func() any) float64 {
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	value := fn()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
