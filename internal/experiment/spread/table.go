package main

import (
	"fmt"
	"io"

	"gonum.org/v1/gonum/stat"

	"github.com/gravitational/trace"
)

// goal is the upper bound of the p99 propagation time, in seconds.
const goal = 2.0

func writeTable(w io.Writer, commit string, t *propagation, calls []callRates) error {
	fmt.Fprintf(w, "### Commit %s\n\n", commit)
	fmt.Fprintf(w, "%d changes, %d gateways, %d agents, from the confirming write to the last process in force:\n\n", len(t.took), t.gateways, t.agents)
	fmt.Fprint(w, "| p50 | p99 | longest | goal for p99 | met |\n|---|---|---|---|---|\n")
	fmt.Fprintf(w, "| %.1f ms | %.1f ms | %.1f ms | %.0f s | %t |\n\n", ms(t.quantile(0.5)), ms(t.quantile(0.99)), ms(t.quantile(1)), goal, t.quantile(0.99).Seconds() < goal)
	fmt.Fprint(w, "| | bytes for each change | bytes a second when idle |\n|---|---|---|\n")
	fmt.Fprintf(w, "| one agent | %.0f | %.0f |\n| one gateway | %.0f | %.0f |\n\n",
		t.agent.busyPerChange, t.agent.idlePerSecond, t.gateway.busyPerChange, t.gateway.idlePerSecond)
	fmt.Fprintf(w, "One delta to an agent: %.0f bytes; the whole document: %.0f bytes; offers for each agent and change: %.2f.\n\n", t.delta, t.whole, t.offersPerChange)
	fmt.Fprint(w, "| gateways | agents | reads a second | writes a second | watches open |\n|---|---|---|---|---|\n")
	for _, c := range calls {
		fmt.Fprintf(w, "| %d | %d | %.2f | %.2f | %d |\n", c.gateways, c.agents, c.reads, c.writes, c.watches)
	}
	reads := func(c callRates) float64 { return c.reads }
	writes := func(c callRates) float64 { return c.writes }
	fmt.Fprint(w, "\n| slope | with each gateway | with each agent |\n|---|---|---|\n")
	fmt.Fprintf(w, "| reads a second | %.3f | %.4f |\n", slope(calls, gatewaysOf, reads), slope(calls, agentsOf, reads))
	_, err := fmt.Fprintf(w, "| writes a second | %.3f | %.4f |\n", slope(calls, gatewaysOf, writes), slope(calls, agentsOf, writes))
	return trace.Wrap(err)
}

func gatewaysOf(c callRates) float64 { return float64(c.gateways) }
func agentsOf(c callRates) float64   { return float64(c.agents) }

// slope returns the slope of the least-squares line of y over x. Every number of
// gateways is measured with every number of agents, so the two do not correlate.
func slope(calls []callRates, x, y func(callRates) float64) float64 {
	var xs, ys []float64
	for _, c := range calls {
		xs, ys = append(xs, x(c)), append(ys, y(c))
	}
	_, beta := stat.LinearRegression(xs, ys, nil, false)
	return beta
}

func ms(d interface{ Seconds() float64 }) float64 { return d.Seconds() * 1000 }
