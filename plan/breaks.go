package plan

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/micarudder/micarudder/placement"
	"github.com/micarudder/micarudder/rudderv1"
)

// The kinds of broken promises; a break's name is its kind, a colon and what
// it concerns. placement.BelowFloor makes the names of the first kind.
const (
	breakNoEndpoint   = "no-endpoint:"       // a declared model ends without a live endpoint
	breakUnserved     = "unserved:"          // a model is served nowhere for a time
	breakLastModel    = "last-model:"        // a workspace ends without a served model
	breakWorkspace    = "workspace-removed:" // a workspace and its keys go
	breakKeysReplaced = "keys-replaced:"     // no key of a workspace stays valid
	breakService      = "service-unserved:"  // a service ends without an endpoint
)

// breaks lists the promises that the change would break, ordered by name.
func breaks(base, next *rudderv1.Document, run outcome, view placement.View) []Break {
	c := &checker{base: base, next: next, run: run, view: view, found: make(map[string]string)}
	c.floors()
	c.models()
	c.workspaces()
	c.services()
	var out []Break
	for name, detail := range c.found {
		out = append(out, Break{Name: name, Detail: detail})
	}
	slices.SortFunc(out, func(a, b Break) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

type checker struct {
	base, next *rudderv1.Document
	run        outcome
	view       placement.View
	found      map[string]string
}

func (c *checker) add(name, format string, args ...any) {
	c.found[name] = fmt.Sprintf(format, args...)
}

func (c *checker) floors() {
	for _, s := range c.run.stuck {
		name := placement.BelowFloor(s.Model, s.DataCentre)
		c.add(name, "endpoint %s can only change by taking %s below its floor", s.Endpoint, s.Model)
	}
	for _, x := range c.run.capacity {
		name := placement.BelowFloor(x.Model, x.DataCentre)
		switch {
		case x.Lowest < min(x.Floor, x.Before):
			c.add(name, "%d endpoints serve it at the lowest point, the floor is %d", x.Lowest, x.Floor)
		case x.After < x.Floor:
			c.add(name, "%d endpoints serve it at the end, the floor is %d", x.After, x.Floor)
		}
	}
}

// total sums up a model's capacity over the data centres.
func (c *checker) total(model string) (before, lowest, after int) {
	for _, x := range c.run.capacity {
		if x.Model == model {
			before += x.Before
			lowest += x.Lowest
			after += x.After
		}
	}
	return before, lowest, after
}

func (c *checker) models() {
	for _, m := range c.next.GetModels() {
		before, lowest, after := c.total(m.Name)
		switch {
		case after == 0:
			c.add(breakNoEndpoint+m.Name, "no live endpoint would hold the model")
		case before > 0 && lowest == 0:
			c.add(breakUnserved+m.Name, "no endpoint serves the model for a time")
		}
	}
}

func (c *checker) workspaces() {
	next := make(map[string]*rudderv1.Workspace)
	for _, w := range c.next.GetWorkspaces() {
		next[w.Name] = w
	}
	for _, old := range c.base.GetWorkspaces() {
		w := next[old.Name]
		if w == nil {
			c.add(breakWorkspace+old.Name, "its callers would be refused")
			continue
		}
		if len(old.KeyDigests) > 0 && !overlap(old.KeyDigests, w.KeyDigests) {
			c.add(breakKeysReplaced+old.Name, "no key stays valid; add the new key first and drop the old one later")
		}
		if c.served(old.Models, true) && !c.served(w.Models, false) {
			c.add(breakLastModel+old.Name, "it would have no served model left")
		}
	}
}

func overlap(a, b []string) bool {
	return slices.ContainsFunc(a, func(x string) bool { return slices.Contains(b, x) })
}

// served tells whether any of the models has capacity before or after.
func (c *checker) served(models []string, atStart bool) bool {
	for _, m := range models {
		before, _, after := c.total(m)
		if atStart && before > 0 || !atStart && after > 0 {
			return true
		}
	}
	return false
}

func (c *checker) services() {
	users := make(map[string]string)
	for _, w := range c.next.GetWorkspaces() {
		for _, s := range w.Services {
			users[s] = w.Name
		}
	}
	gone := leavingHosts(c.next)
	for service, user := range users {
		if !slices.ContainsFunc(c.next.GetEndpoints(), func(e *rudderv1.Endpoint) bool {
			return e.Service == service && !e.Leaving && !gone[e.Host] && c.view[e.Name].Serving
		}) {
			c.add(breakService+service, "workspace %s uses it and no live endpoint would offer it", user)
		}
	}
}
