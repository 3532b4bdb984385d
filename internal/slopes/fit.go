package main

import (
	"fmt"

	"gonum.org/v1/gonum/stat"
)

const (
	// minRSquared is the coefficient of determination below which a line is
	// reported as a bad fit.
	minRSquared = 0.9
	// minPoints is the number of points below which a fit is meaningless.
	minPoints = 3
)

// report prints the fitted line of each metric over a series of fleet sizes.
func report(over string, numbers []int, points []point) {
	fmt.Printf("\nslopes over %s\n", over)
	x := make([]float64, len(numbers))
	for i, n := range numbers {
		x[i] = float64(n)
	}
	metrics := []struct {
		name, unit string
		of         func(point) float64
	}{
		{"gateway processor", "% of a core", func(p point) float64 { return p.gateway.cpu * 100 }},
		{"gateway bytes", "B/s", func(p point) float64 { return p.gateway.bytes }},
		{"gateway resident", "MB", func(p point) float64 { return p.gateway.resident / 1e6 }},
		{"gateway private", "MB", func(p point) float64 { return p.gateway.private / 1e6 }},
		{"agent processor", "% of a core", func(p point) float64 { return p.agent.cpu * 100 }},
		{"agent bytes", "B/s", func(p point) float64 { return p.agent.bytes }},
		{"agent resident", "MB", func(p point) float64 { return p.agent.resident / 1e6 }},
		{"agent private", "MB", func(p point) float64 { return p.agent.private / 1e6 }},
		{"platform reads", "1/s", func(p point) float64 { return p.reads }},
		{"platform writes", "1/s", func(p point) float64 { return p.writes }},
	}
	for _, f := range metrics {
		y := make([]float64, len(points))
		for i, p := range points {
			y[i] = f.of(p)
		}
		fmt.Println(fitLine(f.name, f.unit, x, y))
	}
}

// fitLine fits a line to the points and describes it and the quality of the fit.
func fitLine(name, unit string, x, y []float64) string {
	base, slope := stat.LinearRegression(x, y, nil, false)
	r2 := stat.RSquared(x, y, nil, base, slope)
	residual := 0.0
	for i := range x {
		residual = max(residual, abs(y[i]-base-slope*x[i]))
	}
	text := fmt.Sprintf("%-18s %10.4f + %8.5f n %-12s R2 %.3f, largest residual %.4f", name, base, slope, unit, r2, residual)
	switch {
	case len(x) < minPoints:
		text += "  (too few points)"
	case r2 < minRSquared:
		text += "  (bad fit)"
	}
	return text
}

func abs(v float64) float64 { return max(v, -v) }
