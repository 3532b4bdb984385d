package placement

import (
	"slices"

	"github.com/micarudder/micarudder/engine"
)

// Grant is an order that a placer has permitted. The decision was based on the
// agent's report with the counter Holds, and the permit is valid until ExpiresMS
// on the agent's clock.
type Grant struct {
	Order       engine.Order
	Incarnation string
	Holds       uint64
	ExpiresMS   int64
}

// Grants holds the permitted orders whose outcome is not covered by an agent's
// report yet, by endpoint.
type Grants map[string]Grant

// DropReported removes the grant of an endpoint once a report covers its outcome: the
// agent has accepted the order or its state has changed in another way, it has
// restarted, or the permit has expired.
func (g Grants) DropReported(endpoint, incarnation string, holds uint64, clockMS int64) {
	grant, ok := g[endpoint]
	if ok && (grant.Incarnation != incarnation || grant.Holds != holds || clockMS > grant.ExpiresMS) {
		delete(g, endpoint)
	}
}

// Apply changes the view as if the agents had accepted every grant.
func (g Grants) Apply(v View) {
	for name, grant := range g {
		if h, ok := v[name]; ok {
			v[name] = h.DuringOrder(grant.Order)
		}
	}
}

// DuringOrder returns the endpoint's state while it executes an order: a model that
// the order unloads is already removed, and a model that it loads is still
// loading.
func (h EndpointState) DuringOrder(o engine.Order) EndpointState {
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
