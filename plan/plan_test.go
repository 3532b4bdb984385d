package plan

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/placement"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// testDocument returns an accepted document: model m with three replicas on four engines,
// a service, and a workspace that uses both.
func testDocument() *rudderv1.Document {
	d := &rudderv1.Document{
		Generation: 3, PlanId: "p3", History: []string{"p2", "p1"},
		Models:     []*rudderv1.Model{{Name: "m", Version: "1", Weights: "m/1", Replicas: map[string]uint32{"a": 3}, Floor: 2}},
		Services:   []*rudderv1.Service{{Name: "s"}},
		Workspaces: []*rudderv1.Workspace{{Name: "w", KeyDigests: []string{"k1", "k2"}, Models: []string{"m"}, Services: []string{"s"}}},
	}
	for i := range 4 {
		host := fmt.Sprintf("h%d", i)
		d.Hosts = append(d.Hosts, &rudderv1.Host{Name: host, DataCentre: "a"})
		d.Endpoints = append(d.Endpoints, &rudderv1.Endpoint{Name: fmt.Sprintf("e%d", i), Host: host, DataCentre: "a", Role: "mixed", MaxModels: 1})
	}
	d.Endpoints = append(d.Endpoints, &rudderv1.Endpoint{Name: "s0", Host: "h0", DataCentre: "a", Service: "s"})
	return d
}

func TestViolations(t *testing.T) {
	cases := []struct {
		name   string
		change func(d *rudderv1.Document)
		want   []string
	}{
		{"nothing", func(*rudderv1.Document) {}, nil},
		{"upgrade", func(d *rudderv1.Document) { d.Models[0].Version = "2" }, nil},
		{"upgrade at the floor", func(d *rudderv1.Document) { d.Models[0].Version, d.Models[0].Floor = "2", 3 }, []string{"below-floor:m@a"}},
		{"spare endpoint leaves", func(d *rudderv1.Document) { d.Endpoints[spareEndpoint(d)].Leaving = true }, nil},
		{"hosts leave", func(d *rudderv1.Document) {
			i := spareEndpoint(d)
			d.Hosts[(i+1)%4].Leaving, d.Hosts[(i+2)%4].Leaving = true, true
		}, []string{"below-floor:m@a"}},
		{"all engines leave", func(d *rudderv1.Document) {
			for _, e := range d.Endpoints[:4] {
				e.Leaving = true
			}
		}, []string{"below-floor:m@a", "last-model:w", "no-endpoint:m"}},
		{"model removed", func(d *rudderv1.Document) { d.Models = nil }, []string{"last-model:w"}},
		{"model removed from its workspace", func(d *rudderv1.Document) { d.Workspaces[0].Models = nil }, []string{"last-model:w"}},
		{"model without room", func(d *rudderv1.Document) {
			for i := range 4 {
				d.Models = append(d.Models, &rudderv1.Model{Name: fmt.Sprintf("n%d", i), Replicas: map[string]uint32{"a": 1}})
			}
			d.Models[0].Floor = 1
		}, []string{"no-endpoint:"}},
		{"workspace removed", func(d *rudderv1.Document) { d.Workspaces = nil }, []string{"workspace-removed:w"}},
		{"one key removed", func(d *rudderv1.Document) { d.Workspaces[0].KeyDigests = []string{"k2", "k3"} }, nil},
		{"all keys replaced", func(d *rudderv1.Document) { d.Workspaces[0].KeyDigests = []string{"k3"} }, []string{"keys-replaced:w"}},
		{"service endpoint leaves", func(d *rudderv1.Document) { d.Endpoints[4].Leaving = true }, []string{"service-unserved:s"}},
		{"model moves to an empty data centre", func(d *rudderv1.Document) {
			d.Endpoints = append(d.Endpoints, &rudderv1.Endpoint{Name: "b0", Host: "h0", DataCentre: "b", Role: "mixed"})
			d.Models[0].Replicas, d.Models[0].Floor = map[string]uint32{"b": 1}, 1
		}, []string{"unserved:m"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			base, next := testDocument(), testDocument()
			c.change(next)
			p, err := Make(base, next, Options{})
			is.True(p != nil)
			var got []string
			for _, b := range p.Violations {
				got = append(got, b.Name)
			}
			match := len(got) == len(c.want)
			for i := range min(len(got), len(c.want)) {
				match = match && strings.HasPrefix(got[i], c.want[i])
			}
			if !match {
				t.Fatalf("violations %v, want %v", got, c.want)
			}
			is.Equal(codeOf(err) == result.PlanBreaks, len(got) > 0)
			// With all violations forced the plan is accepted and records their names.
			forced, err := Make(base, next, Options{Force: got})
			is.NoErr(err)
			is.Equal(forced.Next().Forced, slices.Compact(slices.Sorted(slices.Values(got))))
			again, err := Make(base, next, Options{Force: got})
			is.NoErr(err)
			is.Equal(forced.ID, again.ID)
		})
	}
}

// spareEndpoint returns the index of the engine that holds no model.
func spareEndpoint(d *rudderv1.Document) int {
	live := map[string]bool{"e0": true, "e1": true, "e2": true, "e3": true}
	assigned := placement.Assign(d, live)
	return slices.IndexFunc(d.Endpoints, func(e *rudderv1.Endpoint) bool { return len(assigned[e.Name]) == 0 })
}

// codeOf returns the result code of err, or 0 if it has none.
func codeOf(err error) result.Code {
	var coded *result.Err
	if errors.As(err, &coded) {
		return coded.Code
	}
	return 0
}

func TestLiveView(t *testing.T) {
	is := is.New(t)
	view := assumedView(testDocument())
	for name, h := range view {
		if len(h.Models) > 0 {
			h.Models = []engine.Model{{Name: "m", Version: "1", Loading: true}}
			view[name] = h
			break
		}
	}
	p, err := Make(testDocument(), testDocument(), Options{View: view})
	is.NoErr(err)
	is.Equal(p.Assumed, false)
	is.Equal(p.Capacity, []Capacity{{Model: "m", DataCentre: "a", Before: 2, Lowest: 2, After: 3, Floor: 2, Wanted: 3}})
	// Endpoints of the base that no gateway reports count as lost; new ones are assumed to be up.
	next := testDocument()
	next.Endpoints = append(next.Endpoints, &rudderv1.Endpoint{Name: "new", Host: "h0", DataCentre: "a", Role: "mixed"})
	p, err = Make(testDocument(), next, Options{View: placement.View{}})
	is.Equal(codeOf(err), result.PlanBreaks)
	is.Equal(p.NewEndpoints, []string{"new"})
	is.Equal(p.Capacity[0].After, 1)
}

// TestUnknownFieldsAreKept: unknown fields that a newer release wrote into the base are preserved.
func TestUnknownFieldsAreKept(t *testing.T) {
	is := is.New(t)
	extra := protowire.AppendString(protowire.AppendTag(nil, 99, protowire.BytesType), "newer")
	base := testDocument()
	base.ProtoReflect().SetUnknown(extra)
	base.Models[0].ProtoReflect().SetUnknown(extra)
	next := testDocument()
	next.Models[0].Version = "2"
	p, err := Make(base, next, Options{})
	is.NoErr(err)
	data, err := p.Encode()
	is.NoErr(err)
	back, err := Decode(data)
	is.NoErr(err)
	is.Equal([]byte(back.Next().ProtoReflect().GetUnknown()), extra)
	is.Equal([]byte(back.Next().Models[0].ProtoReflect().GetUnknown()), extra)
}

func TestDecodeRefusesAlteredPlans(t *testing.T) {
	is := is.New(t)
	next := testDocument()
	next.Models[0].Version = "2"
	p, err := Make(testDocument(), next, Options{})
	is.NoErr(err)
	data, err := p.Encode()
	is.NoErr(err)
	back, err := Decode(data)
	is.NoErr(err)
	is.True(proto.Equal(back.Next(), p.Next()))
	for _, change := range [][2]string{{`"base_generation": 3`, `"base_generation": 4`}, {`"base_plan": "p3"`, `"base_plan": "p4"`}, {`"content": "`, `"content": "AAAA`}, {"{", ""}} {
		_, err := Decode([]byte(strings.Replace(string(data), change[0], change[1], 1)))
		is.Equal(codeOf(err), result.BadRequest)
	}
	// A refused plan cannot be confirmed.
	next.Models[0].Floor = 3
	p, err = Make(testDocument(), next, Options{})
	is.Equal(codeOf(err), result.PlanBreaks)
	data, err = p.Encode()
	is.NoErr(err)
	_, err = Decode(data)
	is.Equal(codeOf(err), result.PlanBreaks)
}
