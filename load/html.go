package load

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/internal/chart"
)

//go:embed report.html.tmpl
var reportText string

var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"ms":     func(s float64) string { return fmt.Sprintf("%.1f", s*1000) },
	"ratio":  func(v float64) string { return fmt.Sprintf("%.2f", v) },
	"finals": func() []Final { return finals },
	"promises": func() []Breach {
		return Breaches
	},
}).Parse(reportText))

// finals lists all final states in the order used in reports.
var finals = []Final{Whole, Refused, Unknown, Failed, CutOff, Damaged, Lost, Unsent}

// distributionTicks is the number of points drawn for each halving of the
// remaining part of a distribution.
const distributionTicks = 10

type reportPage struct {
	*Report
	FirstToken template.HTML
	Slow       template.HTML
}

// WriteHTML writes the report as one self-contained HTML page.
func (r *Report) WriteHTML(w io.Writer) error {
	page := reportPage{Report: r}
	var err error
	if page.FirstToken, err = r.firstTokenChart().SVG(); err != nil {
		return trace.Wrap(err)
	}
	if page.Slow, err = r.slowdownChart().SVG(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(reportTemplate.Execute(w, page))
}

// firstTokenChart plots the percentage of requests whose first token arrived
// within a given time.
func (r *Report) firstTokenChart() chart.Chart {
	c := chart.Chart{Title: "Time to first token by prompt length", XLabel: "seconds", YLabel: "% of requests", LogX: true}
	for _, cl := range r.Summary.Classes {
		s := chart.Series{Name: cl.Class}
		for _, b := range cl.FirstTokenHist.CumulativeDistributionWithTicks(distributionTicks) {
			s.X = append(s.X, seconds(b.ValueAt))
			s.Y = append(s.Y, b.Quantile)
		}
		if cl.FirstToken.Count > 0 {
			c.Series = append(c.Series, s)
		}
	}
	return c
}

// slowdownChart plots the percentage of short requests slowed down by at most a
// given factor.
func (r *Report) slowdownChart() chart.Chart {
	c := chart.Chart{Title: "Slowdown of short requests", XLabel: "time beside long work over time alone", YLabel: "% of requests", LogX: true}
	if r.Slowdown == nil {
		return c
	}
	s := chart.Series{Name: "end"}
	for i, v := range r.Slowdown.Ratios {
		s.X = append(s.X, v)
		s.Y = append(s.Y, 100*float64(i+1)/float64(len(r.Slowdown.Ratios)))
	}
	c.Series = []chart.Series{s}
	return c
}
