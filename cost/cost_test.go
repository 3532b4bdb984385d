package cost

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/routing"
)

var truth = routing.Cost{PrefillPerToken: 60 * time.Microsecond, PrefillPerTokenSquared: 0.0002, DecodePerToken: 15 * time.Millisecond}

// observe feeds the model n runs of an endpoint that is slower than truth by the factor
// slow, with 20 % noise. One in longEvery runs is long.
func observe(m *Model, n int, slow float64, longEvery int) {
	rnd := rand.New(rand.NewPCG(1, 9))
	for i := range n {
		prompt := uint64(500 + rnd.IntN(4_000))
		if longEvery > 0 && i%longEvery == longEvery-1 {
			prompt = 100_000 + rnd.Uint64N(100_000)
		}
		noise := slow * (0.8 + 0.4*rnd.Float64())
		prefill := time.Duration(noise * float64(truth.Prefill(prompt, 0)))
		m.Observe(prompt, 0, 50, prefill, time.Duration(noise*float64(truth.Decode(50))), time.Unix(int64(i), 0))
	}
}

func TestModel(t *testing.T) {
	slow := routing.Cost{PrefillPerToken: 600 * time.Microsecond, PrefillPerTokenSquared: 0.002, DecodePerToken: 150 * time.Millisecond}
	cases := []struct {
		name   string
		prior  routing.Cost
		train  func(m *Model)
		factor float64 // expected over truth
		within float64 // allowed relative error, at 2,000 and 150,000 tokens and for decode
	}{
		{"usual mix", routing.DefaultCost, func(m *Model) { observe(m, 200, 1, 50) }, 1, 0.25},
		{"short runs only keep the prior's shape", routing.DefaultCost, func(m *Model) { observe(m, 200, 1, 0) }, 1, 0.35},
		{"ten times slower than the prior", routing.DefaultCost, func(m *Model) { observe(m, 20, 10, 10) }, 10, 0.4},
		{"ten times faster than the prior", slow, func(m *Model) { observe(m, 20, 1, 10) }, 1, 0.4},
		{"becomes ten times slower", routing.DefaultCost, func(m *Model) { observe(m, 200, 1, 50); observe(m, 20, 10, 10) }, 10, 0.4},
		{"one outlier", routing.DefaultCost, func(m *Model) {
			observe(m, 200, 1, 50)
			m.Observe(2_000, 0, 50, time.Minute, time.Hour, time.Unix(999, 0))
		}, 1, 0.5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			m := New(tc.prior)
			tc.train(m)
			c := m.Cost()
			near := func(got, want time.Duration) {
				ratio := float64(got) / float64(want) / tc.factor
				t.Logf("%v, %.2f of the truth", got, ratio)
				is.True(ratio > 1-tc.within && ratio < 1+tc.within)
			}
			near(c.Prefill(2_000, 0), truth.Prefill(2_000, 0))
			near(c.Prefill(150_000, 0), truth.Prefill(150_000, 0))
			near(c.Decode(100), truth.Decode(100))
		})
	}
}

func TestCachedTokensCostLess(t *testing.T) {
	is := is.New(t)
	m := New(truth)
	for range 50 {
		m.Observe(100_000, 90_000, 0, truth.Prefill(100_000, 90_000), 0, time.Unix(1, 0))
	}
	got := float64(m.Cost().Prefill(50_000, 0)) / float64(truth.Prefill(50_000, 0))
	is.True(got > 0.9 && got < 1.1)
	is.Equal(m.Cost().DecodePerToken, truth.DecodePerToken) // not observed
}

func TestSlowdown(t *testing.T) {
	is := is.New(t)
	var s Slowdown
	is.Equal(s.Factor(time.Unix(0, 0)), 1.0)
	for i := range int64(10) {
		s.Observe(time.Second, 10*time.Second, time.Unix(i, 0))
	}
	f := s.Factor(time.Unix(10, 0))
	is.True(f > 5 && f < 10)
	is.True(s.Factor(time.Unix(200, 0)) < 1.1) // decays without runs, so that the endpoint is tried again
	s.Observe(time.Microsecond, time.Hour, time.Unix(10, 0))
	is.Equal(s.Factor(time.Unix(10, 0)), f) // too short to be meaningful
	s.Observe(time.Second, time.Hour, time.Unix(10, 0))
	is.True(s.Factor(time.Unix(10, 0)) < maxSlowdown)
}

func TestDecodeFloor(t *testing.T) {
	chunk := truth.Prefill(routing.ChunkTokens, 0)
	cases := []struct {
		name        string
		times       []time.Duration // per token
		least, most time.Duration
	}{
		{"nothing seen", nil, truth.DecodePerToken, truth.DecodePerToken},
		{"idle", []time.Duration{15 * time.Millisecond}, 15 * time.Millisecond, 16 * time.Millisecond},
		{"mostly busy", []time.Duration{15 * time.Millisecond, 15*time.Millisecond + chunk, 10*time.Millisecond + chunk}, 14 * time.Millisecond, 16 * time.Millisecond},
		{"ten times slower than the prior", []time.Duration{200*time.Millisecond + chunk}, 190 * time.Millisecond, 270 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := New(truth)
			for i := range 50 * len(tc.times) {
				m.Observe(0, 0, 50, 0, 50*tc.times[i%len(tc.times)], time.Unix(int64(i), 0))
			}
			t.Log(m.DecodeFloor())
			is.New(t).True(m.DecodeFloor() >= tc.least && m.DecodeFloor() <= tc.most)
		})
	}
}

// TestTinyPromptsKeepTokenCost: a prompt of a few tokens takes one engine step,
// which says nothing about the cost of a thousand tokens.
func TestTinyPromptsKeepTokenCost(t *testing.T) {
	is := is.New(t)
	m := New(routing.Cost{})
	before := m.Cost().Prefill(routing.ChunkTokens, 0)
	now := time.Unix(0, 0)
	for range 100 {
		now = now.Add(time.Second)
		m.Observe(3, 0, 50, 12*time.Millisecond, 600*time.Millisecond, now)
	}
	is.Equal(m.Cost().Prefill(routing.ChunkTokens, 0), before)
}
