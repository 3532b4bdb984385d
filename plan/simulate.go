package plan

import (
	"cmp"
	"maps"
	"slices"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/placement"
	"github.com/micarudder/micarudder/rudderv1"
)

// Step is one order in the sequence that the plan expects. Steps of the same
// round and data centre may be under way at once; data centres do not wait
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

// Capacity counts the endpoints that serve a model in one data centre before,
// during and after the change.
type Capacity struct {
	Model      string `json:"model"`
	DataCentre string `json:"data_centre"`
	Before     int    `json:"before"`
	Lowest     int    `json:"lowest"`
	After      int    `json:"after"`
	Floor      int    `json:"floor"`
	Wanted     int    `json:"wanted"`
}

// outcome is the result of a simulated change.
type outcome struct {
	steps    []Step
	capacity []Capacity
	stuck    []placement.Blocked // unloads that floors forbid for good
}

// maxRounds bounds the simulation: each round gives at least one order, and an
// endpoint needs few.
const maxRounds = 100_000

// withNew adds the endpoints that no gateway can know yet, since the base does
// not declare them, as there and empty. It returns their names too.
func withNew(view placement.View, base, next *rudderv1.Document) (placement.View, []string) {
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

// assume is the view in which the base is in force on every endpoint that it
// declares.
func assume(base *rudderv1.Document) placement.View {
	view := make(placement.View)
	live := make(map[string]bool)
	for _, e := range base.GetEndpoints() {
		live[e.Name] = true
		view[e.Name] = placement.EndpointState{Role: e.Role, Serving: true}
	}
	for name, list := range placement.Assign(base, live) {
		h := view[name]
		for _, a := range list {
			h.Models = append(h.Models, loaded(a))
		}
		view[name] = h
	}
	return view
}

func loaded(a placement.Assignment) engine.Model {
	m := engine.Model{Name: a.Model, Version: a.Version}
	for _, x := range a.Adapters {
		m.Adapters = append(m.Adapters, x.ID)
	}
	return m
}

// simulate carries the change out on a copy of the view.
func simulate(base, next *rudderv1.Document, view placement.View) outcome {
	var out outcome
	gone := leavingHosts(next)
	before := count(base, view)
	cur := settle(next, view, gone)
	lowest := count(next, cur)
	assigned := placement.Assign(next, cur.Live())
	for _, dc := range placement.DataCentres(next) {
		out.zone(next, dc, assigned, cur, lowest)
	}
	after := count(next, cur)
	out.capacity = capacities(base, next, before, lowest, after)
	slices.SortStableFunc(out.steps, func(a, b Step) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Round, b.Round), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return out
}

// settle copies the view as it is the moment the next document is in force:
// endpoints that leave or are no longer declared serve nothing, and orders in
// progress have ended.
func settle(next *rudderv1.Document, view placement.View, gone map[string]bool) placement.View {
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
		h.Serving = h.Serving && !e.Leaving && !gone[e.Host]
		out[e.Name] = h
	}
	return out
}

// leavingHosts returns the names of the hosts that the document lets go.
func leavingHosts(d *rudderv1.Document) map[string]bool {
	out := make(map[string]bool)
	for _, h := range d.GetHosts() {
		if h.Leaving {
			out[h.Name] = true
		}
	}
	return out
}

func (out *outcome) zone(next *rudderv1.Document, dc string, assigned placement.Assignments, cur placement.View, lowest tally) {
	for round := 1; round <= maxRounds; round++ {
		steps, blocked := placement.Next(next, dc, assigned, cur)
		if len(steps) == 0 {
			out.stuck = append(out.stuck, slices.DeleteFunc(blocked, func(b placement.Blocked) bool { return b.AwaitsReplacements })...)
			return
		}
		for _, s := range steps {
			out.steps = append(out.steps, fromOrder(round, s))
			cur[s.Endpoint] = apply(cur[s.Endpoint], s.Order)
		}
		lowest.lower(dc, countIn(next, dc, cur))
	}
}

func fromOrder(round int, s placement.PlannedOrder) Step {
	return Step{
		Round: round, DataCentre: s.DataCentre, Endpoint: s.Endpoint, Kind: s.Order.Kind,
		Model: s.Order.Model, Version: s.Order.Version, Adapter: s.Order.Adapter, Role: s.Order.Role,
	}
}

// apply returns what the endpoint holds once the order is done.
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
