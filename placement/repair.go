package placement

import (
	"cmp"
	"slices"
)

// pathStep is one step of an augmenting path: demand is assigned to endpoint,
// which passes another model on to the next step if it has no free slot.
type pathStep struct {
	demand   *demand
	endpoint string
	prev     *pathStep
}

// repair assigns the replicas for which the greedy assignment found no endpoint
// with a free slot, by moving other models along the shortest augmenting path to
// an endpoint that has one.
func (a *allocation) repair() {
	for _, d := range a.demands {
		for d.need > 0 {
			last := a.augmentingPath(d)
			if last == nil {
				break
			}
			a.applyPath(last)
			d.need--
		}
	}
}

// augmentingPath searches breadth first for a path that ends at an endpoint with
// a free slot. It returns the last step, or nil if there is no such path.
func (a *allocation) augmentingPath(d *demand) *pathStep {
	if !a.hasFreeSlot() {
		return nil
	}
	seen := make(map[string]bool)
	queue := a.nextSteps(d, nil, seen)
	for len(queue) > 0 {
		step := queue[0]
		queue = queue[1:]
		if a.free[step.endpoint] > 0 {
			return step
		}
		for _, held := range a.holds[step.endpoint] {
			if held != step.demand {
				queue = append(queue, a.nextSteps(held, step, seen)...)
			}
		}
	}
	return nil
}

// hasFreeSlot reports whether any endpoint has a free slot.
func (a *allocation) hasFreeSlot() bool {
	for _, n := range a.free {
		if n > 0 {
			return true
		}
	}
	return false
}

// nextSteps returns steps that assign d to the endpoints not visited so far,
// sorted by descending score, and marks these as visited.
func (a *allocation) nextSteps(d *demand, prev *pathStep, seen map[string]bool) []*pathStep {
	var out []*pathStep
	for _, e := range a.engines {
		if !seen[e.Name] && !slices.Contains(a.holds[e.Name], d) {
			seen[e.Name] = true
			out = append(out, &pathStep{d, e.Name, prev})
		}
	}
	slices.SortFunc(out, func(x, y *pathStep) int {
		return cmp.Or(cmp.Compare(score(d.model.Name, y.endpoint), score(d.model.Name, x.endpoint)), cmp.Compare(x.endpoint, y.endpoint))
	})
	return out
}

// applyPath makes the moves of a path, from its last step to its first.
func (a *allocation) applyPath(step *pathStep) {
	for step != nil {
		if step.prev != nil {
			a.unassign(step.demand, step.prev.endpoint)
		}
		a.assign(step.demand, step.endpoint)
		step = step.prev
	}
}
