package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/micarudder/micarudder/rudderv1"
)

// Assign says what every live engine should hold. Endpoints are chosen by
// rendezvous hashing over model and endpoint names: a version or an adapter
// change moves nothing, and an endpoint that comes or goes moves little else.
func Assign(doc *rudderv1.Document, live map[string]bool) Assigned {
	out := make(Assigned)
	for _, dc := range DataCentres(doc) {
		assignIn(out, doc, dc, live)
	}
	return out
}

// AssignIn is Assign for one data centre.
func AssignIn(doc *rudderv1.Document, dataCentre string, live map[string]bool) Assigned {
	out := make(Assigned)
	assignIn(out, doc, dataCentre, live)
	return out
}

// DataCentres returns the names of the document's data centres in order.
func DataCentres(doc *rudderv1.Document) []string {
	var out []string
	for _, e := range doc.GetEndpoints() {
		out = append(out, e.DataCentre)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// demand is one model's need in one data centre.
type demand struct {
	model *rudderv1.Model
	need  int
}

// allocation is the state of assigning one data centre.
type allocation struct {
	engines []*rudderv1.Endpoint
	demands []*demand
	free    map[string]int
	holds   map[string][]*demand // by endpoint
}

func newAllocation(doc *rudderv1.Document, dc string, live map[string]bool) *allocation {
	a := &allocation{free: make(map[string]int), holds: make(map[string][]*demand)}
	leaving := leavingHosts(doc)
	for _, e := range doc.GetEndpoints() {
		if e.DataCentre == dc && live[e.Name] && isEngine(e, leaving) {
			a.engines = append(a.engines, e)
			a.free[e.Name] = Slots(e)
		}
	}
	for _, m := range doc.GetModels() {
		if m.Replicas[dc] > 0 {
			a.demands = append(a.demands, &demand{model: m})
		}
	}
	slices.SortFunc(a.demands, func(x, y *demand) int { return cmp.Compare(x.model.Name, y.model.Name) })
	return a
}

func assignIn(out Assigned, doc *rudderv1.Document, dc string, live map[string]bool) {
	a := newAllocation(doc, dc, live)
	pairs := a.rank()
	// Every model gets its floor before any gets more.
	for _, d := range a.demands {
		d.need = least(d.model, dc)
	}
	pairs = a.choose(pairs)
	a.repair()
	for _, d := range a.demands {
		d.need += int(d.model.Replicas[dc]) - least(d.model, dc)
	}
	a.choose(pairs)
	a.repair()
	for _, e := range a.engines {
		for _, d := range a.holds[e.Name] {
			out[e.Name] = append(out[e.Name], assignment(d.model))
		}
		slices.SortFunc(out[e.Name], func(x, y Assignment) int { return cmp.Compare(x.Model, y.Model) })
	}
}

// least is what a model gets before others get more: its floor, at least one.
func least(m *rudderv1.Model, dc string) int {
	return int(max(1, min(m.Floor, m.Replicas[dc])))
}

// pair is a possible choice; higher scores win.
type pair struct {
	score    uint64
	demand   *demand
	endpoint *rudderv1.Endpoint
}

func (a *allocation) rank() []pair {
	pairs := make([]pair, 0, len(a.demands)*len(a.engines))
	for _, d := range a.demands {
		for _, e := range a.engines {
			pairs = append(pairs, pair{score(d.model.Name, e.Name), d, e})
		}
	}
	slices.SortFunc(pairs, func(x, y pair) int {
		return cmp.Or(
			cmp.Compare(y.score, x.score),
			cmp.Compare(x.demand.model.Name, y.demand.model.Name),
			cmp.Compare(x.endpoint.Name, y.endpoint.Name),
		)
	})
	return pairs
}

func score(model, endpoint string) uint64 {
	return xxhash.Sum64String(model + "\x00" + endpoint)
}

// choose takes pairs from the best down while both sides have room, and
// returns those it did not take.
func (a *allocation) choose(pairs []pair) []pair {
	var rest []pair
	for _, p := range pairs {
		if p.demand.need == 0 || a.free[p.endpoint.Name] == 0 || slices.Contains(a.holds[p.endpoint.Name], p.demand) {
			rest = append(rest, p)
			continue
		}
		a.put(p.demand, p.endpoint.Name)
		p.demand.need--
	}
	return rest
}

func (a *allocation) put(d *demand, endpoint string) {
	a.free[endpoint]--
	a.holds[endpoint] = append(a.holds[endpoint], d)
}

func (a *allocation) take(d *demand, endpoint string) {
	a.free[endpoint]++
	a.holds[endpoint] = slices.DeleteFunc(a.holds[endpoint], func(x *demand) bool { return x == d })
}

func assignment(m *rudderv1.Model) Assignment {
	a := Assignment{Model: m.Name, Version: m.Version, Weights: m.Weights}
	for _, x := range m.Adapters {
		a.Adapters = append(a.Adapters, Adapter{AdapterID(x.Name, x.Version), x.Weights})
	}
	slices.SortFunc(a.Adapters, func(x, y Adapter) int { return cmp.Compare(x.ID, y.ID) })
	return a
}
