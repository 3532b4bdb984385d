package bench

import (
	"fmt"
	"slices"

	"github.com/micarudder/micarudder/load"
)

// Goals of the benchmark.
const (
	goalSlowdown   = 1.2  // p95 slowdown of short requests, shared over alone: below
	goalFirstToken = 1.0  // p95 first token of every class over any baseline's: at most
	goalShortest   = 0.5  // p95 first token of the shortest class over round robin's: below
	goalLong       = 0.95 // tokens of long prompts over the best baseline's: at least
	goalOverload   = 0.9  // useful tokens at the highest load over their peak: at least
	goalRefusal    = 0.1  // p95 time to a refusal in seconds: at most
)

// Spread summarizes the values of a metric over the seeds.
type Spread struct {
	Median, Min, Max float64
	N                int
}

// GoalResult compares one goal with its measured value.
type GoalResult struct {
	Name     string
	Goal     string
	Value    Spread
	Met      bool // whether the median meets the goal
	Measured bool // false if there are no values
}

// EvaluateGoals compares the result with the goals.
func EvaluateGoals(r *Result) []GoalResult {
	out := []GoalResult{
		below("p95 slowdown of short requests, shared over alone", goalSlowdown, r.perSeed(PolicyDefault, slowdown)),
	}
	for class := range classCount(r) {
		for _, p := range Policies[1:] {
			out = append(out, firstTokenGoal(r, class, p))
		}
	}
	out = append(out, atLeast("long work over the best baseline's", goalLong, r.longOverBest()))
	if len(r.Overload) > 0 {
		out = append(out,
			atLeast("useful work at the highest load over its peak", goalOverload, r.overloadOverPeak()),
			atMost("p95 time to a refusal at the highest load, s", goalRefusal, r.refusals()))
	}
	return append(out, atMost("promises seen broken by the default policy", 0, []float64{float64(r.breaches(PolicyDefault))}))
}

func firstTokenGoal(r *Result, class int, baseline string) GoalResult {
	name := fmt.Sprintf("p95 first token %s over %s", className(r, class), baseline)
	values := r.overBaseline(baseline, func(rep *load.Report) float64 { return rep.Summary.Classes[class].FirstToken.P95 })
	if class == 0 && baseline == PolicyRoundRobin {
		return below(name, goalShortest, values)
	}
	return atMost(name, goalFirstToken, values)
}

func classCount(r *Result) int {
	if len(r.Compared) == 0 {
		return 0
	}
	return len(r.Compared[0].Report.Summary.Classes)
}

func className(r *Result, class int) string { return r.Compared[0].Report.Summary.Classes[class].Class }

func slowdown(rep *load.Report) float64 { return rep.Slowdown.P95 }

// perSeed returns a metric of every run of a policy in the comparison.
func (r *Result) perSeed(policy string, value func(*load.Report) float64) []float64 {
	var out []float64
	for _, c := range r.Compared {
		if c.Policy == policy {
			out = append(out, value(c.Report))
		}
	}
	return out
}

// overBaseline returns, for each seed, the ratio of a metric of the default
// policy to that of the baseline.
func (r *Result) overBaseline(baseline string, value func(*load.Report) float64) []float64 {
	var out []float64
	for _, c := range r.Compared {
		b := r.find(baseline, c.Seed)
		if c.Policy != PolicyDefault || b == nil {
			continue
		}
		if v := value(b); v > 0 {
			out = append(out, value(c.Report)/v)
		}
	}
	return out
}

func (r *Result) find(policy string, seed uint64) *load.Report {
	for _, c := range r.Compared {
		if c.Policy == policy && c.Seed == seed {
			return c.Report
		}
	}
	return nil
}

// longOverBest returns, for each seed, the ratio of the default policy's rate of
// long-prompt tokens to the highest one of any baseline.
func (r *Result) longOverBest() []float64 {
	var out []float64
	for _, c := range r.Compared {
		if c.Policy != PolicyDefault {
			continue
		}
		best := 0.0
		for _, p := range Policies[1:] {
			if b := r.find(p, c.Seed); b != nil {
				best = max(best, b.Summary.LongTokens)
			}
		}
		if best > 0 {
			out = append(out, c.Report.Summary.LongTokens/best)
		}
	}
	return out
}

// overloadOverPeak returns, for each seed, the ratio of the useful token rate at
// the highest load to the highest one at any load.
func (r *Result) overloadOverPeak() []float64 {
	peak, last := make(map[uint64]float64), make(map[uint64]Cell)
	for _, c := range r.Overload {
		peak[c.Seed] = max(peak[c.Seed], c.Report.Summary.UsefulTokens)
		if c.Load >= last[c.Seed].Load {
			last[c.Seed] = c
		}
	}
	var out []float64
	for seed, c := range last {
		if peak[seed] > 0 {
			out = append(out, c.Report.Summary.UsefulTokens/peak[seed])
		}
	}
	return out
}

// refusals returns the p95 time to a refusal, in seconds, of each run at the
// highest load with refusals.
func (r *Result) refusals() []float64 {
	highest := 0.0
	for _, c := range r.Overload {
		highest = max(highest, c.Load)
	}
	var out []float64
	for _, c := range r.Overload {
		if s := c.Report.Summary; c.Load == highest && s.Refusals.Count > 0 {
			out = append(out, s.Refusals.P95)
		}
	}
	return out
}

func (r *Result) breaches(policy string) int {
	n := 0
	for _, c := range slices.Concat(r.Compared, r.Overload) {
		if c.Policy != policy {
			continue
		}
		for _, k := range c.Report.Summary.Breaches {
			n += k
		}
	}
	return n
}

func below(name string, goal float64, vs []float64) GoalResult {
	s := spread(vs)
	return GoalResult{name, fmt.Sprintf("< %g", goal), s, s.N > 0 && s.Median < goal, s.N > 0}
}

func atMost(name string, goal float64, vs []float64) GoalResult {
	s := spread(vs)
	return GoalResult{name, fmt.Sprintf("≤ %g", goal), s, s.N > 0 && s.Median <= goal, s.N > 0}
}

func atLeast(name string, goal float64, vs []float64) GoalResult {
	s := spread(vs)
	return GoalResult{name, fmt.Sprintf("≥ %g", goal), s, s.N > 0 && s.Median >= goal, s.N > 0}
}

// spread returns the median, minimum and maximum of the values. The median of an
// even number of values is the lower middle one.
func spread(vs []float64) Spread {
	if len(vs) == 0 {
		return Spread{}
	}
	vs = slices.Sorted(slices.Values(vs))
	return Spread{Median: vs[(len(vs)-1)/2], Min: vs[0], Max: vs[len(vs)-1], N: len(vs)}
}
