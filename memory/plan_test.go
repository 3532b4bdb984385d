package memory

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// idleRooms returns rooms with the given limits and no reservations, named a, b, c and so
// on.
func idleRooms(limits ...uint64) []EndpointMemory {
	var out []EndpointMemory
	for i, l := range limits {
		out = append(out, EndpointMemory{Endpoint: string(rune('a' + i)), Limit: l, Free: l})
	}
	return out
}

func memberNames(p Plan) string {
	out := ""
	for _, m := range p {
		out += m.Endpoint
	}
	return out
}

func TestPlan(t *testing.T) {
	const limit = 393_750 // seven eighths of 450,000
	million := PlanRequest{Prompt: 1_000_000, Output: 1000}
	with := func(view []EndpointMemory, change func([]EndpointMemory)) []EndpointMemory { change(view); return view }
	cases := []struct {
		name string
		need PlanRequest
		view []EndpointMemory
		want string
	}{
		{"a million tokens need four endpoints", million, idleRooms(limit, limit, limit, limit, limit), "abcd"},
		{"two endpoints are enough", PlanRequest{Prompt: 500_000}, idleRooms(limit, limit, limit), "ab"},
		{"three endpoints if there are no more", million, idleRooms(limit, limit, limit), "abc"},
		{"too little memory in total", million, idleRooms(limit, limit), ""},
		{"no endpoints", million, nil, ""},
		{"the ticket's endpoint answers", PlanRequest{Prompt: 500_000, LastEndpoint: "c"}, idleRooms(limit, limit, limit), "ac"},
		{"the ticket's endpoint is gone", PlanRequest{Prompt: 500_000, LastEndpoint: "x"}, idleRooms(limit, limit, limit), ""},
		{"an endpoint that failed comes last", PlanRequest{Prompt: 500_000}, with(idleRooms(limit, limit, limit), func(v []EndpointMemory) { v[0].Avoid = true }), "bc"},
		{"an endpoint that failed is taken if there is no other", million, with(idleRooms(limit, limit, limit, limit), func(v []EndpointMemory) { v[0].Avoid = true }), "abcd"},
		{"endpoints with reservations are left out", PlanRequest{Prompt: 500_000}, with(idleRooms(limit, limit, limit), func(v []EndpointMemory) { v[1].Reserved = 300_000 }), "ac"},
		{"endpoints with reservations are waited for if needed", million, with(idleRooms(limit, limit, limit, limit), func(v []EndpointMemory) {
			v[1].Reserved, v[1].Free, v[2].Reserved, v[2].Free = 300_000, 90_000, 300_000, 95_000
		}), "adb"},
		{"the endpoint with more free memory computes first", PlanRequest{Prompt: 500_000}, with(idleRooms(limit, limit), func(v []EndpointMemory) { v[0].Free = 1000 }), "ba"},
		{"endpoints of the same data centre are preferred", PlanRequest{Prompt: 500_000}, with(idleRooms(limit, limit, limit), func(v []EndpointMemory) { v[1].SameDataCentre, v[2].SameDataCentre = true, true }), "bc"},
		{"endpoints with a shorter wait are preferred", PlanRequest{Prompt: 500_000}, with(idleRooms(limit, limit, limit), func(v []EndpointMemory) { v[0].Wait = 1 }), "bc"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(memberNames(c.need.Plan(c.view)), c.want) })
	}
}

// TestPlanCoversPrompt checks that a plan covers the prompt without a gap, and that each
// member's reservation holds its part and is within the endpoint's limit.
func TestPlanCoversPrompt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := rapid.SliceOfN(rapid.Uint64Range(0, 500_000), 0, 6).Draw(t, "limits")
		n := PlanRequest{Prompt: rapid.Uint64Range(1, 1_500_000).Draw(t, "prompt"), Output: rapid.Uint64Range(0, 5000).Draw(t, "answer")}
		p := n.Plan(idleRooms(limits...))
		var at uint64
		for i, m := range p {
			if m.Start != at || m.Tokens == 0 {
				t.Fatalf("gap at %d: %+v", at, p)
			}
			at += m.Tokens
			if m.ReserveTokens > limits[m.Endpoint[0]-'a'] {
				t.Fatalf("%+v exceeds its limit", m)
			}
			held := m.Tokens + m.Start/DefaultImportDivisor
			if i == len(p)-1 {
				held += n.Output
			}
			if held > m.ReserveTokens {
				t.Fatalf("%+v holds %d tokens, more than its reservation", m, held)
			}
		}
		if p != nil && at != n.Prompt {
			t.Fatalf("%d of %d tokens covered", at, n.Prompt)
		}
	})
}
