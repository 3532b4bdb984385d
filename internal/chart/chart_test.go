package chart_test

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/internal/chart"
)

func TestSVG(t *testing.T) {
	cases := []struct {
		name  string
		chart chart.Chart
		want  string // text in the SVG; empty if nothing is drawn
	}{
		{"nothing", chart.Chart{}, ""},
		{"no finite point", chart.Chart{Series: []chart.Series{{X: []float64{1}, Y: []float64{math.NaN()}}}}, ""},
		{"no point above zero", chart.Chart{LogX: true, Series: []chart.Series{{X: []float64{0}, Y: []float64{1}}}}, ""},
		{"one point", chart.Chart{LogX: true, LogY: true, Series: []chart.Series{{Name: "4k", X: []float64{2}, Y: []float64{3}}}}, "4k"},
		{"goal", chart.Chart{Title: "Burn", Goal: 14, Series: []chart.Series{{Name: "a", X: []float64{0, 1}, Y: []float64{1, 2}}}}, "Burn"},
		{"markup", chart.Chart{Series: []chart.Series{{Name: "<script>", X: []float64{0, 1}, Y: []float64{1, 2}}}}, "&lt;script&gt;"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			svg, err := c.chart.SVG()
			is.NoErr(err)
			is.True(strings.Contains(string(svg), c.want))
			is.True(c.want == "" == (svg == ""))
			is.True(!strings.Contains(string(svg), "<?xml"))
		})
	}
}
