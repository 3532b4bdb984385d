package placement

import (
	"cmp"
	"slices"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/rudderv1"
)

// Blocked is an unload that is not permitted yet.
type Blocked struct {
	DataCentre         string
	Endpoint           string
	Model              string
	AwaitsReplacements bool // for the replacements to serve; if false, the model's floor forbids the unload
}

// Next returns the orders that may be given now in one data centre, at most
// one for each endpoint, and the unloads that are blocked. It bounds the number
// of endpoints that change at once and the number of concurrent loads from the
// weight store; changes and loads in progress count against these bounds.
func Next(doc *rudderv1.Document, dataCentre string, assigned Assignments, view View) ([]PlannedOrder, []Blocked) {
	b := newBatch(doc, dataCentre, assigned, view)
	// Endpoints that have already given up capacity come first, so that a change
	// in progress is completed before the next one starts.
	for _, e := range b.byUrgency() {
		b.orderMissing(e)
	}
	for _, e := range b.engines {
		b.unloadSurplus(e)
	}
	slices.SortFunc(b.steps, func(x, y PlannedOrder) int { return cmp.Compare(x.Endpoint, y.Endpoint) })
	return b.steps, b.blocked
}

// batch holds the state of one call of Next.
type batch struct {
	doc      *rudderv1.Document
	dc       string
	assigned Assignments
	view     View
	engines  []*rudderv1.Endpoint

	serving     map[string]int // endpoints that serve a model after the steps so far, by model
	wanted      map[string]int // endpoints that should hold a model, by model
	changing    map[string]bool
	hasOrder    map[string]bool
	activeLoads int
	maxLoads    int
	maxChanges  int

	steps   []PlannedOrder
	blocked []Blocked
}

func newBatch(doc *rudderv1.Document, dc string, assigned Assignments, view View) *batch {
	b := &batch{
		doc: doc, dc: dc, assigned: assigned, view: view,
		serving: make(map[string]int), wanted: make(map[string]int),
		changing: make(map[string]bool), hasOrder: make(map[string]bool),
	}
	draining := drainingHosts(doc)
	declared := 0
	for _, e := range doc.GetEndpoints() {
		if e.DataCentre != dc || !isPlaceable(e, draining) {
			continue
		}
		declared++
		if view[e.Name].Serving {
			b.engines = append(b.engines, e)
			b.countEndpoint(e)
		}
	}
	slices.SortFunc(b.engines, func(x, y *rudderv1.Endpoint) int { return cmp.Compare(x.Name, y.Name) })
	b.maxLoads = int(doc.GetPlacement().GetConcurrentLoads())
	if b.maxLoads == 0 {
		b.maxLoads = DefaultConcurrentLoads
	}
	b.maxChanges = MaxConcurrentChanges(doc, declared)
	return b
}

// MaxConcurrentChanges returns how many of n engines may change at once.
func MaxConcurrentChanges(doc *rudderv1.Document, n int) int {
	percent := int(doc.GetPlacement().GetMovingPercent())
	if percent == 0 {
		percent = DefaultMovingPercent
	}
	return max(1, n*percent/100)
}

// countEndpoint adds the present state of one endpoint to the totals.
func (b *batch) countEndpoint(e *rudderv1.Endpoint) {
	held := b.view[e.Name]
	for name := range servedBy(held) {
		b.serving[name]++
	}
	for _, a := range b.assigned[e.Name] {
		b.wanted[a.Model]++
	}
	loading := slices.ContainsFunc(held.Models, func(m engine.Model) bool { return m.Loading })
	if loading || held.Fetching {
		b.activeLoads++
	}
	if loading || held.Busy {
		b.hasOrder[e.Name] = true
		b.changing[e.Name] = true
	}
	if len(b.missing(e)) > 0 && len(held.Models) < Slots(e) {
		b.changing[e.Name] = true
	}
}

// servedBy returns the names of the models that an endpoint serves, in any
// version.
func servedBy(h EndpointState) map[string]bool {
	out := make(map[string]bool)
	for _, m := range h.Models {
		if h.Serving && !m.Loading {
			out[m.Name] = true
		}
	}
	return out
}

// byUrgency sorts the engines by how urgently their missing models are needed:
// engines that lack a model that no endpoint serves come first, then those that
// lack a model below its floor, then the rest.
func (b *batch) byUrgency() []*rudderv1.Endpoint {
	const unserved, belowFloor, rest = 0, 1, 2
	rank := make(map[string]int, len(b.engines))
	for _, e := range b.engines {
		rank[e.Name] = rest
		for _, a := range b.missing(e) {
			switch n := b.serving[a.Model]; {
			case n == 0:
				rank[e.Name] = unserved
			case n < Floor(b.doc, a.Model, b.dc):
				rank[e.Name] = min(rank[e.Name], belowFloor)
			}
		}
	}
	out := slices.Clone(b.engines)
	slices.SortStableFunc(out, func(x, y *rudderv1.Endpoint) int { return rank[x.Name] - rank[y.Name] })
	return out
}

// ordersInFlight returns the number of endpoints with an order in progress or in
// this batch.
func (b *batch) ordersInFlight() int { return len(b.hasOrder) }

// addOrder adds an order for an endpoint to the batch.
func (b *batch) addOrder(e *rudderv1.Endpoint, o engine.Order) {
	o.Fence = Fence(b.doc.GetGeneration(), 0)
	b.steps = append(b.steps, PlannedOrder{DataCentre: b.dc, Endpoint: e.Name, Order: o})
	b.hasOrder[e.Name] = true
	b.changing[e.Name] = true
}

// orderMissing adds the next order that brings an endpoint closer to its
// assignment without unloading a model: a change of role, the load of a missing
// model if a slot is free, or a change of adapters.
func (b *batch) orderMissing(e *rudderv1.Endpoint) {
	if b.hasOrder[e.Name] || b.ordersInFlight() >= b.maxChanges {
		return
	}
	held := b.view[e.Name]
	if e.Role != "" && held.Role != e.Role {
		b.addOrder(e, engine.Order{Kind: engine.OrderSetRole, Role: e.Role})
		return
	}
	missing := b.missing(e)
	if len(missing) > 0 && len(held.Models) < Slots(e) {
		a := missing[0]
		b.orderLoad(e, engine.Order{Kind: engine.OrderLoadModel, Model: a.Model, Version: a.Version, Weights: a.Weights})
		return
	}
	b.orderAdapterChange(e, held)
}

// orderLoad adds a load order if the bound on concurrent loads allows it.
func (b *batch) orderLoad(e *rudderv1.Endpoint, o engine.Order) {
	if b.activeLoads >= b.maxLoads {
		return
	}
	b.activeLoads++
	b.addOrder(e, o)
}

// orderAdapterChange adds an order for the first difference in adapters. For
// each model, loads come before unloads.
func (b *batch) orderAdapterChange(e *rudderv1.Endpoint, held EndpointState) {
	for _, a := range b.assigned[e.Name] {
		m, ok := findLoaded(held.Models, a)
		if !ok {
			continue
		}
		for _, x := range a.Adapters {
			if !slices.Contains(m.Adapters, x.ID) {
				b.orderLoad(e, engine.Order{Kind: engine.OrderLoadAdapter, Model: a.Model, Version: a.Version, Adapter: x.ID, Weights: x.Weights})
				return
			}
		}
		for _, id := range slices.Sorted(slices.Values(m.Adapters)) {
			if !a.hasAdapter(id) {
				b.addOrder(e, engine.Order{Kind: engine.OrderUnloadAdapter, Model: a.Model, Version: a.Version, Adapter: id})
				return
			}
		}
	}
}

func (a Assignment) hasAdapter(adapter string) bool {
	return slices.ContainsFunc(a.Adapters, func(x Adapter) bool { return x.ID == adapter })
}

// findLoaded returns the loaded model of the assigned name and version.
func findLoaded(models []engine.Model, a Assignment) (engine.Model, bool) {
	for _, m := range models {
		if m.Name == a.Model && m.Version == a.Version && !m.Loading {
			return m, true
		}
	}
	return engine.Model{}, false
}

// missing returns the assignments whose model the endpoint neither holds nor is
// loading.
func (b *batch) missing(e *rudderv1.Endpoint) []Assignment {
	var out []Assignment
	for _, a := range b.assigned[e.Name] {
		holds := func(m engine.Model) bool { return m.Name == a.Model && m.Version == a.Version }
		if !slices.ContainsFunc(b.view[e.Name].Models, holds) {
			out = append(out, a)
		}
	}
	return out
}

// surplus returns the held models that are not assigned: first those whose name
// is not assigned, then other versions of assigned models.
func (b *batch) surplus(e *rudderv1.Endpoint) []engine.Model {
	var other, old []engine.Model
	for _, m := range b.view[e.Name].Models {
		named, same := false, false
		for _, a := range b.assigned[e.Name] {
			named = named || a.Model == m.Name
			same = same || a.Model == m.Name && a.Version == m.Version
		}
		switch {
		case same:
		case named:
			old = append(old, m)
		default:
			other = append(other, m)
		}
	}
	return append(other, old...)
}

// unloadSurplus orders the unload of surplus models of the endpoint. An unload
// that the floor permits is subtracted from the serving count even if the
// endpoint cannot take the order yet. The permitted unloads then depend only on
// the order in which endpoints are considered, so that agents that decide
// independently from views of different ages do not use the same spare replica
// twice.
func (b *batch) unloadSurplus(e *rudderv1.Endpoint) {
	surplus := b.surplus(e)
	// A surplus model occupies a slot that an assigned model needs.
	slotNeeded := len(b.assigned[e.Name])+len(surplus) > Slots(e)
	for _, m := range surplus {
		if !b.mayUnload(e, m, slotNeeded) {
			b.blocked = append(b.blocked, Blocked{b.dc, e.Name, m.Name, !slotNeeded})
			continue
		}
		if b.lastCopy(e, m) {
			b.serving[m.Name]--
		}
		if b.mayOrderUnload(e) {
			b.addOrder(e, engine.Order{Kind: engine.OrderUnloadModel, Model: m.Name, Version: m.Version})
		}
	}
}

// mayOrderUnload reports whether an unload order can be given now. It enforces
// the bounds on changing endpoints, and defers the unload while the endpoint
// has a free slot for a missing model.
func (b *batch) mayOrderUnload(e *rudderv1.Endpoint) bool {
	if b.hasOrder[e.Name] || b.ordersInFlight() >= b.maxChanges {
		return false
	}
	if !b.changing[e.Name] && len(b.changing) >= b.maxChanges {
		return false
	}
	return len(b.missing(e)) == 0 || len(b.view[e.Name].Models) >= Slots(e)
}

// mayUnload reports whether the unload of m leaves enough endpoints that serve
// the model. If the slot is needed, this is the model's floor; otherwise the
// unload also waits until all replacements serve.
func (b *batch) mayUnload(e *rudderv1.Endpoint, m engine.Model, slotNeeded bool) bool {
	if !b.lastCopy(e, m) {
		return true
	}
	minServing := Floor(b.doc, m.Name, b.dc)
	if !slotNeeded {
		minServing = max(minServing, b.wanted[m.Name])
	}
	return b.serving[m.Name]-1 >= minServing
}

// lastCopy reports whether m is the only loaded version of its model on the
// endpoint, so that the endpoint stops serving the model without it.
func (b *batch) lastCopy(e *rudderv1.Endpoint, m engine.Model) bool {
	copies := 0
	for _, x := range b.view[e.Name].Models {
		if x.Name == m.Name && !x.Loading {
			copies++
		}
	}
	return copies == 1 && !m.Loading
}
