package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/micarudder/micarudder/catalog"
)

var engine = &catalog.Engine{
	Slots: 16, MemoryTokens: 232000, StepMs: 1.02, PerWriterMs: 0.00226, ContextPerK: 0.00431,
	ReadPerMs: 206, PairsPerM: 0.138, ChunkTokens: 2048, Stride: 43,
}

var (
	model = &catalog.Service{Name: "model", Engine: engine}
	plain = &catalog.Service{Name: "plain"}
)

// idleCandidates returns n candidates without load, ordered by rank.
func idleCandidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i].ID, out[i].Rank = fmt.Sprint(i), uint64(i)
	}
	return out
}

func choose(s *catalog.Service, req Request, all []Candidate) Choice {
	return Default().Choose(s, req, all)
}

var (
	gaps = catalog.GapObjectives{Shortest: 250 * time.Millisecond, Next: 600 * time.Millisecond, Longest: time.Second}

	short    = Request{InputTokens: 5000, OutputTokens: 1400, ObjectiveLeftMs: 300, DeadlineLeftMs: 2000, Gaps: gaps}
	long     = Request{InputTokens: 133000, OutputTokens: 700, ObjectiveLeftMs: 2500, DeadlineLeftMs: 10000, Slack: time.Second, Gaps: gaps}
	oversize = Request{InputTokens: 400000, OutputTokens: 700, ObjectiveLeftMs: 2500, DeadlineLeftMs: 10000, Slack: time.Second, Gaps: gaps}
)

func TestModel(t *testing.T) {
	is := is.New(t)
	is.Equal(int(prefillMs(engine, 133000)), 1866) // 646 ms linear, 1,220 ms quadratic
	is.Equal(prefillMs(nil, 133000), 0.0)
	is.Equal(int(iterationMs(engine, 0, 0)), 43)
}

func TestLeastRequests(t *testing.T) {
	is := is.New(t)
	all := idleCandidates(3)
	all[0].Load.Short, all[1].Load.Short, all[2].Load.Short = 2, 1, 2
	is.Equal(choose(plain, Request{}, all).Endpoint, 1)
}

func TestNoCandidates(t *testing.T) {
	is := is.New(t)
	is.Equal(choose(plain, Request{Excluded: []string{"0"}}, idleCandidates(1)).Endpoint, -1)
	is.Equal(choose(model, short, nil).Endpoint, -1)
}

func TestSuspectsComeLast(t *testing.T) {
	is := is.New(t)
	all := idleCandidates(2)
	all[0].Suspect = true
	all[1].Load.Short = 9
	is.Equal(choose(plain, Request{}, all).Endpoint, 1)
	is.Equal(choose(plain, Request{Excluded: []string{"1"}}, all).Endpoint, 0)
}

// TestShortRequestsAreSpread guards against short requests that are packed onto busy endpoints while
// the load of some endpoints is not known.
func TestShortRequestsAreSpread(t *testing.T) {
	type endpoint struct {
		requests, own int
		unknown       bool
	}
	for name, c := range map[string]struct {
		endpoints []endpoint
		want      int
	}{
		"none known: own order":           {[]endpoint{{0, 0, true}, {0, 0, true}, {0, 0, true}}, 2},
		"none known: not the same again":  {[]endpoint{{0, 0, true}, {0, 0, true}, {1, 1, true}}, 1},
		"least known load":                {[]endpoint{{5, 0, false}, {3, 0, false}, {6, 0, true}}, 1},
		"an unknown one is not idle":      {[]endpoint{{5, 0, false}, {9, 0, false}, {0, 0, true}}, 0},
		"an unknown one has less":         {[]endpoint{{9, 0, false}, {9, 0, false}, {0, 0, true}}, 2},
		"others may choose alike":         {[]endpoint{{5, 1, false}, {7, 0, false}, {12, 0, true}}, 1},
		"not where the first event waits": {[]endpoint{{16, 0, false}, {16, 0, true}, {11, 0, false}}, 2},
		"all known: packed":               {[]endpoint{{5, 0, false}, {0, 0, false}, {0, 0, false}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			all := idleCandidates(len(c.endpoints))
			for i, e := range c.endpoints {
				all[i].Load.Short, all[i].Own, all[i].LoadUnknown = e.requests, e.own, e.unknown
				all[i].LocalRank = uint64(len(all) - i)
			}
			got := choose(model, short, all)
			is.Equal(got.Endpoint, c.want)
			for i, e := range c.endpoints {
				is.Equal(all[i].Load.Short, e.requests) // the assumed load is not counted
			}
		})
	}
}

// TestUnknownLoadRefusesNothing guards against refusals that are based on an assumed load.
func TestUnknownLoadRefusesNothing(t *testing.T) {
	is := is.New(t)
	all := idleCandidates(2)
	all[0].Load.Short, all[0].Load.AwaitingFirstEvent = engine.Slots, 8
	all[1].LoadUnknown = true
	is.True(!choose(model, short, all).Refuse)
	all[1].LoadUnknown = false
	all[1].Load = all[0].Load
	is.True(choose(model, short, all).Refuse)
}

// TestShortRequestsArePacked: the short requests of all gateways use the first
// endpoints of the shared order, which leaves the last ones free for long prompts, and
// spread to the next one before an endpoint is full.
func TestShortRequestsArePacked(t *testing.T) {
	is := is.New(t)
	all := idleCandidates(4)
	for range 24 {
		c := choose(model, short, all)
		l := &all[c.Endpoint].Load
		l.Short++
		l.MemoryTokens += short.InputTokens + short.OutputTokens
	}
	for _, c := range all[:2] {
		is.True(c.Load.Short > 0)
		is.True(c.Load.Short <= 12)
	}
	is.Equal(all[2].Load.Short, 0)
	is.Equal(all[3].Load.Short, 0)
}

// TestGatewaysPreferDifferentEndpoints: of endpoints that are about equal, each gateway
// selects the first one of its own order.
func TestGatewaysPreferDifferentEndpoints(t *testing.T) {
	is := is.New(t)
	all := idleCandidates(4)
	for i := range all {
		all[i].Load.Short = 4
	}
	all[1].LocalRank = 1
	all[0].LocalRank, all[2].LocalRank, all[3].LocalRank = 7, 8, 9
	is.Equal(choose(model, short, all).Endpoint, 1)
}

// TestShortIsRefusedWhenAllSlotsAreInUse: a request is refused only while the requests
// in flight use all slots, and only if it would be late and may be retried.
func TestShortIsRefusedWhenAllSlotsAreInUse(t *testing.T) {
	is := is.New(t)
	busyCandidates := func(short int) []Candidate {
		all := idleCandidates(3)
		for i := range all {
			all[i].Load = Load{Short: short, MemoryTokens: short * 6000, AwaitingFirstEvent: 2}
		}
		return all
	}
	c := choose(model, short, busyCandidates(18))
	is.True(c.Refuse)
	is.Equal(c.Endpoint, -1)
	must := short
	must.NoRefusal = true
	is.True(choose(model, must, busyCandidates(18)).Endpoint >= 0)
	relaxed := short
	relaxed.ObjectiveLeftMs = 5000
	is.True(choose(model, relaxed, busyCandidates(18)).Endpoint >= 0)
	is.True(choose(model, short, busyCandidates(15)).Endpoint >= 0) // may be late, but slots are free
}

// TestShortAvoidsPrefill: a short request avoids endpoints with pending prefill, but
// keeps to the shared order where a long request only decodes.
func TestShortAvoidsPrefill(t *testing.T) {
	is := is.New(t)
	all := idleCandidates(3)
	all[0].Load = Load{PrefillMs: 400, Short: 3, Parts: 1}
	all[1].Load = Load{Long: 1, MemoryTokens: 140000}
	is.Equal(choose(model, short, all).Endpoint, 1)
	all[1].Load.PrefillMs = 400
	is.Equal(choose(model, short, all).Endpoint, 2)
}

// TestMediumPromptDecodesWithShortRequests: a prompt whose route does not allow the
// longest gaps decodes on the first endpoint of the shared order where it causes no
// interference, so that parts of longer prompts cause it no gaps. A gap-tolerant one
// avoids the endpoints of short requests.
func TestMediumPromptDecodesWithShortRequests(t *testing.T) {
	is := is.New(t)
	all := idleCandidates(6)
	for i := range 2 {
		all[i].Load = Load{Short: 6, MemoryTokens: 36000}
	}
	medium := long
	medium.InputTokens, medium.MaxGap = 42000, 600*time.Millisecond
	c := choose(model, medium, all)
	is.Equal(c.Endpoint, 0)
	medium.MaxGap = time.Second
	is.True(choose(model, medium, all).Endpoint >= 2)
	all[0].Load.PrefillMs = 200
	medium.MaxGap = 600 * time.Millisecond
	is.Equal(choose(model, medium, all).Endpoint, 1)
}

// TestLongAvoidsShort: the parts of a long prompt are placed on endpoints without short
// requests while there are any.
func TestLongAvoidsShort(t *testing.T) {
	is := is.New(t)
	all := idleCandidates(18)
	for i := range 6 {
		all[i].Load.Short = 10
	}
	c := choose(model, long, all)
	is.True(!c.Wait)
	is.True(len(c.Helpers) >= 2)
	for _, p := range c.Loads {
		is.Equal(all[p.Candidate].Load.Short, 0)
	}
	is.Equal(len(c.Reservations), 0)
}

// TestLongWaitsForIdleEndpoints: engines prefill the newest part first, so no part is
// placed on top of another, however urgent the newer prompt. A late prompt that did not
// wait would make the earlier ones late too.
func TestLongWaitsForIdleEndpoints(t *testing.T) {
	is := is.New(t)
	all := idleCandidates(4)
	for i := range all {
		all[i].Load = Load{PrefillMs: 900, Parts: 1}
	}
	is.True(choose(model, long, all).Wait)
	noSlack := long
	noSlack.Slack = 0
	is.True(choose(model, noSlack, all).Wait)
	late := noSlack
	late.Late = true
	is.True(choose(model, late, all).Wait)
	all[2].Load = Load{}
	c := choose(model, late, all)
	is.Equal(c.Endpoint, 2)
	is.Equal(len(c.Helpers), 0)
}

// TestLongMayInterfereUpToItsValue: a prompt that can be in time shares endpoints with a
// few short requests at once, and with more of them after waiting, limited by its own
// value. A late prompt shares with none.
func TestLongMayInterfereUpToItsValue(t *testing.T) {
	is := is.New(t)
	all := idleCandidates(4)
	long := long
	long.MaxGap = gaps.Longest // the class with the highest value
	for i := range all {
		all[i].Load.Short = 1
	}
	is.True(!choose(model, long, all).Wait)
	for i := range all {
		all[i].Load.Short = 5
	}
	is.True(choose(model, long, all).Wait)
	waited := long
	waited.WaitedShare = 1
	is.True(!choose(model, waited, all).Wait)
	late := waited
	late.Late, late.ObjectiveLeftMs, late.Slack = true, -100, -time.Second
	is.True(choose(model, late, all).Wait)
}

// TestLongPrefersIdleEndpoints: a few endpoints without prefill work are better than
// many of which some have pending prefill.
func TestLongPrefersIdleEndpoints(t *testing.T) {
	is := is.New(t)
	all := idleCandidates(18)
	for i := range 15 {
		all[i].Load = Load{PrefillMs: 240, Parts: 1}
	}
	c := choose(model, long, all)
	is.True(!c.Wait)
	for _, p := range c.Loads {
		is.True(p.Candidate >= 15)
	}
}

// TestLongAvoidsDecodingEndpoints: a part that would make the iteration of another long
// request too long is placed elsewhere.
func TestLongAvoidsDecodingEndpoints(t *testing.T) {
	is := is.New(t)
	all := idleCandidates(6)
	for i := range 3 {
		all[i].Load = Load{Long: 1, MemoryTokens: 50000}
	}
	req := long
	req.InputTokens = 200000
	for _, p := range choose(model, req, all).Loads {
		is.True(p.Candidate >= 3)
	}
}

// TestLongPartsJoinGapTolerantRequests: a part that is too long for the gap objective
// of one long request is placed with another one whose route allows longer gaps.
func TestLongPartsJoinGapTolerantRequests(t *testing.T) {
	is := is.New(t)
	all := idleCandidates(2)
	all[0].Load = Load{Long: 1, GapTolerant: 1, MemoryTokens: 50000}
	all[1].Load = Load{Long: 1, MemoryTokens: 50000}
	req := long
	req.InputTokens, req.MaxGap = 70000, time.Second // 680 ms of prefill
	noHelpers := Default()
	noHelpers.MaxHelpers = 0
	c := noHelpers.Choose(model, req, all)
	is.Equal(c.Endpoint, 0)
	is.Equal(c.Loads[0].Load.GapTolerant, 1)
	req.MaxGap = 600 * time.Millisecond
	is.Equal(choose(model, req, idleCandidates(1)).Loads[0].Load.GapTolerant, 0)
}

// TestPrefillEndsByEstimate: each part of a long prompt counts as prefilled after a
// time that covers its prefill, not only at the first event.
func TestPrefillEndsByEstimate(t *testing.T) {
	is := is.New(t)
	c := choose(model, long, idleCandidates(18))
	is.True(len(c.Loads) > 1)
	for _, p := range c.Loads {
		is.True(p.PrefillFor >= time.Duration(p.Load.PrefillMs*float64(time.Millisecond)))
		is.True(p.PrefillFor < 2*time.Second)
	}
	is.Equal(choose(model, short, idleCandidates(18)).Loads[0].PrefillFor, time.Duration(0))
}

// TestDecoderHasFreeSlots: helpers start only when the decoding endpoint admits the
// request, so that endpoint must have free slots.
func TestDecoderHasFreeSlots(t *testing.T) {
	is := is.New(t)
	all := idleCandidates(2)
	all[0].Load = Load{Short: 14, MemoryTokens: 20000}
	all[1].Load = Load{Long: 1, MemoryTokens: 60000}
	req := long
	req.Slack, req.Late = 0, true
	req.Gaps = catalog.GapObjectives{} // late events cause no interference
	is.Equal(choose(model, req, all).Endpoint, 1)
}

// TestOversizePromptMayInterfereUpToItsValue: a prompt that exceeds an endpoint's
// memory is placed on endpoints without prefill work. It shares them with short
// requests up to its own value, and with none when it is late.
func TestOversizePromptMayInterfereUpToItsValue(t *testing.T) {
	is := is.New(t)
	few, many, prefilling := idleCandidates(18), idleCandidates(18), idleCandidates(18)
	for i := range few {
		few[i].Load.Short, many[i].Load.Short = 1, 8
		prefilling[i].Load = Load{PrefillMs: 250, Parts: 1}
	}
	req := oversize
	req.WaitedShare = 1
	is.True(!choose(model, req, few).Wait)
	is.True(choose(model, req, many).Wait)
	for _, late := range []bool{false, true} {
		req.Late = late
		is.True(choose(model, req, prefilling).Wait)
		is.True(!choose(model, req, idleCandidates(18)).Wait)
	}
	req.ObjectiveLeftMs, req.Slack = -100, -time.Second
	is.True(choose(model, req, few).Wait)
}

// TestNoPlacementAfterCallerGivesUp: a prompt is not prefilled if its first event
// would come after its caller has given up.
func TestNoPlacementAfterCallerGivesUp(t *testing.T) {
	is := is.New(t)
	req := oversize
	req.DeadlineLeftMs = 3000
	is.True(choose(model, req, idleCandidates(2)).Wait) // 6.5 s of prefill each
	is.True(!choose(model, req, idleCandidates(18)).Wait)
}

// TestOversizePromptLeavesIdleEndpoints: a prompt that exceeds an endpoint's memory
// leaves some idle endpoints to other requests, but uses all of them if there are only
// a few.
func TestOversizePromptLeavesIdleEndpoints(t *testing.T) {
	is := is.New(t)
	all := idleCandidates(10)
	c := choose(model, oversize, all)
	is.True(!c.Wait)
	is.True(len(c.Loads) <= 9)
	req := oversize
	req.InputTokens = 300000
	is.True(!choose(model, req, idleCandidates(2)).Wait)
}

// TestValue: typical prompts have their expected value, within a factor of 1.5, by
// class or, if no class is more gap-tolerant than another, by length.
func TestValue(t *testing.T) {
	two := catalog.GapObjectives{Shortest: 250 * time.Millisecond, Next: 600 * time.Millisecond, Longest: 600 * time.Millisecond}
	cases := []struct {
		name   string
		tokens int
		gaps   catalog.GapObjectives
		maxGap time.Duration
		want   float64
	}{
		{"medium", 45000, gaps, gaps.Next, 2.4},
		{"medium class, long prompt", 110000, gaps, gaps.Next, 4.4},
		{"gap-tolerant class, short prompt", 60000, gaps, gaps.Longest, 8},
		{"gap-tolerant class, 133,000 tokens", 133000, gaps, gaps.Longest, 11.5},
		{"gap-tolerant class, 190,000 tokens", 190000, gaps, gaps.Longest, 15.4},
		{"gap-tolerant class, 300,000 tokens", 300000, gaps, gaps.Longest, 21.4},
		{"gap-tolerant class, 1,000,000 tokens", 1000000, gaps, gaps.Longest, 56},
		{"no gap-tolerant class", 133000, two, two.Longest, 13.3},
	}
	for _, tc := range cases {
		req := Request{InputTokens: tc.tokens, Gaps: tc.gaps, MaxGap: tc.maxGap}
		if got := req.value(); got < 0.67*tc.want || got > 1.5*tc.want {
			t.Errorf("%s: value %.1f, want %.1f within a factor of 1.5", tc.name, got, tc.want)
		}
	}
}

func TestMustQueue(t *testing.T) {
	is := is.New(t)
	p := Default()
	is.True(!p.MustQueue(plain, long))
	is.True(!p.MustQueue(model, short))
	is.True(p.MustQueue(model, long))
	is.True(!p.ExceedsMemory(model, long))
	is.True(p.ExceedsMemory(model, oversize))
	is.True(!p.ExceedsMemory(plain, oversize))
}

// TestOversizePromptMemory: the memory of the decoding endpoint and the reservations on
// helpers hold the prompt, and no endpoint is given more than it has.
func TestOversizePromptMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := idleCandidates(18)
		for i := range all {
			all[i].Load.MemoryTokens = rapid.IntRange(0, 232000).Draw(t, "tokens")
		}
		req := oversize
		req.InputTokens = rapid.IntRange(240000, 1000000).Draw(t, "prompt")
		c := choose(model, req, all)
		if c.Wait {
			return
		}
		held := 0
		for _, p := range c.Loads {
			held += p.Load.MemoryTokens
			if p.Load.MemoryTokens+all[p.Candidate].Load.MemoryTokens > engine.MemoryTokens {
				t.Fatalf("candidate %d is assigned %d tokens, %d already in use", p.Candidate, p.Load.MemoryTokens, all[p.Candidate].Load.MemoryTokens)
			}
		}
		if held != req.InputTokens+req.OutputTokens {
			t.Fatalf("memory assigned for %d tokens, prompt needs %d", held, req.InputTokens+req.OutputTokens)
		}
		for _, r := range c.Reservations {
			if r.Candidate == c.Endpoint || r.Tokens <= 0 {
				t.Fatalf("invalid reservation %+v with decoding endpoint %d", r, c.Endpoint)
			}
		}
	})
}

// TestChoiceInvariants: for any load, a choice names each endpoint once, at most
// MaxHelpers helpers, and no avoided endpoint.
func TestChoiceInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := idleCandidates(rapid.IntRange(0, 20).Draw(t, "endpoints"))
		for i := range all {
			all[i].Load = Load{PrefillMs: float64(rapid.IntRange(0, 900).Draw(t, "prefill")), Short: rapid.IntRange(0, 20).Draw(t, "short"),
				Long: rapid.IntRange(0, 3).Draw(t, "long"), MemoryTokens: rapid.IntRange(0, 300000).Draw(t, "tokens"), Parts: rapid.IntRange(0, 3).Draw(t, "parts")}
			all[i].Suspect = rapid.Bool().Draw(t, "suspect")
		}
		req := Request{InputTokens: rapid.IntRange(0, 700000).Draw(t, "prompt"), OutputTokens: 700, ObjectiveLeftMs: 1500, DeadlineLeftMs: 10000, Gaps: gaps, Excluded: []string{"1"},
			Slack: time.Duration(rapid.IntRange(-1, 1).Draw(t, "slack")), Late: rapid.Bool().Draw(t, "late")}
		c := choose(model, req, all)
		if c.Wait || c.Endpoint < 0 {
			return
		}
		seen := map[int]bool{c.Endpoint: true}
		for _, h := range c.Helpers {
			if seen[h] {
				t.Fatalf("endpoint %d is used twice", h)
			}
			seen[h] = true
		}
		if len(c.Helpers) > Default().MaxHelpers || seen[1] || len(c.Loads) != len(seen) {
			t.Fatalf("invalid choice %+v", c)
		}
	})
}

// TestOpenConnectionsPreferred: of equal endpoints a request uses one with an open
// connection, but not one that answers later.
func TestOpenConnectionsPreferred(t *testing.T) {
	is := is.New(t)
	p := Default()
	plain := &catalog.Service{Name: "s"}
	all := []Candidate{{ID: "a", LocalRank: 1}, {ID: "b", LocalRank: 2, Connected: true}, {ID: "c", LocalRank: 3, Connected: true}}
	is.Equal(p.Choose(plain, Request{}, all).Endpoint, 1)
	all[1].Load.Short = 1
	is.Equal(p.Choose(plain, Request{}, all).Endpoint, 2)
	all[2].Load.Short = 2
	is.Equal(p.Choose(plain, Request{}, all).Endpoint, 0)
}
