package ctl

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

type explainCommand struct {
	app  *app
	Logs []string `long:"log" value-name:"FILE" description:"read what relaying gateways logged instead of asking gateways; - is standard input; may stand more than once"`
	Args struct {
		Request string `positional-arg-name:"REQUEST" required:"true" description:"request id, from the Rudder-Request-Id header or as the caller of a relaying gateway chose it"`
	} `positional-args:"true"`
}

// gatewayDecisions is the JSON output for the decisions recorded by one gateway.
type gatewayDecisions struct {
	Gateway   string               `json:"gateway"`
	Decisions []*rudderv1.Decision `json:"decisions"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	if len(c.Logs) > 0 {
		return c.explainLogs()
	}
	if len(c.app.Gateways) == 0 {
		return usageError("--gateway or RUDDER_GATEWAYS is needed")
	}
	clients, err := c.app.gatewayClients()
	if err != nil {
		return err
	}
	var found []gatewayDecisions
	var lastErr error
	for i, client := range clients {
		r, err := client.Explain(c.app.ctx, connect.NewRequest(&rudderv1.ExplainRequest{RequestId: c.Args.Request}))
		switch {
		case err != nil:
			lastErr = err
		case r.Msg.Found:
			found = append(found, gatewayDecisions{c.app.Gateways[i], r.Msg.Decisions})
		}
	}
	if lastErr != nil {
		c.app.exit = ExitPartial
	}
	switch {
	case len(found) > 0:
		return c.write(found)
	case lastErr != nil:
		return result.New(result.PlatformAway, "no answering gateway knows the request: "+lastErr.Error())
	default:
		return result.New(result.UnknownRun, "no gateway has a record of request "+c.Args.Request)
	}
}

func (c *explainCommand) write(found []gatewayDecisions) error {
	if c.app.JSON {
		return c.app.writeJSON(found)
	}
	for _, f := range found {
		c.app.printf("gateway %s\n", f.Gateway)
		for _, d := range f.Decisions {
			c.printDecision(d)
		}
	}
	return nil
}

func (c *explainCommand) printDecision(d *rudderv1.Decision) {
	c.app.printf("  attempt %d, %d ms ago: %s: %s\n", d.Attempt, d.AgeMs, firstOrDash(d.Picked), d.Reason)
	t := tabwriter.NewWriter(c.app.Stdout, 0, 0, 2, ' ', 0)
	for _, s := range d.Candidates {
		if !s.Kept {
			fmt.Fprintf(t, "    %s\tfiltered by %s\t\n", s.Endpoint, s.FilteredBy)
			continue
		}
		fmt.Fprintf(t, "    %s\t%.3f\t%s\n", s.Endpoint, s.Score, formatScoreParts(s.Parts))
	}
	_ = t.Flush()
}

func formatScoreParts(parts map[string]float64) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		out = append(out, fmt.Sprintf("%s=%.3f", name, parts[name]))
	}
	return strings.Join(out, " ")
}
