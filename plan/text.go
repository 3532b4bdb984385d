package plan

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteText writes the plan as text: the changes, the capacity during the change,
// the orders by data centre and round, and the violations.
func (p *Plan) WriteText(w io.Writer) {
	fmt.Fprintf(w, "plan %s over generation %d\n", p.ID, p.BaseGeneration)
	if p.Empty() {
		fmt.Fprintln(w, "\nnothing changes; confirming would only raise the generation")
		return
	}
	if p.Assumed {
		fmt.Fprintln(w, "no gateway was asked: the base is taken as in force on every declared endpoint")
	}
	if len(p.NewEndpoints) > 0 {
		fmt.Fprintf(w, "taken as there and empty, since no gateway knows them yet: %d endpoints\n", len(p.NewEndpoints))
	}
	fmt.Fprintln(w, "\nchanges:")
	WriteChanges(w, p.Changes)
	p.writeCapacity(w)
	p.writeSteps(w)
	p.writeViolations(w)
}

// WriteChanges writes one line for each section and an indented line for each of its keys.
func WriteChanges(w io.Writer, changes []Change) {
	sign := map[Action]string{Add: "+", Remove: "-", Alter: "~"}
	for _, c := range changes {
		fmt.Fprintf(w, "  %s [%s]\n", sign[c.Action], c.Section)
		for _, f := range c.Fields {
			if c.Action == Add {
				fmt.Fprintf(w, "      %s = %s\n", f.Key, f.To)
			} else {
				fmt.Fprintf(w, "      %s: %s -> %s\n", f.Key, orNone(f.From), orNone(f.To))
			}
		}
	}
}

// orNone returns s, or a placeholder for an absent value.
func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

// writeCapacity writes the capacity table.
func (p *Plan) writeCapacity(w io.Writer) {
	if len(p.Capacity) == 0 {
		return
	}
	fmt.Fprintln(w, "\ncapacity, in serving endpoints:")
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "  model\tdata centre\tbefore\tlowest\tafter\tfloor\twanted")
	for _, c := range p.Capacity {
		fmt.Fprintf(t, "  %s\t%s\t%d\t%d\t%d\t%d\t%d\n", c.Model, c.DataCentre, c.Before, c.Lowest, c.After, c.Floor, c.Wanted)
	}
	_ = t.Flush()
}

// writeSteps writes the orders by data centre and round.
func (p *Plan) writeSteps(w io.Writer) {
	if len(p.Steps) == 0 {
		fmt.Fprintln(w, "\nno endpoint changes what it holds")
		return
	}
	fmt.Fprintf(w, "\norders: %d\n", len(p.Steps))
	dc, round := "", 0
	for _, s := range p.Steps {
		if s.DataCentre != dc || s.Round != round {
			dc, round = s.DataCentre, s.Round
			fmt.Fprintf(w, "  %s, round %d\n", dc, round)
		}
		fmt.Fprintf(w, "      %s: %s\n", s.Endpoint, s)
	}
}

// String returns the order without its endpoint.
func (s Step) String() string {
	text := string(s.Kind)
	if s.Model != "" {
		text += " " + s.Model + " " + s.Version
	}
	return strings.TrimRight(text+" "+s.Adapter+s.Role, " ")
}

// writeViolations writes each violation and whether it is forced.
func (p *Plan) writeViolations(w io.Writer) {
	if len(p.Violations) == 0 {
		return
	}
	fmt.Fprintln(w, "\nbroken promises:")
	for _, b := range p.Violations {
		state := "refused; force it by this name"
		if b.Forced {
			state = "forced"
		}
		fmt.Fprintf(w, "  %s: %s (%s)\n", b.Name, b.Detail, state)
	}
}
