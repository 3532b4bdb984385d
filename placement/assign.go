package placement

import (
	"cmp"
	"slices"
	"sort"

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

// pair is a possible choice; higher scores win.
type pair struct {
	score    uint64
	demand   *demand
	endpoint *rudderv1.Endpoint
}

func assignIn(out Assigned, doc *rudderv1.Document, dc string, live map[string]bool) {
	leaving := leavingHosts(doc)
	free := make(map[string]int)
	var engines []*rudderv1.Endpoint
	for _, e := range doc.GetEndpoints() {
		if e.DataCentre == dc && live[e.Name] && isEngine(e, leaving) {
			engines = append(engines, e)
			free[e.Name] = Slots(e)
		}
	}
	var demands []*demand
	for _, m := range doc.GetModels() {
		if m.Replicas[dc] > 0 {
			demands = append(demands, &demand{model: m})
		}
	}
	pairs := rank(demands, engines)
	// Every model gets its floor before any gets more.
	for _, d := range demands {
		d.need = int(max(1, min(d.model.Floor, d.model.Replicas[dc])))
	}
	pairs = choose(out, pairs, free)
	for _, d := range demands {
		d.need += int(d.model.Replicas[dc] - max(1, min(d.model.Floor, d.model.Replicas[dc])))
	}
	choose(out, pairs, free)
	for _, e := range engines {
		slices.SortFunc(out[e.Name], func(a, b Assignment) int { return cmp.Compare(a.Model, b.Model) })
	}
}

func rank(demands []*demand, engines []*rudderv1.Endpoint) []pair {
	pairs := make([]pair, 0, len(demands)*len(engines))
	for _, d := range demands {
		for _, e := range engines {
			pairs = append(pairs, pair{score(d.model.Name, e.Name), d, e})
		}
	}
	sort.Slice(pairs, func(i, j int) bool {
		a, b := pairs[i], pairs[j]
		if a.score != b.score {
			return a.score > b.score
		}
		return a.demand.model.Name+"\x00"+a.endpoint.Name < b.demand.model.Name+"\x00"+b.endpoint.Name
	})
	return pairs
}

func score(model, endpoint string) uint64 {
	return xxhash.Sum64String(model + "\x00" + endpoint)
}

// choose takes pairs from the best down while both sides have room, and
// returns those it did not take.
func choose(out Assigned, pairs []pair, free map[string]int) []pair {
	var rest []pair
	for _, p := range pairs {
		if p.demand.need == 0 || free[p.endpoint.Name] == 0 {
			rest = append(rest, p)
			continue
		}
		p.demand.need--
		free[p.endpoint.Name]--
		out[p.endpoint.Name] = append(out[p.endpoint.Name], assignment(p.demand.model))
	}
	return rest
}

func assignment(m *rudderv1.Model) Assignment {
	a := Assignment{Model: m.Name, Version: m.Version, Weights: m.Weights}
	for _, x := range m.Adapters {
		a.Adapters = append(a.Adapters, Adapter{AdapterID(x.Name, x.Version), x.Weights})
	}
	slices.SortFunc(a.Adapters, func(x, y Adapter) int { return cmp.Compare(x.ID, y.ID) })
	return a
}
