package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/internal/standin/usersplatform"
)

// TestCheckProgress guards against a check that finds no violation, or one where there is none.
func TestCheckProgress(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	stalled := func(ended int) request {
		return request{id: "a", kind: "stream", gateway: "g", sent: at(0), ended: at(ended)}
	}
	resumed := func(ms int, after string) func(f *facts) {
		return func(f *facts) {
			f.ledger.AddRun("a", usersplatform.Run{Worker: "j", ResumedAfter: after, At: at(ms)})
		}
	}
	endless := func(ms int) func(f *facts) {
		return func(f *facts) {
			f.ledger.AddEndlessRun(usersplatform.EndlessRun{ID: "a", From: at(0), To: at(ms)})
		}
	}
	cases := []struct {
		name    string
		request request
		add     func(f *facts)
		want    string // part of the violation; empty: there is none
	}{
		{"resumed", stalled(1500), resumed(1200, "1"), ""},
		{"not resumed", stalled(3000), nil, "was not resumed"},
		{"left before that", stalled(1500), nil, ""},
		{"resumed late", stalled(3000), resumed(2000, "1"), "resumed 2s after"},
		{"cut too early", stalled(3000), resumed(500, "1"), "before the limit"},
		{"with a gap", stalled(3000), resumed(1200, "2"), "after event"},
		{"gateway disturbed", stalled(3000), func(f *facts) { f.disrupted["g"] = []interval{{at(100), at(900)}} }, ""},
		{"slow reader disconnected", request{id: "a", kind: "endless", gateway: "g"}, endless(1300), ""},
		{"slow reader not disconnected", request{id: "a", kind: "endless", gateway: "g"}, endless(3000), "lasted 3s"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFacts()
			f.ledger.AddRun("a", usersplatform.Run{Worker: "i", At: at(0)})
			f.ledger.AddStall("a", usersplatform.Stall{Worker: "i", LastEvent: 1, At: at(0)})
			if tc.add != nil {
				tc.add(f)
			}
			got := checkProgress([]request{tc.request}, f)
			is.True(got.stalls+got.endless > 0)
			is.Equal(len(got.violations) > 0, tc.want != "")
			is.True(strings.Contains(strings.Join(got.violations, "\n"), tc.want))
		})
	}
}
