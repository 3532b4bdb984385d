package ctl

import (
	"fmt"
	"os"

	"github.com/micarudder/micarudder/plan"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

type planCommand struct {
	app   *app
	Force []string `long:"force" value-name:"NAME" description:"accept the broken promise of this name; may be repeated"`
	Out   string   `long:"out" value-name:"FILE" description:"write the plan to this file, for confirm"`
	Args  struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"declaration files, read as one set"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *planCommand) Execute([]string) error {
	next, err := readDeclarations(c.Args.Files)
	if err != nil {
		return err
	}
	base, err := c.base()
	if err != nil {
		return err
	}
	o := plan.Options{Operator: c.app.Operator, Force: c.Force}
	if len(c.app.Gateways) > 0 {
		views, err := c.app.fetchStatuses()
		if err != nil {
			return err
		}
		if err := checkPlatformNotBehind(base, views); err != nil {
			return err
		}
		if o.View = mergeViews(views); o.View == nil {
			return result.New(result.PlatformAway, "no gateway answers; leave --gateway out to plan without the live view")
		}
	}
	p, err := plan.Make(base, next, o)
	if p != nil {
		if werr := c.write(p, err == nil); werr != nil {
			return werr
		}
	}
	return err
}

// base reads the accepted document, on which the plan is based.
func (c *planCommand) base() (*rudderv1.Document, error) {
	store, err := c.app.store()
	if err != nil {
		return nil, err
	}
	base, _, err := plan.Accepted(c.app.ctx, store)
	if err != nil {
		return nil, result.New(result.PlatformAway, err.Error())
	}
	return base, nil
}

// checkPlatformNotBehind returns an error if a gateway has seen a later generation than base.
func checkPlatformNotBehind(base *rudderv1.Document, views []gatewayView) error {
	for _, v := range views {
		if v.Status != nil && v.Status.Generation > base.GetGeneration() {
			return result.New(result.GenerationBack, fmt.Sprintf(
				"the platform holds generation %d and gateway %s has %d", base.GetGeneration(), v.Address, v.Status.Generation))
		}
	}
	return nil
}

// write shows the plan, and saves it to --out if save is set; a refused plan is not saved.
func (c *planCommand) write(p *plan.Plan, save bool) error {
	data, err := p.Encode()
	if err != nil {
		return err
	}
	if c.Out != "" && save {
		if err := os.WriteFile(c.Out, data, 0o644); err != nil {
			return result.New(result.BadRequest, err.Error())
		}
	}
	if c.app.JSON {
		_, err = c.app.Stdout.Write(data)
		return err
	}
	p.WriteText(c.app.Stdout)
	if c.Out != "" && save {
		c.app.printf("\nconfirm with: rudderctl confirm %s\n", c.Out)
	}
	return nil
}
