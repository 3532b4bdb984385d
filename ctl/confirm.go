package ctl

import (
	"io"
	"os"

	"github.com/micarudder/micarudder/plan"
	"github.com/micarudder/micarudder/result"
)

type confirmCommand struct {
	app  *app
	Args struct {
		Plan string `positional-arg-name:"PLAN" required:"true" description:"file written by plan, or - for standard input"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *confirmCommand) Execute([]string) error {
	p, err := c.readPlan()
	if err != nil {
		return err
	}
	store, err := c.app.store()
	if err != nil {
		return err
	}
	r, err := plan.Confirm(c.app.ctx, store, p, c.app.Now())
	if err != nil {
		return err
	}
	c.app.exit = exitByResult[r.Code]
	if c.app.JSON {
		return c.app.writeJSON(r)
	}
	if r.Code == result.PlanSuperseded {
		c.app.printf("plan %s was accepted as generation %d and replaced since; generation %d is accepted now\n", r.PlanID, r.Generation, r.Current)
		return nil
	}
	c.app.printf("plan %s is accepted as generation %d\n", r.PlanID, r.Generation)
	return nil
}

func (c *confirmCommand) readPlan() (*plan.Plan, error) {
	var data []byte
	var err error
	if c.Args.Plan == "-" {
		data, err = io.ReadAll(c.app.Stdin)
	} else {
		data, err = os.ReadFile(c.Args.Plan)
	}
	if err != nil {
		return nil, result.New(result.BadRequest, err.Error())
	}
	return plan.Decode(data)
}
