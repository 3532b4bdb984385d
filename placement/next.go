package placement

import (
	"cmp"
	"slices"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/rudderv1"
)

// Blocked is an unload that is held back.
type Blocked struct {
	DataCentre string
	Endpoint   string
	Model      string
	Waits      bool // until the model's replacements serve; otherwise its floor forbids the unload
}

// Next returns the orders that may be given now in one data centre, at most
// one for each endpoint, and the unloads that are held back. It bounds
// the endpoints in change and the loads from the weight store; work in
// progress counts against both bounds.
func Next(doc *rudderv1.Document, dataCentre string, assigned Assigned, view View) ([]Step, []Blocked) {
	b := newBatch(doc, dataCentre, assigned, view)
	// Endpoints that already lost capacity go first, so that a change that is
	// under way ends before the next one begins.
	for _, e := range b.byUrgency() {
		b.complete(e)
	}
	for _, e := range b.engines {
		b.vacate(e)
	}
	slices.SortFunc(b.steps, func(x, y Step) int { return cmp.Compare(x.Endpoint, y.Endpoint) })
	return b.steps, b.blocked
}

// batch is the state of one call of Next.
type batch struct {
	doc      *rudderv1.Document
	dc       string
	assigned Assigned
	view     View
	engines  []*rudderv1.Endpoint

	serving  map[string]int // endpoints that serve a model, after the steps so far
	wanted   map[string]int // endpoints that should hold a model
	moving   map[string]bool
	ordered  map[string]bool
	loads    int
	maxLoads int
	maxMoves int

	steps   []Step
	blocked []Blocked
}

func newBatch(doc *rudderv1.Document, dc string, assigned Assigned, view View) *batch {
	b := &batch{
		doc: doc, dc: dc, assigned: assigned, view: view,
		serving: make(map[string]int), wanted: make(map[string]int),
		moving: make(map[string]bool), ordered: make(map[string]bool),
	}
	leaving := leavingHosts(doc)
	declared := 0
	for _, e := range doc.GetEndpoints() {
		if e.DataCentre != dc || !isEngine(e, leaving) {
			continue
		}
		declared++
		if view[e.Name].Serving {
			b.engines = append(b.engines, e)
			b.count(e)
		}
	}
	slices.SortFunc(b.engines, func(x, y *rudderv1.Endpoint) int { return cmp.Compare(x.Name, y.Name) })
	b.maxLoads = int(doc.GetPlacement().GetConcurrentLoads())
	if b.maxLoads == 0 {
		b.maxLoads = DefaultConcurrentLoads
	}
	b.maxMoves = MaxMoves(doc, declared)
	return b
}

// MaxMoves returns how many of n engines may be in change at once.
func MaxMoves(doc *rudderv1.Document, n int) int {
	percent := int(doc.GetPlacement().GetMovingPercent())
	if percent == 0 {
		percent = DefaultMovingPercent
	}
	return max(1, n*percent/100)
}

// count takes one endpoint's present state into the totals.
func (b *batch) count(e *rudderv1.Endpoint) {
	held := b.view[e.Name]
	for name := range servedBy(held) {
		b.serving[name]++
	}
	for _, a := range b.assigned[e.Name] {
		b.wanted[a.Model]++
	}
	loading := slices.ContainsFunc(held.Models, func(m engine.Model) bool { return m.Loading })
	if loading || held.Fetching {
		b.loads++
	}
	if loading || held.Busy {
		b.ordered[e.Name] = true
		b.moving[e.Name] = true
	}
	if len(b.missing(e)) > 0 && len(held.Models) < Slots(e) {
		b.moving[e.Name] = true
	}
}

// servedBy returns the models that an endpoint answers for, whatever version.
func servedBy(h Held) map[string]bool {
	out := make(map[string]bool)
	for _, m := range h.Models {
		if h.Serving && !m.Loading {
			out[m.Name] = true
		}
	}
	return out
}

// byUrgency orders the engines by how badly what they lack is needed: models
// that nobody serves, then models below their floor, then the rest.
func (b *batch) byUrgency() []*rudderv1.Endpoint {
	const unserved, short, rest = 0, 1, 2
	rank := make(map[string]int, len(b.engines))
	for _, e := range b.engines {
		rank[e.Name] = rest
		for _, a := range b.missing(e) {
			switch n := b.serving[a.Model]; {
			case n == 0:
				rank[e.Name] = unserved
			case n < Floor(b.doc, a.Model, b.dc):
				rank[e.Name] = min(rank[e.Name], short)
			}
		}
	}
	out := slices.Clone(b.engines)
	slices.SortStableFunc(out, func(x, y *rudderv1.Endpoint) int { return rank[x.Name] - rank[y.Name] })
	return out
}

// inFlight counts the endpoints with an order in progress or in this batch.
func (b *batch) inFlight() int { return len(b.ordered) }

func (b *batch) step(e *rudderv1.Endpoint, o engine.Order) {
	o.Fence = Fence(b.doc.GetGeneration(), 0)
	b.steps = append(b.steps, Step{DataCentre: b.dc, Endpoint: e.Name, Order: o})
	b.ordered[e.Name] = true
	b.moving[e.Name] = true
}

// complete orders what an endpoint lacks and has room for.
func (b *batch) complete(e *rudderv1.Endpoint) {
	if b.ordered[e.Name] || b.inFlight() >= b.maxMoves {
		return
	}
	held := b.view[e.Name]
	if e.Role != "" && held.Role != e.Role {
		b.step(e, engine.Order{Kind: engine.OrderSetRole, Role: e.Role})
		return
	}
	missing := b.missing(e)
	if len(missing) > 0 && len(held.Models) < Slots(e) {
		a := missing[0]
		b.load(e, engine.Order{Kind: engine.OrderLoadModel, Model: a.Model, Version: a.Version, Weights: a.Weights})
		return
	}
	b.adapters(e, held)
}

func (b *batch) load(e *rudderv1.Endpoint, o engine.Order) {
	if b.loads >= b.maxLoads {
		return
	}
	b.loads++
	b.step(e, o)
}

// adapters orders the first difference in adapters: loads before unloads.
func (b *batch) adapters(e *rudderv1.Endpoint, held Held) {
	for _, a := range b.assigned[e.Name] {
		m, ok := find(held.Models, a)
		if !ok {
			continue
		}
		for _, x := range a.Adapters {
			if !slices.Contains(m.Adapters, x.ID) {
				b.load(e, engine.Order{Kind: engine.OrderLoadAdapter, Model: a.Model, Version: a.Version, Adapter: x.ID, Weights: x.Weights})
				return
			}
		}
		for _, id := range slices.Sorted(slices.Values(m.Adapters)) {
			if !a.has(id) {
				b.step(e, engine.Order{Kind: engine.OrderUnloadAdapter, Model: a.Model, Version: a.Version, Adapter: id})
				return
			}
		}
	}
}

func (a Assignment) has(adapter string) bool {
	return slices.ContainsFunc(a.Adapters, func(x Adapter) bool { return x.ID == adapter })
}

func find(models []engine.Model, a Assignment) (engine.Model, bool) {
	for _, m := range models {
		if m.Name == a.Model && m.Version == a.Version && !m.Loading {
			return m, true
		}
	}
	return engine.Model{}, false
}

// missing returns the assignments that the endpoint neither holds nor loads.
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

// surplus returns the held models that are not assigned: those of no assigned
// name first, then old versions.
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

// vacate goes through the endpoint's surplus models. What may be unloaded is
// set aside at once, also when the endpoint cannot take the order yet: the
// choice then depends on the endpoints' order alone, and agents that decide by
// themselves from views of different age never spend the same reserve twice.
func (b *batch) vacate(e *rudderv1.Endpoint) {
	surplus := b.surplus(e)
	full := len(b.assigned[e.Name])+len(surplus) > Slots(e) // the room is needed
	for _, m := range surplus {
		if !b.mayUnload(e, m, full) {
			b.blocked = append(b.blocked, Blocked{b.dc, e.Name, m.Name, !full})
			continue
		}
		if b.lastCopy(e, m) {
			b.serving[m.Name]--
		}
		if b.mayOrderUnload(e) {
			b.step(e, engine.Order{Kind: engine.OrderUnloadModel, Model: m.Name, Version: m.Version})
		}
	}
}

// mayOrderUnload holds the bounds on endpoints in change, and keeps a model
// while the endpoint still has room for what it lacks.
func (b *batch) mayOrderUnload(e *rudderv1.Endpoint) bool {
	if b.ordered[e.Name] || b.inFlight() >= b.maxMoves {
		return false
	}
	if !b.moving[e.Name] && len(b.moving) >= b.maxMoves {
		return false
	}
	return len(b.missing(e)) == 0 || len(b.view[e.Name].Models) >= Slots(e)
}

// mayUnload keeps the floor when the room is needed, and otherwise waits until
// the replacements serve.
func (b *batch) mayUnload(e *rudderv1.Endpoint, m engine.Model, needed bool) bool {
	if !b.lastCopy(e, m) {
		return true
	}
	keep := Floor(b.doc, m.Name, b.dc)
	if !needed {
		keep = max(keep, b.wanted[m.Name])
	}
	return b.serving[m.Name]-1 >= keep
}

// lastCopy tells whether unloading m takes the model's name off the endpoint.
func (b *batch) lastCopy(e *rudderv1.Endpoint, m engine.Model) bool {
	copies := 0
	for _, x := range b.view[e.Name].Models {
		if x.Name == m.Name && !x.Loading {
			copies++
		}
	}
	return copies == 1 && !m.Loading
}
