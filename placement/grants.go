package placement

import (
	"slices"

	"github.com/micarudder/micarudder/engine"
)

// Grant is one order that a placer permitted, decided on the agent's report
// that counted Holds, until ExpiresMS on the agent's clock.
type Grant struct {
	Order       engine.Order
	Incarnation string
	Holds       uint64
	ExpiresMS   int64
}

// Grants holds the permitted orders of which the agents' reports say nothing
// yet, by endpoint.
type Grants map[string]Grant

// Settle drops a grant once a report tells what became of it: the agent took
// it or changed otherwise, restarted, or let it lapse.
func (g Grants) Settle(endpoint, incarnation string, holds uint64, clockMS int64) {
	old, ok := g[endpoint]
	if ok && (old.Incarnation != incarnation || old.Holds != holds || clockMS > old.ExpiresMS) {
		delete(g, endpoint)
	}
}

// Apply changes a view as if every grant had been taken.
func (g Grants) Apply(v View) {
	for name, grant := range g {
		if h, ok := v[name]; ok {
			v[name] = h.Under(grant.Order)
		}
	}
}

// Under returns the endpoint's state while it works on an order: what the
// order takes away is gone, what it brings is not there yet.
func (h Held) Under(o engine.Order) Held {
	h.Busy = true
	h.Models = slices.Clone(h.Models)
	same := func(m engine.Model) bool { return m.Name == o.Model && m.Version == o.Version }
	switch o.Kind {
	case engine.OrderLoadModel:
		if !slices.ContainsFunc(h.Models, same) {
			h.Models = append(h.Models, engine.Model{Name: o.Model, Version: o.Version, Loading: true})
		}
	case engine.OrderUnloadModel:
		h.Models = slices.DeleteFunc(h.Models, same)
	case engine.OrderLoadAdapter:
		h.Fetching = true
	}
	return h
}
