package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// WriteText writes the report as plain text for a terminal.
func (r *Report) WriteText(w io.Writer) error {
	s := r.Summary
	fmt.Fprintf(w, "%s: %d requests, seed %d, load %.2f\n\n", r.Mix, s.Requests, s.Seed, s.Load)
	for _, f := range finals {
		if n := s.Finals[f]; n > 0 {
			fmt.Fprintf(w, "%-8s %d\n", f, n)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Codes)) {
		fmt.Fprintf(w, "  %s %d\n", name, s.Codes[name])
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "\nprompt to\trequests\twhole\trefused\tfirst token p50 ms\tp95 ms\tp99 ms\tend p95 ms\t\n")
	for _, c := range s.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", c.Class, c.Requests, c.Whole, c.Refused,
			c.FirstToken.P50*1000, c.FirstToken.P95*1000, c.FirstToken.P99*1000, c.Took.P95*1000)
	}
	if err := t.Flush(); err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintf(w, "\nuseful work %.0f tokens/s, %.0f of them of prompts above 32k\n", s.UsefulTokens, s.LongTokens)
	if sl := r.Slowdown; sl != nil {
		fmt.Fprintf(w, "slowdown of short requests: p50 %.2f, p95 %.2f of %d pairs, %d missing\n", sl.P50, sl.P95, sl.Pairs, sl.Missing)
	}
	return r.writeBreaches(w)
}

func (r *Report) writeBreaches(w io.Writer) error {
	for _, b := range Breaches {
		if n := r.Summary.Breaches[b]; n > 0 {
			fmt.Fprintf(w, "BROKEN: %s: %d\n", b, n)
		}
	}
	if !r.Summary.Joined {
		fmt.Fprintln(w, "executors' records are missing: executions were not judged")
	}
	_, err := fmt.Fprintln(w)
	return trace.Wrap(err)
}
