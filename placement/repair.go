package placement

import (
	"cmp"
	"slices"
)

// hop is one step of a chain of moves: demand goes to endpoint, which then
// has one too many and passes another model on.
type hop struct {
	demand   *demand
	endpoint string
	before   *hop
}

// repair serves models for which no endpoint with room was left, by moving
// others along the shortest chain to an endpoint that has room.
func (a *allocation) repair() {
	for _, d := range a.demands {
		for d.need > 0 {
			last := a.chain(d)
			if last == nil {
				break
			}
			a.follow(last)
			d.need--
		}
	}
}

// chain searches breadth first; it returns the last hop, nil when there is none.
func (a *allocation) chain(d *demand) *hop {
	if !a.room() {
		return nil
	}
	seen := make(map[string]bool)
	queue := a.hops(d, nil, seen)
	for len(queue) > 0 {
		h := queue[0]
		queue = queue[1:]
		if a.free[h.endpoint] > 0 {
			return h
		}
		for _, other := range a.holds[h.endpoint] {
			if other != h.demand {
				queue = append(queue, a.hops(other, h, seen)...)
			}
		}
	}
	return nil
}

func (a *allocation) room() bool {
	for _, n := range a.free {
		if n > 0 {
			return true
		}
	}
	return false
}

// hops lists the unseen endpoints that d may go to, best score first.
func (a *allocation) hops(d *demand, before *hop, seen map[string]bool) []*hop {
	var out []*hop
	for _, e := range a.engines {
		if !seen[e.Name] && !slices.Contains(a.holds[e.Name], d) {
			seen[e.Name] = true
			out = append(out, &hop{d, e.Name, before})
		}
	}
	slices.SortFunc(out, func(x, y *hop) int {
		return cmp.Or(cmp.Compare(score(d.model.Name, y.endpoint), score(d.model.Name, x.endpoint)), cmp.Compare(x.endpoint, y.endpoint))
	})
	return out
}

// follow carries the chain out from its end.
func (a *allocation) follow(h *hop) {
	for h != nil {
		if h.before != nil {
			a.take(h.demand, h.before.endpoint)
		}
		a.put(h.demand, h.endpoint)
		h = h.before
	}
}
