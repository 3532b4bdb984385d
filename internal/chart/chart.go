// Package chart draws line charts as SVG for self-contained HTML reports.
package chart

import (
	"bytes"
	"html/template"
	"image/color"
	"math"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	width     = 18 * vg.Centimeter
	height    = 8 * vg.Centimeter
	lineWidth = 1.6
	// maxMarkedPoints is the number of points up to which a series has markers.
	maxMarkedPoints = 30
)

// palette is the colour-blind-safe palette of Okabe and Ito.
var palette = []color.Color{
	color.RGBA{0x00, 0x72, 0xb2, 0xff},
	color.RGBA{0xd5, 0x5e, 0x00, 0xff},
	color.RGBA{0x00, 0x9e, 0x73, 0xff},
	color.RGBA{0xcc, 0x79, 0xa7, 0xff},
	color.RGBA{0xe6, 0x9f, 0x00, 0xff},
	color.RGBA{0x56, 0xb4, 0xe9, 0xff},
}

// Series is one line of a chart; X and Y have equal lengths. Points that are not
// finite, or not greater than zero on a logarithmic axis, are left out.
type Series struct {
	Name string
	X, Y []float64
}

// Chart describes a line chart.
type Chart struct {
	Title  string
	XLabel string
	YLabel string
	LogX   bool
	LogY   bool
	Goal   float64 // position of a horizontal line; 0 for none
	Series []Series
}

// SVG renders the chart. It returns an empty string if there are no points to
// draw.
func (c Chart) SVG() (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.XLabel, c.YLabel
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	drawn, err := c.addSeries(p)
	if err != nil || drawn == 0 {
		return "", trace.Wrap(err)
	}
	if c.Goal > 0 {
		p.Add(goalLine(c.Goal))
		p.Y.Max = math.Max(p.Y.Max, c.Goal)
		p.Y.Min = math.Min(p.Y.Min, c.Goal)
	}
	c.scale(p)
	return render(p)
}

func (c Chart) addSeries(p *plot.Plot) (int, error) {
	drawn := 0
	for i, s := range c.Series {
		pts := c.points(s)
		if len(pts) == 0 {
			continue
		}
		line, marks, err := plotter.NewLinePoints(pts)
		if err != nil {
			return drawn, err
		}
		line.Color, marks.Color = palette[i%len(palette)], palette[i%len(palette)]
		line.Width = lineWidth
		p.Add(line)
		if len(pts) <= maxMarkedPoints {
			p.Add(marks)
		}
		p.Legend.Add(s.Name, line)
		drawn++
	}
	return drawn, nil
}

func (c Chart) points(s Series) plotter.XYs {
	var out plotter.XYs
	for i := range s.X {
		if drawable(s.X[i], c.LogX) && drawable(s.Y[i], c.LogY) {
			out = append(out, plotter.XY{X: s.X[i], Y: s.Y[i]})
		}
	}
	return out
}

func drawable(v float64, log bool) bool {
	return !math.IsNaN(v) && !math.IsInf(v, 0) && (!log || v > 0)
}

func goalLine(y float64) plot.Plotter {
	f := plotter.NewFunction(func(float64) float64 { return y })
	f.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	f.Color = color.Gray{0x60}
	return f
}

// scale configures the axes. An axis whose range is a single value is widened so
// that it can be drawn.
func (c Chart) scale(p *plot.Plot) {
	widen(&p.X, c.LogX)
	widen(&p.Y, c.LogY)
	if c.LogX {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	if c.LogY {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
}

func widen(a *plot.Axis, log bool) {
	if a.Max > a.Min {
		return
	}
	if log {
		a.Min, a.Max = a.Min/2, a.Max*2
		return
	}
	a.Min, a.Max = a.Min-1, a.Max+1
}

func render(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", trace.Wrap(err)
	}
	// An XML declaration is not allowed inside an HTML document.
	at := bytes.Index(b.Bytes(), []byte("<svg"))
	return template.HTML(b.Bytes()[max(at, 0):]), nil
}
