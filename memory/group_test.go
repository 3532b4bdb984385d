package memory

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/micarudder/micarudder/result"
)

const (
	simLimit = 100
	simLease = 4 * time.Second
)

// sim drives groups and books without a network: one step of one group at a time, in an
// order that the test chooses.
type sim struct {
	tables  map[string]*LeaseTable
	now     time.Time
	groups  []*simGroup
	runTime time.Duration // how long each group keeps its memory; less than a lease
}

type simGroup struct {
	g        *Group
	since    int64
	plan     Plan
	resumeAt time.Time // time of its next step
	begun    bool
	running  bool // its run has started
	done     bool
	failed   result.Code
}

func newSim(endpoints ...string) *sim {
	s := &sim{tables: map[string]*LeaseTable{}, now: start}
	for _, e := range endpoints {
		s.tables[e] = NewLeaseTable(simLimit, simLimit)
	}
	return s
}

// add adds a group that reserves the given tokens at each endpoint.
func (s *sim) add(tokens uint64, endpoints ...string) {
	var p Plan
	for _, e := range endpoints {
		p = append(p, Member{Endpoint: e, Tokens: 1, ReserveTokens: tokens})
	}
	id := fmt.Sprint("g", len(s.groups))
	s.groups = append(s.groups, &simGroup{g: NewGroup(id, false), since: s.now.UnixMilli(), plan: p, resumeAt: s.now})
}

// step lets one group take its next step. It reports whether there was one.
func (s *sim) step(sg *simGroup) bool {
	if sg.done || sg.failed != 0 || s.now.Before(sg.resumeAt) {
		return false
	}
	if !sg.begun {
		sg.begun = true
		sg.g.Begin(sg.plan)
	}
	a := sg.g.Next()
	switch a.Kind {
	case ActionReserve:
		s.reserve(sg, a.Member)
	case ActionBackoff:
		s.release(sg)
		sg.begun, sg.resumeAt = false, s.now.Add(a.Backoff)
	case ActionFail:
		s.release(sg)
		sg.failed = a.Code
	case ActionRun:
		if !sg.running {
			sg.running, sg.resumeAt = true, s.now.Add(s.runTime)
			return true
		}
		s.release(sg)
		sg.done = true
	default:
		for _, m := range sg.g.RecordComputed(a.Member) {
			s.free(sg, m)
		}
	}
	return true
}

func (s *sim) reserve(sg *simGroup, m int) {
	sg.g.RecordRequested(m)
	v := s.tables[sg.plan[m].Endpoint].Reserve(Request{
		Group: sg.g.id, Epoch: sg.g.Epoch(), Tokens: sg.plan[m].ReserveTokens, Lease: simLease, StartUnixMs: sg.since,
	}, s.now)
	if v.Granted {
		sg.g.RecordGranted(m, s.now, simLease)
		return
	}
	sg.g.RecordFailure(v.Code)
}

func (s *sim) release(sg *simGroup) {
	for _, m := range sg.g.Holders(false) {
		s.free(sg, m)
	}
}

func (s *sim) free(sg *simGroup, m int) {
	b := s.tables[sg.plan[m].Endpoint]
	b.Release(sg.g.Reservation(), s.now)
	b.RecordFreed(sg.g.Reservation())
}

// run steps the groups until all have ended. It returns false if that takes more than a
// minute of virtual time.
func (s *sim) run(choose func(n int) int) bool {
	for end := s.now.Add(time.Minute); s.now.Before(end); {
		stepped := false
		for _, i := range permutation(len(s.groups), choose) {
			stepped = s.step(s.groups[i]) || stepped
		}
		if !stepped {
			s.now = s.now.Add(10 * time.Millisecond)
		}
		if s.allEnded() {
			return true
		}
	}
	return false
}

func (s *sim) allEnded() bool {
	for _, sg := range s.groups {
		if !sg.done && sg.failed == 0 {
			return false
		}
	}
	return true
}

func permutation(n int, choose func(int) int) []int {
	out := make([]int, n)
	for i := range out {
		j := choose(i + 1)
		out[i], out[j] = out[j], i
	}
	return out
}

// TestGroupsNeverStarveEachOther checks that two to four groups on overlapping endpoints,
// stepped in any order, all finish and release all memory.
func TestGroupsNeverStarveEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := []string{"a", "b", "c", "d"}
		s := newSim(all...)
		for range rapid.IntRange(2, 4).Draw(t, "groups") {
			chosen := rapid.Permutation(all).Draw(t, "members")[:rapid.IntRange(2, 4).Draw(t, "size")]
			s.add(rapid.Uint64Range(40, 100).Draw(t, "tokens"), chosen...)
		}
		if !s.run(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }) {
			t.Fatal("not all groups finished")
		}
		for _, sg := range s.groups {
			if sg.failed != 0 {
				t.Fatalf("%s failed: %v", sg.g.id, sg.failed)
			}
		}
		for e, b := range s.tables {
			if b.Reserved() != 0 {
				t.Fatalf("%s: %d tokens still reserved in the end", e, b.Reserved())
			}
		}
	})
}

// TestOlderGroupIsNotOvertaken checks that a group that needs all memory is formed
// although smaller groups, which together leave no gap, keep arriving.
func TestOlderGroupIsNotOvertaken(t *testing.T) {
	is := is.New(t)
	s := newSim("a", "b", "c", "d")
	s.runTime = 2 * time.Second
	s.add(60, "a", "b")
	s.step(s.groups[0])
	s.add(100, "a", "b", "c", "d")
	wide := s.groups[1]
	for range 2000 {
		for i := len(s.groups) - 1; i >= 0; i-- {
			s.step(s.groups[i])
		}
		if wide.done {
			break
		}
		s.now = s.now.Add(10 * time.Millisecond)
		if s.now.Sub(start)%(500*time.Millisecond) == 0 {
			s.add(60, "a", "b")
			s.add(60, "c", "d")
		}
	}
	is.True(wide.done)
	is.True(s.now.Sub(start) < 12*time.Second)
}

func TestGroup(t *testing.T) {
	plan := Plan{{Endpoint: "b"}, {Endpoint: "c"}, {Endpoint: "a"}}
	formed := func() *Group {
		g := NewGroup("g", false)
		g.Begin(plan)
		for range plan {
			m := g.Next().Member
			g.RecordRequested(m)
			g.RecordGranted(m, at(0), time.Second)
		}
		return g
	}
	cases := []struct {
		name string
		do   func(is *is.I)
	}{
		{"reserves by name, computes by span", func(is *is.I) {
			g := NewGroup("g", false)
			g.Begin(plan)
			var steps []string
			for g.Next().Kind != ActionRun {
				a := g.Next()
				steps = append(steps, fmt.Sprint(a.Kind, " ", plan[a.Member].Endpoint))
				if a.Kind == ActionReserve {
					g.RecordRequested(a.Member)
					g.RecordGranted(a.Member, at(0), time.Second)
				} else {
					g.RecordComputed(a.Member)
				}
			}
			is.Equal(steps, []string{"reserve a", "reserve b", "reserve c", "compute b", "compute c", "import a"})
			is.Equal(plan[g.Next().Member].Endpoint, "a")
		}},
		{"earlier members are free once the next has imported", func(is *is.I) {
			g := formed()
			is.Equal(len(g.RecordComputed(0)), 0)
			is.Equal(g.RecordComputed(1), []int{0})
			is.Equal(g.RecordComputed(2), []int{1})
			is.Equal(g.Holders(false), []int{2})
		}},
		{"a lease that was not renewed has expired", func(is *is.I) {
			g := formed()
			g.RecordRenewed(0, at(500), time.Second)
			g.RecordRenewed(2, at(500), time.Second)
			m, expired := g.ExpiredMember(at(1000))
			is.True(expired)
			is.Equal(m, 1)
			_, expired = g.ExpiredMember(at(999))
			is.True(!expired)
		}},
		{"a request without a response counts as held", func(is *is.I) {
			g := NewGroup("g", false)
			g.Begin(plan)
			g.RecordRequested(2)
			is.Equal(g.Holders(true), nil)
			is.Equal(g.Holders(false), []int{2})
		}},
		{"backoff grows while memory is held by others", func(is *is.I) {
			g := NewGroup("g", false)
			var last time.Duration
			for range 20 {
				g.Begin(plan)
				g.RecordFailure(result.MemoryHeld)
				is.Equal(g.Next().Kind, ActionBackoff)
				is.True(g.Next().Backoff >= last)
				last = g.Next().Backoff
			}
			is.Equal(last, MaxBackoff)
			is.Equal(g.Epoch(), uint64(20))
		}},
		{"gives up after repeated failures of a formed group", func(is *is.I) {
			g := NewGroup("g", false)
			for i := range maxFormedFailures {
				g.Begin(plan)
				for range plan {
					m := g.Next().Member
					g.RecordGranted(m, at(0), time.Second)
				}
				g.RecordFailure(result.EndpointLost)
				is.Equal(g.Next().Kind == ActionFail, i == maxFormedFailures-1)
			}
			is.Equal(g.Next().Code, result.EndpointLost)
		}},
		{"gives up after repeated attempts without a plan", func(is *is.I) {
			g := NewGroup("g", false)
			for range maxUnformedFailures {
				g.RecordNoPlan(result.NoEndpoint)
			}
			is.Equal(g.Next(), Action{Kind: ActionFail, Code: result.NoEndpoint})
		}},
		{"does not retry when the deadline is too near", func(is *is.I) {
			g := formed()
			g.RecordFailure(result.DeadlineTooNear)
			is.Equal(g.Next().Kind, ActionFail)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.do(is.New(t)) })
	}
}
