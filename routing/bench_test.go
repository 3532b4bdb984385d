package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet returns n endpoints of one data centre, a third of them in the lane,
// each with a wait of up to the given time.
func fleet(n int, wait time.Duration) []Candidate {
	rnd := rand.New(rand.NewPCG(1, uint64(n)))
	view := make([]Candidate, n)
	for i := range view {
		c := idle(fmt.Sprintf("engine-%04d", i))
		c.LongLane = i%3 == 0
		c.Running = rnd.IntN(8)
		c.Cost = DefaultCost
		for k := range c.Wait {
			c.Wait[k] = time.Duration(rnd.Int64N(int64(wait) + 1))
		}
		held := rnd.IntN(3)
		c.Cached = func([]uint64) int { return held }
		view[i] = c
	}
	return view
}

func BenchmarkChoose(b *testing.B) {
	requests := map[string]Request{
		"short": {Model: "caption", PromptTokens: 2_500, MaxTokens: 200, DataCentre: "cdf-a", Remaining: time.Minute, Prefix: []uint64{1, 2}},
		"long":  {Model: "caption", PromptTokens: 120_000, MaxTokens: 200, DataCentre: "cdf-a", Remaining: time.Minute, Prefix: make([]uint64, 64)},
	}
	loads := map[string]time.Duration{"idle": 0, "busy": 200 * time.Millisecond}
	for _, n := range []int{20, 181, 2_900} {
		for load, wait := range loads {
			view := fleet(n, wait)
			for kind, req := range requests {
				b.Run(fmt.Sprintf("%s/%s/%d", kind, load, n), func(b *testing.B) {
					p, rnd := Default(), rand.New(rand.NewPCG(1, 2))
					b.ReportAllocs()
					for b.Loop() {
						p.Choose(req, view, rnd.IntN, false)
					}
				})
			}
		}
	}
}
