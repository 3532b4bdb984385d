package plan

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/placement"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// drawDocument returns a random document with one data centre.
func drawDocument(t *rapid.T) *rudderv1.Document {
	d := &rudderv1.Document{Generation: 1, PlanId: "p"}
	n := rapid.IntRange(1, 6).Draw(t, "endpoints")
	for i := range n {
		host := fmt.Sprintf("h%d", i)
		d.Hosts = append(d.Hosts, &rudderv1.Host{Name: host, DataCentre: "a", Leaving: rapid.IntRange(0, 5).Draw(t, "leaving") == 0})
		d.Endpoints = append(d.Endpoints, &rudderv1.Endpoint{Name: fmt.Sprintf("e%d", i), Host: host, DataCentre: "a", Role: "mixed", MaxModels: rapid.Uint32Range(1, 2).Draw(t, "slots")})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "models") {
		r := rapid.Uint32Range(1, uint32(n)).Draw(t, "replicas")
		d.Models = append(d.Models, &rudderv1.Model{
			Name: fmt.Sprintf("m%d", i), Version: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"),
			Replicas: map[string]uint32{"a": r}, Floor: rapid.Uint32Range(0, r).Draw(t, "floor"),
		})
	}
	return d
}

// TestPlannedCapacity: for random documents and endpoint states, every model that
// falls below its floor is named as a violation, and forcing all named violations
// makes the plan acceptable.
func TestPlannedCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next := drawDocument(t), drawDocument(t)
		var view placement.View
		if rapid.Bool().Draw(t, "live") {
			view = make(placement.View)
			for _, e := range base.Endpoints {
				h := placement.EndpointState{Serving: rapid.IntRange(0, 5).Draw(t, "serving") > 0}
				for _, m := range rapid.Permutation([]string{"m0", "m1", "m2"}).Draw(t, "held")[:rapid.IntRange(0, int(e.MaxModels)).Draw(t, "n")] {
					h.Models = append(h.Models, engine.Model{Name: m, Version: "1", Loading: rapid.Bool().Draw(t, "loading")})
				}
				view[e.Name] = h
			}
		}
		p, _ := Make(base, next, Options{View: view})
		var names []string
		for _, b := range p.Violations {
			names = append(names, b.Name)
		}
		for _, c := range p.Capacity {
			low := c.Lowest < min(c.Floor, c.Before) || c.After < c.Floor
			if low && !slices.Contains(names, placement.BelowFloor(c.Model, c.DataCentre)) {
				t.Fatalf("%+v is below its floor and not named in %v", c, names)
			}
		}
		// Forcing a floor allows further steps, which may cause further violations. Each
		// name appears once, so the loop ends.
		for range len(next.Models) + 2 {
			p, err := Make(base, next, Options{View: view, Force: names})
			if err == nil {
				return
			}
			if codeOf(err) != result.PlanBreaks {
				t.Fatalf("forced %v: %v", names, err)
			}
			for _, b := range p.Violations {
				if !b.Forced {
					names = append(names, b.Name)
				}
			}
		}
		t.Fatalf("still refused when forced: %v", names)
	})
}
