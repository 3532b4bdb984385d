package plan

import (
	"cmp"
	"maps"
	"slices"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/placement"
	"github.com/micarudder/micarudder/rudderv1"
)

// Step is an order to an endpoint in the sequence that the plan expects. Steps of
// the same round and data centre may run concurrently; data centres do not wait
// for each other.
type Step struct {
	Round      int              `json:"round"`
	DataCentre string           `json:"data_centre"`
	Endpoint   string           `json:"endpoint"`
	Kind       engine.OrderKind `json:"kind"`
	Model      string           `json:"model,omitempty"`
	Version    string           `json:"version,omitempty"`
	Adapter    string           `json:"adapter,omitempty"`
	Role       string           `json:"role,omitempty"`
}

// Capacity is the number of endpoints that serve a model in a data centre before
// the change, at its lowest point and after it.
type Capacity struct {
	Model      string `json:"model"`
	DataCentre string `json:"data_centre"`
	Before     int    `json:"before"`
	Lowest     int    `json:"lowest"`
	After      int    `json:"after"`
	Floor      int    `json:"floor"`
	Wanted     int    `json:"wanted"`
}

// simulation is the result of simulating a change.
type simulation struct {
	steps    []Step
	capacity []Capacity
	blocked  []placement.Blocked // unloads that floors prevent permanently
}

// maxRounds limits the simulation: each round gives at least one order, and an
// endpoint needs few.
const maxRounds = 100_000

// addNewEndpoints returns the view with the endpoints that next declares and base
// does not. No gateway can know them yet, so they are assumed to be up and empty.
// It also returns their names.
func addNewEndpoints(view placement.View, base, next *rudderv1.Document) (placement.View, []string) {
	out := maps.Clone(view)
	known := make(map[string]bool)
	for _, e := range base.GetEndpoints() {
		known[e.Name] = true
	}
	var names []string
	for _, e := range next.GetEndpoints() {
		if _, seen := view[e.Name]; known[e.Name] || seen {
			continue
		}
		out[e.Name] = placement.EndpointState{Role: e.Role, Serving: true}
		names = append(names, e.Name)
	}
	return out, names
}

// assumedView returns the view in which base is fully in force on every endpoint
// that it declares.
func assumedView(base *rudderv1.Document) placement.View {
	view := make(placement.View)
	live := make(map[string]bool)
	for _, e := range base.GetEndpoints() {
		live[e.Name] = true
		view[e.Name] = placement.EndpointState{Role: e.Role, Serving: true}
	}
	for name, list := range placement.Assign(base, live) {
		h := view[name]
		for _, a := range list {
			h.Models = append(h.Models, loadedModel(a))
		}
		view[name] = h
	}
	return view
}

// loadedModel returns the state of an assigned model that is loaded with its adapters.
func loadedModel(a placement.Assignment) engine.Model {
	m := engine.Model{Name: a.Model, Version: a.Version}
	for _, x := range a.Adapters {
		m.Adapters = append(m.Adapters, x.ID)
	}
	return m
}

// simulate carries out the change from base to next on a copy of the view, in one
// data centre after the other.
func simulate(base, next *rudderv1.Document, view placement.View) simulation {
	var out simulation
	draining := drainingHosts(next)
	before := countServing(base, view)
	cur := startingView(next, view, draining)
	lowest := countServing(next, cur)
	assigned := placement.Assign(next, cur.Live())
	for _, dc := range placement.DataCentres(next) {
		out.simulateDataCentre(next, dc, assigned, cur, lowest)
	}
	after := countServing(next, cur)
	out.capacity = capacities(base, next, before, lowest, after)
	slices.SortStableFunc(out.steps, func(a, b Step) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Round, b.Round), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return out
}

// startingView returns a copy of the view as of the moment when next takes effect:
// endpoints that are draining do not serve, endpoints that are no longer declared
// are left out, and orders in progress have finished.
func startingView(next *rudderv1.Document, view placement.View, draining map[string]bool) placement.View {
	out := make(placement.View, len(view))
	for _, e := range next.GetEndpoints() {
		h, ok := view[e.Name]
		if !ok {
			continue
		}
		h.Busy = false
		h.Models = slices.Clone(h.Models)
		for i := range h.Models {
			h.Models[i].Loading = false
		}
		h.Serving = h.Serving && !e.Leaving && !draining[e.Host]
		out[e.Name] = h
	}
	return out
}

// drainingHosts returns the names of the hosts that the document declares as draining.
func drainingHosts(d *rudderv1.Document) map[string]bool {
	out := make(map[string]bool)
	for _, h := range d.GetHosts() {
		if h.Leaving {
			out[h.Name] = true
		}
	}
	return out
}

// simulateDataCentre carries out the change in one data centre round by round until
// no order is possible. It updates the view cur and the lowest counts.
func (out *simulation) simulateDataCentre(next *rudderv1.Document, dc string, assigned placement.Assignments, cur placement.View, lowest servingCounts) {
	for round := 1; round <= maxRounds; round++ {
		steps, blocked := placement.Next(next, dc, assigned, cur)
		if len(steps) == 0 {
			out.blocked = append(out.blocked, slices.DeleteFunc(blocked, func(b placement.Blocked) bool { return b.AwaitsReplacements })...)
			return
		}
		for _, s := range steps {
			out.steps = append(out.steps, newStep(round, s))
			cur[s.Endpoint] = apply(cur[s.Endpoint], s.Order)
		}
		lowest.keepMin(dc, countServingIn(next, dc, cur))
	}
}

// newStep returns the plan step for an order given in a round.
func newStep(round int, s placement.PlannedOrder) Step {
	return Step{
		Round: round, DataCentre: s.DataCentre, Endpoint: s.Endpoint, Kind: s.Order.Kind,
		Model: s.Order.Model, Version: s.Order.Version, Adapter: s.Order.Adapter, Role: s.Order.Role,
	}
}

// apply returns the state of the endpoint after the order is done.
func apply(h placement.EndpointState, o engine.Order) placement.EndpointState {
	h.Models = slices.Clone(h.Models)
	at := slices.IndexFunc(h.Models, func(m engine.Model) bool { return m.Name == o.Model && m.Version == o.Version })
	switch o.Kind {
	case engine.OrderLoadModel:
		h.Models = append(h.Models, engine.Model{Name: o.Model, Version: o.Version})
	case engine.OrderUnloadModel:
		h.Models = slices.Delete(h.Models, at, at+1)
	case engine.OrderLoadAdapter:
		h.Models[at].Adapters = append(slices.Clone(h.Models[at].Adapters), o.Adapter)
	case engine.OrderUnloadAdapter:
		h.Models[at].Adapters = slices.DeleteFunc(slices.Clone(h.Models[at].Adapters), func(a string) bool { return a == o.Adapter })
	case engine.OrderSetRole:
		h.Role = o.Role
	}
	return h
}
