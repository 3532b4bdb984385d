package bench

import (
	"fmt"
	"io"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/load"
)

// WriteTable writes the result as Markdown for docs/MEASUREMENTS.md: the goals,
// then the metrics of each policy. Values are the median and, in parentheses,
// the minimum and maximum over the seeds.
func WriteTable(w io.Writer, r *Result, commit string) error {
	fmt.Fprintf(w, "\n### Commit %s\n\n", commit)
	fmt.Fprint(w, "| goal | wanted | measured | met |\n|---|---|---|---|\n")
	for _, l := range EvaluateGoals(r) {
		fmt.Fprintf(w, "| %s | %s | %s | %s |\n", l.Name, l.Goal, l.Value, l.verdict())
	}
	writePolicies(w, r)
	writeOverload(w, r)
	_, err := fmt.Fprintln(w)
	return trace.Wrap(err)
}

func (l GoalResult) verdict() string {
	switch {
	case !l.Measured:
		return "not measured"
	case l.Met:
		return "yes"
	default:
		return "**no**"
	}
}

// String formats the median and the range.
func (s Spread) String() string {
	switch s.N {
	case 0:
		return "none"
	case 1:
		return formatValue(s.Median)
	default:
		return fmt.Sprintf("%s (%s to %s)", formatValue(s.Median), formatValue(s.Min), formatValue(s.Max))
	}
}

// formatValue formats v with three significant digits, or as an integer from 100
// on.
func formatValue(v float64) string {
	if v >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// columns are the metrics in the table of policies.
var columns = []struct {
	name  string
	value func(*load.Report) float64
}{
	{"slowdown p50", func(r *load.Report) float64 { return r.Slowdown.P50 }},
	{"slowdown p95", slowdown},
	{"ratio of p95", func(r *load.Report) float64 { return r.Slowdown.RatioOfP95 }},
	{"4k ms", firstToken(0)},
	{"32k ms", firstToken(1)},
	{"128k ms", firstToken(2)},
	{"1M ms", firstToken(3)},
	{"useful k/s", func(r *load.Report) float64 { return r.Summary.UsefulTokens / 1000 }},
	{"long k/s", func(r *load.Report) float64 { return r.Summary.LongTokens / 1000 }},
	{"refused", func(r *load.Report) float64 { return float64(r.Summary.Finals[load.Refused]) }},
}

func firstToken(class int) func(*load.Report) float64 {
	return func(r *load.Report) float64 { return r.Summary.Classes[class].FirstToken.P95 * 1000 }
}

func writePolicies(w io.Writer, r *Result) {
	if len(r.Compared) == 0 {
		return
	}
	fmt.Fprintf(w, "\nLoad %.2g; first token p95 by class; tokens a second.\n\n| policy |", r.Compared[0].Load)
	for _, f := range columns {
		fmt.Fprintf(w, " %s |", f.name)
	}
	fmt.Fprint(w, "\n|---|")
	for range columns {
		fmt.Fprint(w, "---|")
	}
	fmt.Fprintln(w)
	for _, p := range Policies {
		writePolicy(w, r, p)
	}
}

func writePolicy(w io.Writer, r *Result, policy string) {
	if len(r.perSeed(policy, slowdown)) == 0 {
		return
	}
	fmt.Fprintf(w, "| %s |", policy)
	for _, f := range columns {
		fmt.Fprintf(w, " %s |", spread(r.perSeed(policy, f.value)))
	}
	fmt.Fprintln(w)
}

func writeOverload(w io.Writer, r *Result) {
	if len(r.Overload) == 0 {
		return
	}
	fmt.Fprint(w, "\nDefault policy over the load.\n\n| load | seed | requests | whole | refused | other | useful k/s | refusal p95 ms | 4k first token p95 ms |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, c := range r.Overload {
		s := c.Report.Summary
		whole, refused := s.Finals[load.Whole], s.Finals[load.Refused]
		fmt.Fprintf(w, "| %.2f | %d | %d | %d | %d | %d | %.0f | %.0f | %.0f |\n", c.Load, c.Seed, s.Requests, whole, refused,
			s.Requests-whole-refused, s.UsefulTokens/1000, s.Refusals.P95*1000, s.Classes[0].FirstToken.P95*1000)
	}
}

// summaryLine summarizes a report in one line for the progress log.
func summaryLine(r *load.Report) string {
	s := r.Summary
	text := fmt.Sprintf("final states %v, codes %v, breaches %v, useful %.0f k/s, first token p95", s.Finals, s.Codes, s.Breaches, s.UsefulTokens/1000)
	for _, c := range s.Classes {
		text += fmt.Sprintf(" %s %.0f ms", c.Class, c.FirstToken.P95*1000)
	}
	if r.Slowdown != nil {
		text += fmt.Sprintf(", slowdown p50 %.2f p95 %.2f", r.Slowdown.P50, r.Slowdown.P95)
	}
	return text
}
