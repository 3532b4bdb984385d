package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// twoEndpoints returns two idle endpoints a and b with equal costs, modified by
// change.
func twoEndpoints(change func(a, b *Candidate)) []Candidate {
	view := []Candidate{idleEndpoint("a"), idleEndpoint("b")}
	for i := range view {
		view[i].Cost = Cost{PrefillPerToken: 50 * time.Microsecond, DecodePerToken: ms}
	}
	change(&view[0], &view[1])
	return view
}

// setWait sets the predicted wait of every class.
func setWait(c *Candidate, d time.Duration) {
	for k := range c.Wait {
		c.Wait[k] = d
	}
}

// TestScores checks that endpoint b is selected when one property speaks
// against endpoint a, for each part of the score.
func TestScores(t *testing.T) {
	short := Request{Model: "caption", PromptTokens: 2_000, MaxTokens: 100, DataCentre: "cdf-a", Remaining: time.Minute}
	long := Request{Model: "caption", PromptTokens: 100_000, MaxTokens: 100, DataCentre: "cdf-a", Remaining: time.Minute}
	prefixed, tiny, shortResponse := short, short, short
	shortResponse.MaxTokens = 1
	tiny.PromptTokens = 50
	prefixed.Prefix = []uint64{1}
	cases := []struct {
		name   string
		req    Request
		change func(a, b *Candidate)
	}{
		{"longer wait", short, func(a, b *Candidate) { setWait(a, 200*ms); setWait(b, 100*ms) }},
		{"wait of its own class", long, func(a, b *Candidate) { a.Wait[ClassLong], b.Wait[ClassShort] = time.Second, time.Minute }},
		{"older report, queue partly processed since", short, func(a, b *Candidate) { setWait(a, 200*ms); setWait(b, 300*ms); b.LoadAge = 250 * ms }},
		{"work sent since the last report", short, func(a, b *Candidate) { a.Pending = 500 * ms; setWait(b, 100*ms) }},
		{"short response overtakes pending long work", shortResponse, func(a, b *Candidate) { a.Pending = 100 * ms; b.Pending, b.PendingLong = time.Second, time.Second }},
		{"prefix not cached", prefixed, func(a, b *Candidate) { b.Cached = func([]uint64) int { return 1 } }},
		{"prefix cached but far busier", prefixed, func(a, b *Candidate) { a.Cached = func([]uint64) int { return 1 }; setWait(a, time.Second) }},
		{"higher quadratic cost", long, func(a, b *Candidate) { a.Cost.PrefillPerTokenSquared = 0.0005 }},
		{"larger batch", short, func(a, b *Candidate) { a.Running = 40 }},
		{"other data centre", tiny, func(a, b *Candidate) { a.DataCentre = "cdf-b" }},
		{"beside long work", short, func(a, b *Candidate) { a.LongTokens = 100_000; setWait(b, 500*ms) }},
		{"beside other prefill", short, func(a, b *Candidate) { a.QueuedTokens = 9_000; setWait(b, 300*ms) }},
		{"queued, but part of the wait", short, func(a, b *Candidate) { b.QueuedTokens = 9_000; setWait(a, 600*ms); setWait(b, 450*ms) }},
		{"beside long work sent since the last report", short, func(a, b *Candidate) { a.Pending, a.PendingLong = 5*time.Second, 5*time.Second }},
		{"long work delays many runs", long, func(a, b *Candidate) { a.Running, b.Running = 9, 1 }},
		{"lane for long work", short, func(a, b *Candidate) { b.InLongLane = false }},
		{"ten times slower than predicted", short, func(a, b *Candidate) { a.SlowdownFactor = 10; setWait(b, 200*ms) }},
		{"no cost learned yet", long, func(a, b *Candidate) { a.Cost = Cost{}; b.Cost.PrefillPerToken /= 2 }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			view := twoEndpoints(tc.change)
			for seed := range uint64(50) {
				d := Default().Choose(tc.req, view, rand.New(rand.NewPCG(seed, 0)).IntN, true)
				is.Equal(view[d.Index].Endpoint, "b")
				is.True(d.Scores[0].Total > d.Scores[1].Total)
				for _, s := range d.Scores { // the parts add up to the total
					sum := 0.0
					for _, p := range s.Parts {
						sum += p
					}
					is.True(sum-s.Total < 1e-6 && s.Total-sum < 1e-6)
				}
			}
		})
	}
}

func TestLongLaneSpillover(t *testing.T) {
	long := Request{Model: "caption", PromptTokens: 100_000, Remaining: 30 * time.Second}
	cases := []struct {
		name         string
		change       func(a, b *Candidate)
		want, reason string
	}{
		{"lane busier", func(a, b *Candidate) { b.InLongLane = false; setWait(a, 24*time.Second) }, "a", ReasonBest},
		{"lane later than the spill factor allows", func(a, b *Candidate) { b.InLongLane = false; setWait(a, 27*time.Second) }, "b", ReasonLaneLate},
		{"lane past the deadline", func(a, b *Candidate) { b.InLongLane = false; setWait(a, 40*time.Second); setWait(b, 20*time.Second) }, "b", ReasonLaneLate},
		{"all past the deadline", func(a, b *Candidate) { b.InLongLane = false; setWait(a, time.Minute); setWait(b, time.Minute) }, "a", ReasonBest},
		{"no endpoint in the lane", func(a, b *Candidate) { b.InLongLane = false; a.Draining = true }, "b", ReasonNoLane},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			view := twoEndpoints(tc.change)
			d := Default().Choose(long, view, alwaysZero, false)
			is.Equal(view[d.Index].Endpoint, tc.want)
			is.Equal(d.Reason, tc.reason)
		})
	}
}

func TestNoUsableEndpoint(t *testing.T) {
	is := is.New(t)
	gone := twoEndpoints(func(a, b *Candidate) { a.Models = nil; b.Connected = false })
	for _, p := range []Policy{Default(), NoLanes(), RoundRobin(), LeastLoad()} {
		is.Equal(p.Choose(Request{Model: "caption"}, nil, alwaysZero, true), Decision{Index: -1, Reason: FilterNone})
		d := p.Choose(Request{Model: "caption"}, gone, alwaysZero, true)
		is.Equal(d.Index, -1)
		is.Equal(d.Reason, FilterConnected) // the last filter that rejected a candidate
		is.Equal(d.Scores[0].Filtered, FilterServes)
	}
}

func TestBaselines(t *testing.T) {
	is := is.New(t)
	view := fleet(5, 0)
	view[2].Draining = true
	rr := RoundRobin()
	var got []int
	for range 6 {
		got = append(got, rr.Choose(Request{Model: "caption"}, view, alwaysZero, false).Index)
	}
	is.Equal(got, []int{0, 1, 3, 4, 0, 1})
	for i := range view {
		view[i].Running, view[i].Queued = 3, i%2
	}
	view[4].Running = 2
	is.Equal(LeastLoad().Choose(Request{Model: "caption"}, view, alwaysZero, false).Index, 4)
}

// TestNoHerding guards against many gateways that choose at once from the same
// view, with fresh or older reports, and all send their request to the same
// few endpoints.
func TestNoHerding(t *testing.T) {
	const gateways, endpoints = 100, 50
	for _, age := range []time.Duration{0, 200 * ms} {
		t.Run(fmt.Sprint("age ", age), func(t *testing.T) {
			view := fleet(endpoints, 0)
			for i := range view {
				view[i].InLongLane, view[i].Running, view[i].Cached, view[i].LoadAge = false, 0, nil, age
			}
			rnd := rand.New(rand.NewPCG(3, 4))
			chosen := make(map[int]int)
			maxChosen := 0
			for range gateways {
				i := Default().Choose(Request{Model: "caption", PromptTokens: 2_000, DataCentre: "cdf-a"}, view, rnd.IntN, false).Index
				chosen[i]++
				maxChosen = max(maxChosen, chosen[i])
			}
			is := is.New(t)
			is.True(maxChosen <= 8)    // 2 is the mean
			is.True(len(chosen) >= 35) // of 50; a uniform draw gives 43
		})
	}
}

// TestTraceKeepsDecision checks that a traced decision, which scores every
// candidate, equals an untraced one, which skips candidates that cannot win,
// and that the selected candidate has the lowest total of those kept.
func TestTraceKeepsDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		view := fleet(rapid.IntRange(1, 60).Draw(t, "endpoints"), time.Duration(rapid.IntRange(0, 60_000).Draw(t, "wait"))*ms)
		req := Request{
			Model: "caption", Prefix: benchPrefix, MaxTokens: 100, DataCentre: "cdf-a",
			PromptTokens: rapid.Uint64Range(1, 300_000).Draw(t, "prompt"),
			Remaining:    time.Duration(rapid.IntRange(0, 60_000).Draw(t, "remaining")) * ms,
		}
		seed := rapid.Uint64().Draw(t, "seed")
		choose := func(trace bool) Decision {
			return Default().Choose(req, view, rand.New(rand.NewPCG(seed, 1)).IntN, trace)
		}
		untraced, traced := choose(false), choose(true)
		is.Equal(untraced.Index, traced.Index)
		is.Equal(untraced.Reason, traced.Reason)
		for _, s := range traced.Scores {
			is.True(!s.Kept || traced.Reason != ReasonBest || s.Total >= traced.Scores[traced.Index].Total)
		}
	})
}
