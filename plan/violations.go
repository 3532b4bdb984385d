package plan

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/micarudder/micarudder/placement"
	"github.com/micarudder/micarudder/rudderv1"
)

// The kinds of violations. The name of a violation is its kind, which ends in a
// colon, and its subject. placement.BelowFloor returns the names of violations of
// floors.
const (
	violationNoEndpoint       = "no-endpoint:"       // a declared model has no live endpoint after the change
	violationUnserved         = "unserved:"          // no endpoint serves a model during part of the change
	violationLastModel        = "last-model:"        // a workspace has no served model after the change
	violationWorkspaceRemoved = "workspace-removed:" // a workspace and its keys are removed
	violationKeysReplaced     = "keys-replaced:"     // none of a workspace's keys stays valid
	violationServiceUnserved  = "service-unserved:"  // a service has no live endpoint after the change
)

// violations returns the violations of the change from base to next, ordered by name.
func violations(base, next *rudderv1.Document, sim simulation, view placement.View) []Violation {
	c := &checker{base: base, next: next, sim: sim, view: view, found: make(map[string]string)}
	c.checkFloors()
	c.checkModels()
	c.checkWorkspaces()
	c.checkServices()
	var out []Violation
	for name, detail := range c.found {
		out = append(out, Violation{Name: name, Detail: detail})
	}
	slices.SortFunc(out, func(a, b Violation) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// checker collects the violations of one change.
type checker struct {
	base, next *rudderv1.Document
	sim        simulation
	view       placement.View
	found      map[string]string // violation details by name
}

// add records a violation; an earlier one of the same name is replaced.
func (c *checker) add(name, format string, args ...any) {
	c.found[name] = fmt.Sprintf(format, args...)
}

// checkFloors finds models below their floor, at the lowest point of the change
// or after it, and endpoints that floors prevent from changing.
func (c *checker) checkFloors() {
	for _, s := range c.sim.blocked {
		name := placement.BelowFloor(s.Model, s.DataCentre)
		c.add(name, "endpoint %s can only change by taking %s below its floor", s.Endpoint, s.Model)
	}
	for _, x := range c.sim.capacity {
		name := placement.BelowFloor(x.Model, x.DataCentre)
		switch {
		case x.Lowest < min(x.Floor, x.Before):
			c.add(name, "%d endpoints serve it at the lowest point, the floor is %d", x.Lowest, x.Floor)
		case x.After < x.Floor:
			c.add(name, "%d endpoints serve it at the end, the floor is %d", x.After, x.Floor)
		}
	}
}

// totalCapacity returns a model's capacity summed over the data centres.
func (c *checker) totalCapacity(model string) (before, lowest, after int) {
	for _, x := range c.sim.capacity {
		if x.Model == model {
			before += x.Before
			lowest += x.Lowest
			after += x.After
		}
	}
	return before, lowest, after
}

// checkModels finds declared models that no endpoint serves after the change or at some point
// during it.
func (c *checker) checkModels() {
	for _, m := range c.next.GetModels() {
		before, lowest, after := c.totalCapacity(m.Name)
		switch {
		case after == 0:
			c.add(violationNoEndpoint+m.Name, "no live endpoint would hold the model")
		case before > 0 && lowest == 0:
			c.add(violationUnserved+m.Name, "no endpoint serves the model for a time")
		}
	}
}

// checkWorkspaces finds workspaces that are removed, lose all their keys or lose
// their last served model.
func (c *checker) checkWorkspaces() {
	next := make(map[string]*rudderv1.Workspace)
	for _, w := range c.next.GetWorkspaces() {
		next[w.Name] = w
	}
	for _, old := range c.base.GetWorkspaces() {
		w := next[old.Name]
		if w == nil {
			c.add(violationWorkspaceRemoved+old.Name, "its callers would be refused")
			continue
		}
		if len(old.KeyDigests) > 0 && !overlap(old.KeyDigests, w.KeyDigests) {
			c.add(violationKeysReplaced+old.Name, "no key stays valid; add the new key first and drop the old one later")
		}
		if c.anyServed(old.Models, true) && !c.anyServed(w.Models, false) {
			c.add(violationLastModel+old.Name, "it would have no served model left")
		}
	}
}

// overlap reports whether a and b have an element in common.
func overlap(a, b []string) bool {
	return slices.ContainsFunc(a, func(x string) bool { return slices.Contains(b, x) })
}

// anyServed reports whether any of the models has capacity before the change, or after it if
// beforeChange is false.
func (c *checker) anyServed(models []string, beforeChange bool) bool {
	for _, m := range models {
		before, _, after := c.totalCapacity(m)
		if beforeChange && before > 0 || !beforeChange && after > 0 {
			return true
		}
	}
	return false
}

// checkServices finds services that a workspace uses and no live endpoint offers.
func (c *checker) checkServices() {
	users := make(map[string]string)
	for _, w := range c.next.GetWorkspaces() {
		for _, s := range w.Services {
			users[s] = w.Name
		}
	}
	draining := drainingHosts(c.next)
	for service, user := range users {
		if !slices.ContainsFunc(c.next.GetEndpoints(), func(e *rudderv1.Endpoint) bool {
			return e.Service == service && !e.Leaving && !draining[e.Host] && c.view[e.Name].Serving
		}) {
			c.add(violationServiceUnserved+service, "workspace %s uses it and no live endpoint would offer it", user)
		}
	}
}
