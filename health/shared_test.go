package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func failureObservation(o Outcome, ms int64) map[string]Observation {
	return map[string]Observation{"e": {Failure: o, FailureAgeMs: ms}}
}

// TestFailingGateways checks that an endpoint is avoided once two gateways have failed to use it
// since it last served this one, and that the report of a single gateway is not enough.
func TestFailingGateways(t *testing.T) {
	const endpoints = 60
	now := start
	cases := []struct {
		name  string
		setup func(h *Table)
		want  bool
	}{
		{"no gateway failed", func(*Table) {}, false},
		{"one other gateway failed", func(h *Table) { h.UpdatePeer("a", failureObservation(Unreachable, 0), endpoints, now) }, false},
		{"two other gateways failed", func(h *Table) {
			h.UpdatePeer("a", failureObservation(Unreachable, 0), endpoints, now)
			h.UpdatePeer("b", failureObservation(BadResponse, 100), endpoints, now)
		}, true},
		{"one gateway reports twice", func(h *Table) {
			h.UpdatePeer("a", failureObservation(Unreachable, 0), endpoints, now)
			h.UpdatePeer("a", failureObservation(BadResponse, 0), endpoints, now)
		}, false},
		{"another gateway and this one, whose first bad response alone is not enough", func(h *Table) {
			h.RecordOutcome("e", BadResponse, now)
			h.UpdatePeer("a", failureObservation(BadResponse, 0), endpoints, now)
		}, true},
		{"two failures have expired", func(h *Table) {
			h.UpdatePeer("a", failureObservation(Unreachable, 2100), endpoints, now)
			h.UpdatePeer("b", failureObservation(Unreachable, 2100), endpoints, now)
		}, false},
		{"two failed, and the endpoint has served this gateway since", func(h *Table) {
			h.UpdatePeer("a", failureObservation(BadResponse, 300), endpoints, now)
			h.UpdatePeer("b", failureObservation(BadResponse, 300), endpoints, now)
			h.RecordOutcome("e", Success, now.Add(-100*time.Millisecond))
		}, false},
		{"two could not reach it, and it has answered this gateway's status query since", func(h *Table) {
			h.UpdatePeer("a", failureObservation(Unreachable, 300), endpoints, now)
			h.UpdatePeer("b", failureObservation(Unreachable, 300), endpoints, now)
			h.RecordReachable("e", now.Add(-100*time.Millisecond))
		}, false},
		{"two got bad responses, which a response to a status query does not disprove", func(h *Table) {
			h.UpdatePeer("a", failureObservation(BadResponse, 300), endpoints, now)
			h.UpdatePeer("b", failureObservation(BadResponse, 300), endpoints, now)
			h.RecordReachable("e", now.Add(-100*time.Millisecond))
		}, true},
		{"another endpoint has its address", func(h *Table) { h.UpdatePeer("a", failureObservation(Replaced, 0), endpoints, now) }, true},
		{"one gateway withdraws its report", func(h *Table) {
			h.UpdatePeer("a", failureObservation(Unreachable, 0), endpoints, now)
			h.UpdatePeer("b", failureObservation(Unreachable, 0), endpoints, now)
			h.UpdatePeer("b", nil, endpoints, now)
		}, false},
		{"the endpoint was forgotten", func(h *Table) {
			h.UpdatePeer("a", failureObservation(Unreachable, 0), endpoints, now)
			h.UpdatePeer("b", failureObservation(Unreachable, 0), endpoints, now)
			h.Forget("e")
		}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := NewTable()
			tc.setup(h)
			if got := h.Suspect("e", now); got != tc.want {
				t.Errorf("suspect: %v, want %v", got, tc.want)
			}
		})
	}
}

// TestIsolatedGatewaysAreDiscounted checks that two gateways that report failures at most of the
// endpoints make no other gateway avoid any of them, and that they are believed when they fail
// at a third or less.
func TestIsolatedGatewaysAreDiscounted(t *testing.T) {
	is := is.New(t)
	const endpoints = 60
	observations := func(n int) map[string]Observation {
		out := make(map[string]Observation)
		for i := range n {
			out[fmt.Sprint("e", i)] = Observation{Failure: Unreachable}
		}
		return out
	}
	h := NewTable()
	h.UpdatePeer("a", observations(40), endpoints, start)
	h.UpdatePeer("b", observations(40), endpoints, start)
	for i := range endpoints {
		is.True(!h.Suspect(fmt.Sprint("e", i), start))
	}
	h.UpdatePeer("a", observations(20), endpoints, start)
	h.UpdatePeer("b", observations(20), endpoints, start)
	is.True(h.Suspect("e0", start))
	is.True(!h.Suspect("e20", start))
}

// TestSlowdown checks that the newest report of an endpoint's slowdown applies, whichever gateway
// received it, until it expires.
func TestSlowdown(t *testing.T) {
	is := is.New(t)
	h := NewTable()
	is.Equal(h.Slowdown("e", start), 1.0)
	h.UpdatePeer("a", map[string]Observation{"e": {Slowdown: 4, SlowdownAgeMs: 100}}, 9, start)
	is.Equal(h.Slowdown("e", start), 4.0)
	h.SetSlowdown("e", 1, start.Add(-200*time.Millisecond)) // older
	is.Equal(h.Slowdown("e", start), 4.0)
	h.SetSlowdown("e", 1, start.Add(10*time.Millisecond))
	is.Equal(h.Slowdown("e", start.Add(20*time.Millisecond)), 1.0)
	h.SetSlowdown("e", 1000, start.Add(30*time.Millisecond))
	is.Equal(h.Slowdown("e", start.Add(40*time.Millisecond)), float64(maxSlowdown))
	is.Equal(h.Slowdown("e", start.Add(3*time.Second)), 1.0) // too old
	h.SetSlowdown("e", 3, start)
	h.Forget("e") // it has restarted
	is.Equal(h.Slowdown("e", start), 1.0)
}

// TestLocalObservations checks which observations a gateway shares, that their number is bounded
// and that they expire.
func TestLocalObservations(t *testing.T) {
	is := is.New(t)
	h := NewTable()
	h.RecordOutcome("good", Success, start)
	h.RecordOutcome("bad", BadResponse, start) // not shared
	h.RecordOutcome("away", Unreachable, start)
	h.SetSlowdown("slow", 3, start)
	h.SetSlowdown("usual", 1, start)
	h.RecordLateStream("late", start)
	later := start.Add(50 * time.Millisecond)
	is.Equal(h.LocalObservations(later), map[string]Observation{
		"away": {Failure: Unreachable, FailureAgeMs: 50}, "slow": {Slowdown: 3, SlowdownAgeMs: 50}, "late": {Late: true},
	})
	h.RecordOutcome("away", Success, later)
	h.SetSlowdown("late", 1, later) // it answered a status query
	is.Equal(len(h.LocalObservations(later)), 1)
	for i := range 100 {
		h.RecordLateStream(fmt.Sprint("l", i), later)
	}
	is.Equal(len(h.LocalObservations(later)), 1+maxSharedLate) // shared late streams are bounded
	is.Equal(len(h.LocalObservations(start.Add(observationTTL+time.Second))), 0)
	is.Equal(len(h.shareCandidates), 0)
}

// TestQueryReason checks the reason to query an endpoint, given the observations of other gateways.
func TestQueryReason(t *testing.T) {
	is := is.New(t)
	h := NewTable()
	is.Equal(h.QueryReason("e", start), NoQuery)
	h.UpdatePeer("a", map[string]Observation{"e": {Late: true}}, 9, start)
	is.Equal(h.QueryReason("e", start), PossiblySlow)
	is.Equal(h.QueryReason("f", start), NoQuery)
	h.UpdatePeer("a", map[string]Observation{"e": {Slowdown: 3}}, 9, start)
	is.Equal(h.QueryReason("e", start), PossiblySlow)
	is.Equal(h.QueryReason("f", start), OtherEndpointSlow)
	h.UpdatePeer("b", map[string]Observation{"f": {Failure: Unreachable}}, 9, start)
	is.Equal(h.QueryReason("f", start), RecentFailure)
	is.Equal(h.QueryReason("e", start.Add(observationTTL+time.Millisecond)), NoQuery)
}

// TestWatchers checks that gateways that know the same members agree on the assignment, that two
// gateways watch every endpoint, and that removing a gateway reassigns only its endpoints.
func TestWatchers(t *testing.T) {
	is := is.New(t)
	first, second := NewWatchers(nil).Lookup("e")
	is.Equal(first+second, "")
	first, second = NewWatchers([]string{"a"}).Lookup("e")
	is.Equal(first, "a")
	is.Equal(second, "a")
	var names, reversed []string
	for i := range 25 {
		names = append(names, fmt.Sprint("g", i))
		reversed = append([]string{fmt.Sprint("g", i)}, reversed...)
	}
	all, same, fewer := NewWatchers(names), NewWatchers(reversed), NewWatchers(names[1:])
	moved := 0
	for i := range 600 {
		e := fmt.Sprint("e", i)
		f, s := all.Lookup(e)
		is.True(f != s)
		f2, s2 := same.Lookup(e)
		is.Equal(f+s, f2+s2)
		if f3, _ := fewer.Lookup(e); f3 != f {
			moved++
			is.Equal(f, "g0")
		}
	}
	is.True(moved < 120)
}

// BenchmarkLookups measures the lookups of one routing decision over 1,000 endpoints while each
// of 100 gateways shares observations of 20.
func BenchmarkLookups(b *testing.B) {
	h := NewTable()
	for g := range 100 {
		observations := make(map[string]Observation)
		for i := range 20 {
			observations[fmt.Sprint("e", (g*20+i)%1000)] = Observation{Late: true}
		}
		h.UpdatePeer(fmt.Sprint("g", g), observations, 1000, start)
	}
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprint("e", i)
	}
	for b.Loop() {
		for _, id := range names {
			if h.Suspect(id, start) || h.Slowdown(id, start) != 1 {
				b.Fatal(id)
			}
		}
	}
}
