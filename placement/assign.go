package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/micarudder/micarudder/rudderv1"
)

// Assign returns the models that every live engine should hold. Endpoints are
// chosen by rendezvous hashing of model and endpoint names, so a change of a
// version or an adapter moves no model, and an endpoint that joins or leaves
// moves few models of other endpoints.
func Assign(doc *rudderv1.Document, live map[string]bool) Assignments {
	out := make(Assignments)
	for _, dc := range DataCentres(doc) {
		assignIn(out, doc, dc, live)
	}
	return out
}

// AssignIn is like Assign but limited to one data centre.
func AssignIn(doc *rudderv1.Document, dataCentre string, live map[string]bool) Assignments {
	out := make(Assignments)
	assignIn(out, doc, dataCentre, live)
	return out
}

// DataCentres returns the sorted names of the document's data centres.
func DataCentres(doc *rudderv1.Document) []string {
	var out []string
	for _, e := range doc.GetEndpoints() {
		out = append(out, e.DataCentre)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// demand is the number of replicas of a model that are still to be assigned in
// one data centre.
type demand struct {
	model *rudderv1.Model
	need  int
}

// allocation holds the state of the assignment in one data centre.
type allocation struct {
	engines []*rudderv1.Endpoint
	demands []*demand
	free    map[string]int       // free slots, by endpoint
	holds   map[string][]*demand // assigned models, by endpoint
}

func newAllocation(doc *rudderv1.Document, dc string, live map[string]bool) *allocation {
	a := &allocation{free: make(map[string]int), holds: make(map[string][]*demand)}
	draining := drainingHosts(doc)
	for _, e := range doc.GetEndpoints() {
		if e.DataCentre == dc && live[e.Name] && isPlaceable(e, draining) {
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

// assignIn adds the assignments of one data centre to out.
func assignIn(out Assignments, doc *rudderv1.Document, dc string, live map[string]bool) {
	a := newAllocation(doc, dc, live)
	candidates := a.rank()
	// Every model gets its guaranteed replicas before any model gets more.
	for _, d := range a.demands {
		d.need = guaranteedReplicas(d.model, dc)
	}
	candidates = a.assignGreedily(candidates)
	a.repair()
	for _, d := range a.demands {
		d.need += int(d.model.Replicas[dc]) - guaranteedReplicas(d.model, dc)
	}
	a.assignGreedily(candidates)
	a.repair()
	for _, e := range a.engines {
		for _, d := range a.holds[e.Name] {
			out[e.Name] = append(out[e.Name], assignment(d.model))
		}
		slices.SortFunc(out[e.Name], func(x, y Assignment) int { return cmp.Compare(x.Model, y.Model) })
	}
}

// guaranteedReplicas returns the number of replicas that a model gets before
// any model gets more: its floor, but at least one.
func guaranteedReplicas(m *rudderv1.Model, dc string) int {
	return int(max(1, min(m.Floor, m.Replicas[dc])))
}

// candidate is a possible assignment of a model to an endpoint. Higher scores
// are preferred.
type candidate struct {
	score    uint64
	demand   *demand
	endpoint *rudderv1.Endpoint
}

// rank returns all candidates, sorted by descending score.
func (a *allocation) rank() []candidate {
	candidates := make([]candidate, 0, len(a.demands)*len(a.engines))
	for _, d := range a.demands {
		for _, e := range a.engines {
			candidates = append(candidates, candidate{score(d.model.Name, e.Name), d, e})
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(
			cmp.Compare(y.score, x.score),
			cmp.Compare(x.demand.model.Name, y.demand.model.Name),
			cmp.Compare(x.endpoint.Name, y.endpoint.Name),
		)
	})
	return candidates
}

// score returns the rendezvous hash of a model and an endpoint.
func score(model, endpoint string) uint64 {
	return xxhash.Sum64String(model + "\x00" + endpoint)
}

// assignGreedily assigns candidates in descending order of score as long as the
// model needs replicas and the endpoint has a free slot. It returns the
// candidates that were not assigned.
func (a *allocation) assignGreedily(candidates []candidate) []candidate {
	var remaining []candidate
	for _, c := range candidates {
		if c.demand.need == 0 || a.free[c.endpoint.Name] == 0 || slices.Contains(a.holds[c.endpoint.Name], c.demand) {
			remaining = append(remaining, c)
			continue
		}
		a.assign(c.demand, c.endpoint.Name)
		c.demand.need--
	}
	return remaining
}

// assign gives a slot of the endpoint to a model.
func (a *allocation) assign(d *demand, endpoint string) {
	a.free[endpoint]--
	a.holds[endpoint] = append(a.holds[endpoint], d)
}

// unassign frees the endpoint's slot that a model was given.
func (a *allocation) unassign(d *demand, endpoint string) {
	a.free[endpoint]++
	a.holds[endpoint] = slices.DeleteFunc(a.holds[endpoint], func(x *demand) bool { return x == d })
}

// assignment returns the assignment of a model with its adapters.
func assignment(m *rudderv1.Model) Assignment {
	a := Assignment{Model: m.Name, Version: m.Version, Weights: m.Weights}
	for _, x := range m.Adapters {
		a.Adapters = append(a.Adapters, Adapter{AdapterID(x.Name, x.Version), x.Weights})
	}
	slices.SortFunc(a.Adapters, func(x, y Adapter) int { return cmp.Compare(x.ID, y.ID) })
	return a
}
