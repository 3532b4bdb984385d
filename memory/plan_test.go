package memory

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// idle returns rooms of the given limits, named a, b, c and so on.
func idle(limits ...uint64) []Room {
	var out []Room
	for i, l := range limits {
		out = append(out, Room{Endpoint: string(rune('a' + i)), Limit: l, Free: l})
	}
	return out
}

func names(p Plan) string {
	out := ""
	for _, m := range p {
		out += m.Endpoint
	}
	return out
}

func TestPlan(t *testing.T) {
	const limit = 393_750 // seven eighths of 450,000
	million := Need{Prompt: 1_000_000, Answer: 1000}
	busy := func(view []Room, change func([]Room)) []Room { change(view); return view }
	cases := []struct {
		name string
		need Need
		view []Room
		want string
	}{
		{"a million needs four", million, idle(limit, limit, limit, limit, limit), "abcd"},
		{"two are enough", Need{Prompt: 500_000}, idle(limit, limit, limit), "ab"},
		{"three if there are no more", million, idle(limit, limit, limit), "abc"},
		{"too little altogether", million, idle(limit, limit), ""},
		{"nothing", million, nil, ""},
		{"the ticket's endpoint answers", Need{Prompt: 500_000, Last: "c"}, idle(limit, limit, limit), "ac"},
		{"the ticket's endpoint is gone", Need{Prompt: 500_000, Last: "x"}, idle(limit, limit, limit), ""},
		{"one that failed comes last", Need{Prompt: 500_000}, busy(idle(limit, limit, limit), func(v []Room) { v[0].Avoid = true }), "bc"},
		{"one that failed is taken if there is no other", million, busy(idle(limit, limit, limit, limit), func(v []Room) { v[0].Avoid = true }), "abcd"},
		{"reserved ones are left out", Need{Prompt: 500_000}, busy(idle(limit, limit, limit), func(v []Room) { v[1].Reserved = 300_000 }), "ac"},
		{"or waited for", million, busy(idle(limit, limit, limit, limit), func(v []Room) { v[1].Reserved, v[1].Free, v[2].Reserved, v[2].Free = 300_000, 90_000, 300_000, 95_000 }), "adb"},
		{"the emptier computes first", Need{Prompt: 500_000}, busy(idle(limit, limit), func(v []Room) { v[0].Free = 1000 }), "ba"},
		{"the nearer is preferred", Need{Prompt: 500_000}, busy(idle(limit, limit, limit), func(v []Room) { v[1].Near, v[2].Near = true, true }), "bc"},
		{"the one with the shorter wait", Need{Prompt: 500_000}, busy(idle(limit, limit, limit), func(v []Room) { v[0].Wait = 1 }), "bc"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(names(c.need.Plan(c.view)), c.want) })
	}
}

// TestPlanHolds: a plan covers the prompt without a gap, within each endpoint's
// limit, and its parts are about equally large.
func TestPlanHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := rapid.SliceOfN(rapid.Uint64Range(0, 500_000), 0, 6).Draw(t, "limits")
		n := Need{Prompt: rapid.Uint64Range(1, 1_500_000).Draw(t, "prompt"), Answer: rapid.Uint64Range(0, 5000).Draw(t, "answer")}
		p := n.Plan(idle(limits...))
		var at uint64
		for i, m := range p {
			if m.Start != at || m.Tokens == 0 {
				t.Fatalf("gap at %d: %+v", at, p)
			}
			at += m.Tokens
			if m.Reserve > limits[m.Endpoint[0]-'a'] {
				t.Fatalf("%+v over its limit", m)
			}
			held := m.Tokens + m.Start/DefaultImportDivisor
			if i == len(p)-1 {
				held += n.Answer
			}
			if held > m.Reserve {
				t.Fatalf("%+v holds %d", m, held)
			}
		}
		if p != nil && at != n.Prompt {
			t.Fatalf("%d of %d covered", at, n.Prompt)
		}
	})
}
