package main

import (
	"fmt"

	"gonum.org/v1/gonum/stat"
)

const (
	// badFit is the coefficient of determination below which a line is called
	// a bad fit.
	badFit = 0.9
	// leastPoints is the number of points below which a fit says nothing.
	leastPoints = 3
)

// report prints a line through each figure of a series.
func report(over string, numbers []int, points []point) {
	fmt.Printf("\nslopes over %s\n", over)
	x := make([]float64, len(numbers))
	for i, n := range numbers {
		x[i] = float64(n)
	}
	figures := []struct {
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
	for _, f := range figures {
		y := make([]float64, len(points))
		for i, p := range points {
			y[i] = f.of(p)
		}
		fmt.Println(line(f.name, f.unit, x, y))
	}
}

// line fits a line and says how well it fits.
func line(name, unit string, x, y []float64) string {
	base, slope := stat.LinearRegression(x, y, nil, false)
	r2 := stat.RSquared(x, y, nil, base, slope)
	residual := 0.0
	for i := range x {
		residual = max(residual, abs(y[i]-base-slope*x[i]))
	}
	text := fmt.Sprintf("%-18s %10.4f + %8.5f n %-12s R2 %.3f, largest residual %.4f", name, base, slope, unit, r2, residual)
	switch {
	case len(x) < leastPoints:
		text += "  (too few points)"
	case r2 < badFit:
		text += "  (bad fit)"
	}
	return text
}

func abs(v float64) float64 { return max(v, -v) }
