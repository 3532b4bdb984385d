package ctl

import (
	"time"

	"github.com/micarudder/micarudder/eventlog/lateness"
	"github.com/micarudder/micarudder/result"
)

// lateCommand shows from the logs of relaying gateways why requests were late or refused.
type lateCommand struct {
	app        *app
	Logs       []string `long:"log" required:"true" value-name:"FILE" description:"log of a relaying gateway; - is standard input; may stand more than once. What the other gateways had at an endpoint is known from their logs only"`
	From       string   `long:"from" value-name:"TIME" description:"only requests that ended at this time or later, as in the log"`
	To         string   `long:"to" value-name:"TIME" description:"only requests that ended before"`
	LongTokens int      `long:"long-tokens" default:"20000" description:"tokens from which a prompt is long"`
}

// Execute implements flags.Commander.
func (c *lateCommand) Execute([]string) error {
	o := lateness.Options{LongTokens: c.LongTokens}
	var err error
	if o.From, err = parseLogTime(c.From); err != nil {
		return err
	}
	if o.To, err = parseLogTime(c.To); err != nil {
		return err
	}
	lines, err := readLogs(c.Logs, c.app.Stdin)
	if err != nil {
		return err
	}
	report := lateness.Analyze(lines, o)
	if report.Requests == 0 {
		return result.New(result.UnknownRun, "the logs have no request with an objective in this time")
	}
	if c.app.JSON {
		return c.app.writeJSON(report)
	}
	c.print(report)
	return nil
}

// parseLogTime parses a time as logs have it; empty: no bound.
func parseLogTime(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return at, usageError(err.Error())
	}
	return at, nil
}

func (c *lateCommand) print(r lateness.Report) {
	c.app.printf("%d requests, %d late by the first event, %d by a gap; %d endpoints\n", r.Requests, r.LateFirst, r.LateGap, r.Endpoints)
	for _, g := range r.Late {
		c.app.printf("%6d late     %s  %s  median %d ms too late; believed at the endpoint %d, present %d\n", g.Count, g.Route, g.Cause, g.LateMs, g.Believed, g.Present)
	}
	for _, g := range r.Refused {
		c.app.printf("%6d ended as %s  %s\n", g.Count, g.Route, g.Outcome)
	}
}
