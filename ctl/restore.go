package ctl

import (
	"fmt"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/plan"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

type restoreCommand struct {
	app     *app
	Discard string `long:"discard" value-name:"PLAN" description:"id of the plan in the platform that may be lost"`
}

// Execute implements flags.Commander.
func (c *restoreCommand) Execute([]string) error {
	doc, err := c.highest()
	if err != nil {
		return err
	}
	store, err := c.app.store()
	if err != nil {
		return err
	}
	r, err := plan.Restore(c.app.ctx, store, doc, c.Discard)
	if err != nil {
		return err
	}
	if c.app.JSON {
		return c.app.writeJSON(r)
	}
	c.app.printf("the platform holds generation %d of plan %s\n", r.Generation, r.PlanID)
	return nil
}

// highest fetches the gateways' documents. All gateways must answer, since a
// missing one may hold a later document.
func (c *restoreCommand) highest() (*rudderv1.Document, error) {
	if len(c.app.Gateways) == 0 {
		return nil, usage("--gateway or RUDDER_GATEWAYS is needed")
	}
	clients, err := c.app.gateways()
	if err != nil {
		return nil, err
	}
	best := new(rudderv1.Document)
	for i, client := range clients {
		r, err := client.Fetch(c.app.ctx, connect.NewRequest(&rudderv1.FetchRequest{}))
		if err != nil {
			return nil, result.New(result.PlatformAway, fmt.Sprintf("gateway %s does not answer: %v", c.app.Gateways[i], err))
		}
		d := r.Msg.GetDocument()
		switch {
		case d.GetGeneration() > best.Generation:
			best = d
		case d.GetGeneration() == best.Generation && d.GetPlanId() != best.PlanId:
			return nil, result.New(result.GenerationBack, fmt.Sprintf("the gateways hold two documents of generation %d", best.Generation))
		}
	}
	if best.Generation == 0 {
		return nil, result.New(result.PlanStale, "no gateway holds a document")
	}
	return best, nil
}
