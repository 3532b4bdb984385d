package ctl

import (
	"time"

	"github.com/micarudder/micarudder/plan"
	"github.com/micarudder/micarudder/result"
)

type generationsCommand struct {
	app *app
	Max int `long:"max" default:"10" value-name:"N" description:"show at most N plans before the accepted one"`
}

// generationsOutput is the JSON output of the command.
type generationsOutput struct {
	Accepted generationEntry   `json:"accepted"`
	Before   []generationEntry `json:"before"`
	Gateways []gatewayStatus   `json:"gateways,omitempty"`
}

// generationEntry is one accepted plan.
type generationEntry struct {
	Generation uint64   `json:"generation"`
	PlanID     string   `json:"plan_id"`
	Operator   string   `json:"operator,omitempty"`
	AcceptedAt string   `json:"accepted_at,omitempty"`
	Forced     []string `json:"forced,omitempty"`
}

// Execute implements flags.Commander.
func (c *generationsCommand) Execute([]string) error {
	store, err := c.app.store()
	if err != nil {
		return err
	}
	d, _, err := plan.Accepted(c.app.ctx, store)
	if err != nil {
		return result.New(result.PlatformAway, err.Error())
	}
	g := generationsOutput{Accepted: generationEntry{Generation: d.Generation, PlanID: d.PlanId, Operator: d.Operator, Forced: d.Forced}}
	if d.AcceptedUnixMs > 0 {
		g.Accepted.AcceptedAt = time.UnixMilli(d.AcceptedUnixMs).UTC().Format(time.RFC3339)
	}
	for i, id := range d.History {
		if i >= c.Max {
			break
		}
		g.Before = append(g.Before, generationEntry{Generation: d.Generation - 1 - uint64(i), PlanID: id})
	}
	views, err := c.app.fetchStatuses()
	if err != nil {
		return err
	}
	f, unanswered := summarize(views)
	g.Gateways = f.Gateways
	if unanswered > 0 {
		c.app.exit = ExitPartial
	}
	if err := c.write(g); err != nil {
		return err
	}
	return checkPlatformNotBehind(d, views)
}

func (c *generationsCommand) write(g generationsOutput) error {
	if c.app.JSON {
		return c.app.writeJSON(g)
	}
	if g.Accepted.Generation == 0 {
		c.app.printf("no configuration is accepted yet\n")
		return nil
	}
	c.app.printf("accepted: generation %d, plan %s", g.Accepted.Generation, g.Accepted.PlanID)
	if g.Accepted.AcceptedAt != "" {
		c.app.printf(", %s by %s", g.Accepted.AcceptedAt, firstOrDash(g.Accepted.Operator))
	}
	c.app.printf("\n")
	for _, f := range g.Accepted.Forced {
		c.app.printf("  forced: %s\n", f)
	}
	for _, l := range g.Before {
		c.app.printf("before: generation %d, plan %s\n", l.Generation, l.PlanID)
	}
	for _, s := range g.Gateways {
		c.app.printf("gateway %s: generation %d %s\n", firstOrDash(s.Name, s.Address), s.Generation, s.Error)
	}
	return nil
}
