package burn

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/internal/chart"
	"github.com/micarudder/micarudder/slo"
)

//go:embed report.html.tmpl
var reportTemplateText string

var reportTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"rate":    formatRate,
	"percent": formatPercent,
	"span":    formatDuration,
}).Parse(reportTemplateText))

// Report is the state of all objectives at one point in time.
type Report struct {
	At       time.Time `json:"at"`
	Gateways int       `json:"gateways"` // number of gateways in the last sample
	Samples  int       `json:"samples"`
	Rows     []slo.Row `json:"rows"`

	samples    []slo.Sample
	objectives []slo.Objective
	windows    []slo.Window
}

// NewReport computes the report from samples ordered by time.
func NewReport(samples []slo.Sample, now time.Time, c *slo.Config) *Report {
	r := &Report{At: now, Samples: len(samples), samples: samples, objectives: c.Objectives(), windows: c.WindowList()}
	if len(samples) > 0 {
		r.Gateways = len(samples[len(samples)-1].Gateways)
	}
	r.Rows = slo.Report(samples, now, r.objectives, r.windows)
	return r
}

// Firing returns the most urgent severity of all rows, or "" if none fires.
func (r *Report) Firing() slo.Severity {
	out := slo.Severity("")
	for _, row := range r.Rows {
		if s := row.Firing(); s != "" && out != slo.Page {
			out = s
		}
	}
	return out
}

// WriteText writes the report as a table with a line for each objective and target.
func (r *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%s: %d samples, %d gateways\n\n", r.At.UTC().Format(time.RFC3339), r.Samples, r.Gateways)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "OBJECTIVE\tGOOD\tWORKSPACE\tCLASS\tEVENTS\tBAD")
	for _, window := range r.windows {
		fmt.Fprintf(t, "\t%s/%s", formatDuration(window.Long), formatDuration(window.Short))
	}
	fmt.Fprint(t, "\tSTATE\n")
	for _, row := range r.Rows {
		writeRow(t, row)
	}
	if err := t.Flush(); err != nil {
		return trace.Wrap(err)
	}
	return r.writePartialWindows(w)
}

func writeRow(w io.Writer, row slo.Row) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.0f\t%.0f", row.Indicator, formatPercent(row.Good), row.Workspace, row.Class, row.Events, row.Bad)
	for _, b := range row.Burns {
		fmt.Fprintf(w, "\t%s/%s", formatRate(b.LongBurn), formatRate(b.ShortBurn))
	}
	state := string(row.Firing())
	if state == "" {
		state = "ok"
	}
	fmt.Fprintf(w, "\t%s\n", state)
}

// writePartialWindows lists the windows that the samples cover only partly.
func (r *Report) writePartialWindows(w io.Writer) error {
	if len(r.Rows) == 0 {
		_, err := fmt.Fprintln(w, "\nno events yet; at least two samples are needed")
		return trace.Wrap(err)
	}
	for _, b := range r.Rows[0].Burns {
		if b.Covered < b.Long {
			fmt.Fprintf(w, "\nthe samples reach back %s of the %s window", formatDuration(b.Covered), formatDuration(b.Long))
		}
	}
	_, err := fmt.Fprintln(w)
	return trace.Wrap(err)
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return trace.Wrap(e.Encode(r))
}

// page is the data of the HTML template.
type page struct {
	*Report
	Windows []slo.Window
	Plots   []template.HTML
}

// WriteHTML writes the report as a self-contained HTML page.
func (r *Report) WriteHTML(w io.Writer) error {
	p := page{Report: r, Windows: r.windows}
	for _, o := range r.objectives {
		svg, err := r.chart(o).SVG()
		if err != nil {
			return trace.Wrap(err)
		}
		if svg != "" {
			p.Plots = append(p.Plots, svg)
		}
	}
	return trace.Wrap(reportTemplate.Execute(w, p))
}

// chart returns a chart of an objective's burn rate over the short window of the
// first pair, for all workspaces together and for each of them.
func (r *Report) chart(o slo.Objective) chart.Chart {
	window := r.windows[0]
	c := chart.Chart{
		Title:  fmt.Sprintf("%s: burn rate over %s", o.Indicator, formatDuration(window.Short)),
		XLabel: "minutes before the report",
		YLabel: "times the budget",
		Goal:   window.Rate,
	}
	for _, row := range r.Rows {
		if row.Objective != o || row.Class != slo.All {
			continue
		}
		times, rates := slo.Series(r.samples, o, row.Target, window.Short)
		s := chart.Series{Name: row.Workspace, Y: rates}
		for _, t := range times {
			s.X = append(s.X, t.Sub(r.At).Minutes())
		}
		c.Series = append(c.Series, s)
	}
	return c
}

func formatRate(v float64) string { return fmt.Sprintf("%.2f", v) }

func formatPercent(v float64) string { return fmt.Sprintf("%.4g%%", v*100) }

// formatDuration formats a duration, without the units that are zero where it is a
// multiple of an hour or a minute.
func formatDuration(d time.Duration) string {
	switch {
	case d >= time.Hour && d%time.Hour == 0:
		return fmt.Sprintf("%dh", d/time.Hour)
	case d >= time.Minute && d%time.Minute == 0:
		return fmt.Sprintf("%dm", d/time.Minute)
	default:
		return d.Round(time.Second).String()
	}
}
