package document

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/micarudder/micarudder/rudderv1"
)

// drawDocument returns a random document whose lists are in random order.
func drawDocument(t *rapid.T, generation uint64) *rudderv1.Document {
	d := &rudderv1.Document{Generation: generation, PlanId: fmt.Sprint("p", rapid.IntRange(0, 3).Draw(t, "plan"))}
	names := func(label string) []string {
		return rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 4, rapid.ID[string]).Draw(t, label)
	}
	for _, n := range names("models") {
		d.Models = append(d.Models, &rudderv1.Model{Name: n, Version: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "v"), Replicas: map[string]uint32{"x": 1, "y": 2}})
	}
	for _, n := range names("workspaces") {
		d.Workspaces = append(d.Workspaces, &rudderv1.Workspace{Name: n, Weight: rapid.Uint32Range(0, 1).Draw(t, "w")})
	}
	for _, n := range names("endpoints") {
		d.Endpoints = append(d.Endpoints, &rudderv1.Endpoint{Name: n, Leaving: rapid.Bool().Draw(t, "l")})
	}
	for _, n := range names("hosts") {
		d.Hosts = append(d.Hosts, &rudderv1.Host{Name: n, Leaving: rapid.Bool().Draw(t, "l")})
	}
	for _, n := range names("services") {
		d.Services = append(d.Services, &rudderv1.Service{Name: n})
	}
	return d
}

// TestDelta checks that a delta applied to its base gives the next document, and
// applied to any other document gives the same one or an error.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next := drawDocument(t, 7), drawDocument(t, 8)
		base.History = []string{"p5"}
		if rapid.Bool().Draw(t, "follows") {
			next.History = History(base)
		}
		delta := Diff(base, next)
		got, err := Apply(base, delta)
		if err != nil || !proto.Equal(got, sortedCopy(next)) {
			t.Fatalf("%v\n%v\n%v", err, got, next)
		}
		other := drawDocument(t, 7)
		got, err = Apply(other, delta)
		if err == nil && !proto.Equal(got, sortedCopy(next)) {
			t.Fatalf("applied to another base with a different result: %v", got)
		}
	})
}

func TestDeltaNeedsItsBase(t *testing.T) {
	is := is.New(t)
	base := &rudderv1.Document{Generation: 7, PlanId: "p7"}
	delta := Diff(base, &rudderv1.Document{Generation: 8, PlanId: "p8"})
	for _, other := range []*rudderv1.Document{nil, {Generation: 6, PlanId: "p7"}, {Generation: 7, PlanId: "q"}, {Generation: 7, PlanId: "p7", Operator: "x", Hosts: []*rudderv1.Host{{Name: "h"}}}} {
		_, err := Apply(other, delta)
		is.True(errors.Is(err, ErrBaseMismatch))
	}
	_, err := Apply(base, &rudderv1.DocumentDelta{BaseGeneration: 7, BasePlanId: "p7"})
	is.True(errors.Is(err, ErrBaseMismatch))
}
