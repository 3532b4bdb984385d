package plan

import (
	"cmp"
	"maps"
	"slices"

	"github.com/micarudder/micarudder/placement"
	"github.com/micarudder/micarudder/rudderv1"
)

// modelSite is a model in a data centre.
type modelSite struct{ model, dc string }

// servingCounts is the number of endpoints that serve each model in each data centre.
type servingCounts map[modelSite]int

// countServing counts the serving endpoints of the view in all data centres of the document.
func countServing(d *rudderv1.Document, view placement.View) servingCounts {
	out := make(servingCounts)
	for _, dc := range placement.DataCentres(d) {
		maps.Copy(out, countServingIn(d, dc, view))
	}
	return out
}

// countServingIn counts the serving endpoints of the view in one data centre. An
// endpoint counts once for each model that it holds and has finished loading.
func countServingIn(d *rudderv1.Document, dc string, view placement.View) servingCounts {
	out := make(servingCounts)
	for _, e := range d.GetEndpoints() {
		h := view[e.Name]
		if e.DataCentre != dc || !h.Serving {
			continue
		}
		names := make(map[string]bool)
		for _, m := range h.Models {
			if !m.Loading && !names[m.Name] {
				names[m.Name] = true
				out[modelSite{m.Name, dc}]++
			}
		}
	}
	return out
}

// keepMin lowers each count of a data centre to the one in now, if that is smaller.
func (t servingCounts) keepMin(dc string, now servingCounts) {
	for s, n := range t {
		if s.dc == dc {
			t[s] = min(n, now[s])
		}
	}
}

// capacities returns the capacity of every model in every data centre where
// either document asks for replicas or an endpoint serves it before the change,
// ordered by model and data centre.
func capacities(base, next *rudderv1.Document, before, lowest, after servingCounts) []Capacity {
	wanted := make(servingCounts)
	sites := make(map[modelSite]bool)
	for s := range before {
		sites[s] = true
	}
	for _, d := range []*rudderv1.Document{base, next} {
		for _, m := range d.GetModels() {
			for dc := range m.Replicas {
				sites[modelSite{m.Name, dc}] = true
			}
		}
	}
	for _, m := range next.GetModels() {
		for dc, n := range m.Replicas {
			wanted[modelSite{m.Name, dc}] = int(n)
		}
	}
	var out []Capacity
	for s := range sites {
		out = append(out, Capacity{
			Model: s.model, DataCentre: s.dc,
			Before: before[s], Lowest: min(lowest[s], before[s]), After: after[s],
			Floor: declaredFloor(next, s), Wanted: wanted[s],
		})
	}
	slices.SortFunc(out, func(a, b Capacity) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return out
}

// declaredFloor returns the declared floor, limited to the number of replicas.
// Forcing the floor does not change it.
func declaredFloor(d *rudderv1.Document, s modelSite) int {
	for _, m := range d.GetModels() {
		if m.Name == s.model {
			return int(min(m.Floor, m.Replicas[s.dc]))
		}
	}
	return 0
}
