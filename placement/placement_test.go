package placement

import (
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/rudderv1"
)

const dc = "a"

// drawDocument returns a random document with one data centre.
func drawDocument(t *rapid.T) *rudderv1.Document {
	d := &rudderv1.Document{
		Generation: 5,
		Placement: &rudderv1.Placement{
			ConcurrentLoads: uint32(rapid.IntRange(0, 3).Draw(t, "loads")),
			MovingPercent:   uint32(rapid.IntRange(0, 60).Draw(t, "moving")),
		},
	}
	for i := range rapid.IntRange(1, 10).Draw(t, "endpoints") {
		d.Endpoints = append(d.Endpoints, &rudderv1.Endpoint{
			Name: fmt.Sprintf("e%d", i), Host: fmt.Sprintf("h%d", i), DataCentre: dc, Role: "mixed",
			MaxModels: uint32(rapid.IntRange(0, 3).Draw(t, "slots")),
		})
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "models") {
		n := rapid.IntRange(1, len(d.Endpoints)).Draw(t, "replicas")
		m := &rudderv1.Model{Name: fmt.Sprintf("m%d", i), Version: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"),
			Replicas: map[string]uint32{dc: uint32(n)}, Floor: uint32(rapid.IntRange(0, n).Draw(t, "floor"))}
		if rapid.Bool().Draw(t, "adapter") {
			m.Adapters = []*rudderv1.Adapter{{Name: "x", Version: "1"}}
		}
		d.Models = append(d.Models, m)
	}
	return d
}

// drawView returns a view of endpoints that hold random models, as many as their
// slots allow.
func drawView(t *rapid.T, d *rudderv1.Document) View {
	v := make(View)
	for _, e := range d.Endpoints {
		h := EndpointState{Role: rapid.SampledFrom([]string{"mixed", "decode"}).Draw(t, "role"), Serving: rapid.IntRange(0, 9).Draw(t, "serving") > 0}
		for _, name := range rapid.Permutation([]string{"m0", "m1", "m2", "gone"}).Draw(t, "held")[:rapid.IntRange(0, Slots(e)).Draw(t, "n")] {
			h.Models = append(h.Models, engine.Model{Name: name, Version: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "v")})
		}
		v[e.Name] = h
	}
	return v
}

// servingCounts returns the number of endpoints that serve each model.
func servingCounts(d *rudderv1.Document, v View) map[string]int {
	out := make(map[string]int)
	for _, e := range d.Endpoints {
		for name := range servedBy(v[e.Name]) {
			out[name]++
		}
	}
	return out
}

// startOrder returns the state of an endpoint while it executes the order.
func startOrder(h EndpointState, o engine.Order) EndpointState {
	h.Busy = true
	h.Models = slices.Clone(h.Models)
	switch o.Kind {
	case engine.OrderUnloadModel:
		h.Models = slices.DeleteFunc(h.Models, func(m engine.Model) bool { return m.Name == o.Model && m.Version == o.Version })
	case engine.OrderLoadModel:
		h.Models = append(h.Models, engine.Model{Name: o.Model, Version: o.Version, Loading: true})
	}
	return h
}

// finishOrder returns the state of an endpoint after it has executed the order.
func finishOrder(h EndpointState, o engine.Order) EndpointState {
	h.Busy = false
	h.Models = slices.Clone(h.Models)
	for i := range h.Models {
		m := &h.Models[i]
		m.Loading = false
		if m.Name != o.Model || m.Version != o.Version {
			continue
		}
		switch o.Kind {
		case engine.OrderLoadAdapter:
			m.Adapters = append(slices.Clone(m.Adapters), o.Adapter)
		case engine.OrderUnloadAdapter:
			m.Adapters = slices.DeleteFunc(slices.Clone(m.Adapters), func(a string) bool { return a == o.Adapter })
		}
	}
	if o.Kind == engine.OrderSetRole {
		h.Role = o.Role
	}
	return h
}

// TestAssignKeepsLimits checks that slots and replicas are never exceeded and
// that, if all endpoints have equally many slots, every floor is met where the
// floors fit and every replica is assigned where the replicas fit.
func TestAssignKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDocument(t)
		uniform := rapid.Bool().Draw(t, "uniform")
		live := make(map[string]bool)
		for _, e := range d.Endpoints {
			live[e.Name] = true
			if uniform {
				e.MaxModels = d.Endpoints[0].MaxModels
			}
		}
		assigned := Assign(d, live)
		got := make(map[string]int)
		for _, e := range d.Endpoints {
			if len(assigned[e.Name]) > Slots(e) {
				t.Fatalf("%s has %d models", e.Name, len(assigned[e.Name]))
			}
			names := make(map[string]bool)
			for _, a := range assigned[e.Name] {
				got[a.Model]++
				if names[a.Model] {
					t.Fatalf("%s has %s twice", e.Name, a.Model)
				}
				names[a.Model] = true
			}
		}
		room, floors, wanted := 0, 0, 0
		for _, e := range d.Endpoints {
			room += Slots(e)
		}
		for _, m := range d.Models {
			floors += guaranteedReplicas(m, dc)
			wanted += int(m.Replicas[dc])
		}
		for _, m := range d.Models {
			n, want := got[m.Name], int(m.Replicas[dc])
			if n > want || uniform && floors <= room && n < guaranteedReplicas(m, dc) || uniform && wanted <= room && n != want {
				t.Fatalf("%s has %d of %d replicas, floor %d; room %d, floors %d, wanted %d", m.Name, n, want, m.Floor, room, floors, wanted)
			}
		}
	})
}

// TestSameInputSameOutput checks that the order of the document's lists does not
// affect the result.
func TestSameInputSameOutput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDocument(t)
		v := drawView(t, d)
		assigned := Assign(d, v.Live())
		steps, blocked := Next(d, dc, assigned, v)
		r := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		r.Shuffle(len(d.Endpoints), func(i, j int) { d.Endpoints[i], d.Endpoints[j] = d.Endpoints[j], d.Endpoints[i] })
		r.Shuffle(len(d.Models), func(i, j int) { d.Models[i], d.Models[j] = d.Models[j], d.Models[i] })
		again := Assign(d, v.Live())
		steps2, blocked2 := Next(d, dc, again, v)
		if !reflect.DeepEqual(assigned, again) || !reflect.DeepEqual(steps, steps2) || !reflect.DeepEqual(blocked, blocked2) {
			t.Fatalf("%v\n%v", steps, steps2)
		}
	})
}

// TestAssignMovesLittle checks that, with slots for every model, the loss of an
// endpoint takes no model from another endpoint and adds to the others at most
// the models that the lost one held.
func TestAssignMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDocument(t)
		live := make(map[string]bool)
		for _, e := range d.Endpoints {
			e.MaxModels = uint32(len(d.Models))
			live[e.Name] = true
		}
		before := Assign(d, live)
		gone := rapid.SampledFrom(d.Endpoints).Draw(t, "gone").Name
		live[gone] = false
		after := Assign(d, live)
		moved := 0
		for _, e := range d.Endpoints {
			if e.Name == gone {
				continue
			}
			for _, a := range before[e.Name] {
				if !slices.ContainsFunc(after[e.Name], func(b Assignment) bool { return a.Model == b.Model }) {
					t.Fatalf("%s lost %s", e.Name, a.Model)
				}
			}
			moved += len(after[e.Name]) - len(before[e.Name])
		}
		if moved > len(before[gone]) {
			t.Fatalf("%d models moved, but %s held only %d", moved, gone, len(before[gone]))
		}
	})
}

// checkBatch checks the orders of one batch against the bounds.
func checkBatch(t *rapid.T, d *rudderv1.Document, v View, steps []PlannedOrder) {
	t.Helper()
	after := make(View)
	inFlight, loads := 0, 0
	for name, h := range v {
		after[name] = h
		loading := slices.ContainsFunc(h.Models, func(m engine.Model) bool { return m.Loading })
		if h.Serving && (h.Busy || loading) {
			inFlight++
		}
		if h.Serving && loading {
			loads++
		}
	}
	seen := make(map[string]bool)
	for _, s := range steps {
		if seen[s.Endpoint] || v[s.Endpoint].Busy || !v[s.Endpoint].Serving {
			t.Fatalf("order for %s, which is busy, not serving or already has an order", s.Endpoint)
		}
		seen[s.Endpoint] = true
		after[s.Endpoint] = startOrder(v[s.Endpoint], s.Order)
		inFlight++
		if s.Order.Kind == engine.OrderLoadModel || s.Order.Kind == engine.OrderLoadAdapter {
			loads++
		}
	}
	if len(steps) > 0 && inFlight > MaxConcurrentChanges(d, len(d.Endpoints)) {
		t.Fatalf("%d endpoints change at once", inFlight)
	}
	maxLoads := int(d.Placement.ConcurrentLoads)
	if maxLoads == 0 {
		maxLoads = DefaultConcurrentLoads
	}
	if len(steps) > 0 && loads > maxLoads && slices.ContainsFunc(steps, func(s PlannedOrder) bool { return s.Order.Kind == engine.OrderLoadModel }) {
		t.Fatalf("%d concurrent loads", loads)
	}
	before, now := servingCounts(d, v), servingCounts(d, after)
	for _, m := range d.Models {
		if now[m.Name] < min(before[m.Name], Floor(d, m.Name, dc)) {
			t.Fatalf("%s: %d serving after %d, floor %d", m.Name, now[m.Name], before[m.Name], Floor(d, m.Name, dc))
		}
	}
}

// TestNextConverges checks that, from any initial state of the endpoints and
// with orders that take arbitrarily long, the orders lead to the assignment or
// stop at a floor, and never exceed the bounds.
func TestNextConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDocument(t)
		v := drawView(t, d)
		assigned := Assign(d, v.Live())
		inProgress := make(map[string]engine.Order)
		for round := 0; ; round++ {
			if round > 500 {
				t.Fatalf("no convergence after 500 rounds")
			}
			steps, blocked := Next(d, dc, assigned, v)
			checkBatch(t, d, v, steps)
			for _, s := range steps {
				inProgress[s.Endpoint] = s.Order
				v[s.Endpoint] = startOrder(v[s.Endpoint], s.Order)
			}
			if len(inProgress) == 0 {
				if len(blocked) == 0 {
					requireReached(t, d, assigned, v)
				} else if !slices.ContainsFunc(blocked, func(b Blocked) bool { return !b.AwaitsReplacements }) {
					t.Fatalf("all of %v wait for replacements and none for a floor", blocked)
				}
				return
			}
			names := make([]string, 0, len(inProgress))
			for name := range inProgress {
				names = append(names, name)
			}
			slices.Sort(names)
			for i, name := range names {
				if i == 0 || rapid.Bool().Draw(t, "done") {
					v[name] = finishOrder(v[name], inProgress[name])
					delete(inProgress, name)
				}
			}
		}
	})
}

// requireReached checks that every serving endpoint holds its assignment.
func requireReached(t *rapid.T, d *rudderv1.Document, assigned Assignments, v View) {
	t.Helper()
	for _, e := range d.Endpoints {
		h := v[e.Name]
		if !h.Serving {
			continue
		}
		var held []Assignment
		for _, m := range h.Models {
			a := Assignment{Model: m.Name, Version: m.Version}
			for _, id := range m.Adapters {
				a.Adapters = append(a.Adapters, Adapter{ID: id})
			}
			held = append(held, a)
		}
		slices.SortFunc(held, func(x, y Assignment) int { return len(x.Model+x.Version) - len(y.Model+y.Version) })
		for _, a := range assigned[e.Name] {
			if !slices.ContainsFunc(held, func(b Assignment) bool { return reflect.DeepEqual(a, b) }) {
				t.Fatalf("%s holds %v, not %v", e.Name, held, a)
			}
		}
		if len(held) != len(assigned[e.Name]) || h.Role != e.Role {
			t.Fatalf("%s holds %v in role %s", e.Name, held, h.Role)
		}
	}
}

// TestNextWithStaleViews checks that agents that decide independently, each from
// its own delayed view of the others, keep every floor as long as no endpoint is
// lost.
func TestNextWithStaleViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDocument(t)
		actual := drawView(t, d)
		for name, h := range actual {
			h.Serving = true
			actual[name] = h
		}
		assigned := Assign(d, actual.Live())
		views := make(map[string]View)
		for _, e := range d.Endpoints {
			views[e.Name] = make(View)
			for name, h := range actual {
				views[e.Name][name] = h
			}
		}
		lowest := servingCounts(d, actual)
		inProgress := make(map[string]engine.Order)
		for range 60 {
			e := rapid.SampledFrom(d.Endpoints).Draw(t, "acts").Name
			if o, ok := inProgress[e]; ok {
				actual[e] = finishOrder(actual[e], o)
				delete(inProgress, e)
			}
			views[e][e] = actual[e]
			for _, other := range d.Endpoints {
				if rapid.Bool().Draw(t, "hears") {
					views[e][other.Name] = actual[other.Name]
				}
			}
			steps, _ := Next(d, dc, assigned, views[e])
			for _, s := range steps {
				if s.Endpoint == e {
					inProgress[e] = s.Order
					actual[e] = startOrder(actual[e], s.Order)
					views[e][e] = actual[e]
				}
			}
			now := servingCounts(d, actual)
			for _, m := range d.Models {
				if now[m.Name] < min(lowest[m.Name], Floor(d, m.Name, dc)) {
					t.Fatalf("%s: %d serving, floor %d", m.Name, now[m.Name], Floor(d, m.Name, dc))
				}
			}
		}
	})
}

func TestFence(t *testing.T) {
	is := is.New(t)
	is.Equal(Fence(3, 0), uint64(3<<fenceBits))
	is.Equal(Fence(3, 3<<fenceBits), uint64(3<<fenceBits+1))
	is.Equal(Fence(3, 4<<fenceBits), uint64(4<<fenceBits+1)) // always above the highest number seen
	// The number of a sender that read seen before it was paused is too low when
	// it resumes.
	paused := Fence(3, 7)
	successor := Fence(3, paused)
	is.True(paused < Fence(3, successor))
}

func TestForcedFloorIsOneLower(t *testing.T) {
	is := is.New(t)
	d := &rudderv1.Document{Models: []*rudderv1.Model{{Name: "m", Floor: 2, Replicas: map[string]uint32{"a": 2, "b": 1}}}}
	is.Equal([]int{Floor(d, "m", "a"), Floor(d, "m", "b"), Floor(d, "m", "c"), Floor(d, "n", "a")}, []int{2, 1, 0, 0})
	d.Forced = []string{BelowFloor("m", "a")}
	is.Equal([]int{Floor(d, "m", "a"), Floor(d, "m", "b")}, []int{1, 1})
}
