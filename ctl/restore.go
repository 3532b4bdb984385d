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
	doc, err := c.latestDocument()
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

// latestDocument fetches the gateways' documents and returns the one with the highest
// generation. All gateways must answer, since one that does not may have a later document.
func (c *restoreCommand) latestDocument() (*rudderv1.Document, error) {
	if len(c.app.Gateways) == 0 {
		return nil, usageError("--gateway or RUDDER_GATEWAYS is needed")
	}
	clients, err := c.app.gatewayClients()
	if err != nil {
		return nil, err
	}
	latest := new(rudderv1.Document)
	for i, client := range clients {
		r, err := client.Fetch(c.app.ctx, connect.NewRequest(&rudderv1.FetchRequest{}))
		if err != nil {
			return nil, result.New(result.PlatformAway, fmt.Sprintf("gateway %s does not answer: %v", c.app.Gateways[i], err))
		}
		d := r.Msg.GetDocument()
		switch {
		case d.GetGeneration() > latest.Generation:
			latest = d
		case d.GetGeneration() == latest.Generation && d.GetPlanId() != latest.PlanId:
			return nil, result.New(result.GenerationBack, fmt.Sprintf("the gateways hold two documents of generation %d", latest.Generation))
		}
	}
	if latest.Generation == 0 {
		return nil, result.New(result.PlanStale, "no gateway holds a document")
	}
	return latest, nil
}
