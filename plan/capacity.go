package plan

import (
	"cmp"
	"maps"
	"slices"

	"github.com/micarudder/micarudder/placement"
	"github.com/micarudder/micarudder/rudderv1"
)

// spot is one model in one data centre.
type spot struct{ model, dc string }

// tally counts serving endpoints.
type tally map[spot]int

// count counts what the view's serving endpoints hold.
func count(d *rudderv1.Document, view placement.View) tally {
	out := make(tally)
	for _, dc := range placement.DataCentres(d) {
		maps.Copy(out, countIn(d, dc, view))
	}
	return out
}

func countIn(d *rudderv1.Document, dc string, view placement.View) tally {
	out := make(tally)
	for _, e := range d.GetEndpoints() {
		h := view[e.Name]
		if e.DataCentre != dc || !h.Serving {
			continue
		}
		names := make(map[string]bool)
		for _, m := range h.Models {
			if !m.Loading && !names[m.Name] {
				names[m.Name] = true
				out[spot{m.Name, dc}]++
			}
		}
	}
	return out
}

// lower keeps the smaller count of every spot in a data centre.
func (t tally) lower(dc string, now tally) {
	for s, n := range t {
		if s.dc == dc {
			t[s] = min(n, now[s])
		}
	}
}

// capacities lists every spot that either document asks for or that is held.
func capacities(base, next *rudderv1.Document, before, lowest, after tally) []Capacity {
	wanted := make(tally)
	spots := make(map[spot]bool)
	for s := range before {
		spots[s] = true
	}
	for _, d := range []*rudderv1.Document{base, next} {
		for _, m := range d.GetModels() {
			for dc := range m.Replicas {
				spots[spot{m.Name, dc}] = true
			}
		}
	}
	for _, m := range next.GetModels() {
		for dc, n := range m.Replicas {
			wanted[spot{m.Name, dc}] = int(n)
		}
	}
	var out []Capacity
	for s := range spots {
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

// declaredFloor is the floor as declared, whatever is forced.
func declaredFloor(d *rudderv1.Document, s spot) int {
	for _, m := range d.GetModels() {
		if m.Name == s.model {
			return int(min(m.Floor, m.Replicas[s.dc]))
		}
	}
	return 0
}
