package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/affinity"
	"github.com/micarudder/micarudder/prefix"
)

// benchPrefix is the hash chain of a prompt of 64 blocks.
var benchPrefix = func() []uint64 {
	chain := make([]uint64, prefix.MaxBlocks)
	for i := range chain {
		chain[i] = uint64(i+1) * 0x9e3779b97f4a7c15
	}
	return chain
}()

// fleet returns n endpoints of one data centre, a third of them in the long
// lane, with random queueing delays of up to wait.
func fleet(n int, wait time.Duration) []Candidate {
	rnd := rand.New(rand.NewPCG(1, uint64(n)))
	view := make([]Candidate, n)
	for i := range view {
		c := idleEndpoint(fmt.Sprintf("engine-%04d", i))
		c.InLongLane = i%3 == 0
		c.Running = rnd.IntN(8)
		c.Cost = DefaultCost
		for k := range c.Wait {
			c.Wait[k] = time.Duration(rnd.Int64N(int64(wait) + 1))
		}
		held := affinity.New(450_000)
		held.RecordSent(benchPrefix[:2]) // shared by all prompts
		if i%10 == 0 {
			held.RecordSent(benchPrefix[:rnd.IntN(len(benchPrefix))])
		}
		c.Cached = held.Cached
		view[i] = c
	}
	return view
}

func BenchmarkChoose(b *testing.B) {
	requests := map[string]Request{
		"short": {Model: "caption", PromptTokens: 2_500, MaxTokens: 200, DataCentre: "cdf-a", Remaining: time.Minute, Prefix: benchPrefix[:2]},
		"long":  {Model: "caption", PromptTokens: 120_000, MaxTokens: 200, DataCentre: "cdf-a", Remaining: time.Minute, Prefix: benchPrefix},
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

// TestAllocations checks that the number of allocations of a decision does not
// depend on the number of candidates.
func TestAllocations(t *testing.T) {
	req := Request{Model: "caption", PromptTokens: 120_000, MaxTokens: 200, Prefix: benchPrefix}
	allocations := func(n int) float64 {
		view, p, rnd := fleet(n, time.Second), Default(), rand.New(rand.NewPCG(1, 2))
		return testing.AllocsPerRun(100, func() { p.Choose(req, view, rnd.IntN, false) })
	}
	is.New(t).Equal(allocations(20), allocations(2_900))
}
