package slo

import (
	"sort"
	"time"
)

// BurnRates holds the burn rates over one pair of windows and whether its alert fires.
type BurnRates struct {
	Window
	// LongBurn and ShortBurn are the burn rates over each window: how many times
	// faster than allowed the error budget is spent.
	LongBurn  float64 `json:"long_burn"`
	ShortBurn float64 `json:"short_burn"`
	// Covered is how far back into the long window the samples reach; the burn
	// rates are computed over the covered part only.
	Covered time.Duration `json:"covered_ns"`
	Firing  bool          `json:"firing"`
}

// Row is the report for one objective and target.
type Row struct {
	Objective
	Target
	Events float64     `json:"events"` // over the longest window
	Bad    float64     `json:"bad"`
	Burns  []BurnRates `json:"burns"`
}

// Firing returns the most urgent severity among the row's windows that fire, or
// "" when none does.
func (r Row) Firing() Severity {
	out := Severity("")
	for _, b := range r.Burns {
		if b.Firing && out != Page {
			out = b.Severity
		}
	}
	return out
}

// Report computes one row for each objective and each target found in the
// samples, ordered by objective, workspace and class. Samples must be ordered by
// time.
func Report(samples []Sample, now time.Time, objectives []Objective, windows []Window) []Row {
	incs := increments(samples)
	var out []Row
	for _, o := range objectives {
		for _, t := range targets(incs, o.Indicator) {
			out = append(out, newRow(incs, now, o, t, windows))
		}
	}
	return out
}

// increment is the increase of the counters of all gateways between two samples.
type increment struct {
	from, to time.Time
	tallies  map[Indicator]Tallies
}

// increments returns the increase between consecutive samples. A gateway missing
// from a sample is compared with the last sample that has it, so that nothing it
// counted in between is lost; a gateway's first sample serves only as a baseline.
func increments(samples []Sample) []increment {
	last := make(map[string]Counters)
	var out []increment
	for i, s := range samples {
		inc := increment{to: s.At, tallies: make(map[Indicator]Tallies)}
		for name, now := range s.Gateways {
			if old, ok := last[name]; ok {
				inc.add(now, old)
			}
			last[name] = now
		}
		if i > 0 {
			inc.from = samples[i-1].At
			out = append(out, inc)
		}
	}
	return out
}

// add adds the increase from old to now to every target that it counts for.
func (inc increment) add(now, old Counters) {
	for ind, byTarget := range now {
		if inc.tallies[ind] == nil {
			inc.tallies[ind] = make(Tallies)
		}
		for t, v := range byTarget {
			d := v.increaseSince(old[ind][t])
			for _, key := range aggregates(t) {
				sum := inc.tallies[ind][key]
				sum.add(d)
				inc.tallies[ind][key] = sum
			}
		}
	}
}

// aggregates returns the targets to which an event of t is added: t itself, its
// workspace over all classes, its class over all workspaces, and the total.
func aggregates(t Target) []Target {
	return []Target{t, {t.Workspace, All}, {All, t.Class}, {All, All}}
}

// targets returns the targets that have increments of the indicator, in report order.
func targets(incs []increment, ind Indicator) []Target {
	seen := make(map[Target]bool)
	var out []Target
	for _, inc := range incs {
		for t := range inc.tallies[ind] {
			if !seen[t] {
				seen[t] = true
				out = append(out, t)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].less(out[j]) })
	return out
}

// classOrder ranks classes by prompt length; by name, 128k would precede 32k.
var classOrder = map[string]int{All: 0, "4k": 1, "32k": 2, "128k": 3, "1M": 4}

// less orders targets by workspace and class, with All first in each.
func (t Target) less(o Target) bool {
	if t.Workspace != o.Workspace {
		if t.Workspace == All || o.Workspace == All {
			return t.Workspace == All
		}
		return t.Workspace < o.Workspace
	}
	return classOrder[t.Class] < classOrder[o.Class]
}

// newRow computes the report row of one objective and target.
func newRow(incs []increment, now time.Time, o Objective, t Target, windows []Window) Row {
	r := Row{Objective: o, Target: t}
	for _, w := range windows {
		long, covered := sumWindow(incs, now, w.Long, o.Indicator, t)
		short, _ := sumWindow(incs, now, w.Short, o.Indicator, t)
		b := BurnRates{Window: w, LongBurn: o.rate(long), ShortBurn: o.rate(short), Covered: covered}
		b.Firing = b.LongBurn >= w.Rate && b.ShortBurn >= w.Rate
		r.Burns = append(r.Burns, b)
		if long.Total >= r.Events {
			r.Events, r.Bad = long.Total, long.Bad
		}
	}
	return r
}

// sumWindow adds up the increments in the window before now and returns how far
// back they reach. An increment that began before the window counts in proportion
// to the part of its time inside the window, so that sparse samples do not extend
// a short window.
func sumWindow(incs []increment, now time.Time, window time.Duration, ind Indicator, t Target) (Tally, time.Duration) {
	var out Tally
	covered := time.Duration(0)
	for _, inc := range incs {
		fraction := inc.overlap(now, window)
		if fraction <= 0 {
			continue
		}
		out.add(inc.tallies[ind][t].scale(fraction))
		covered = max(covered, now.Sub(inc.from))
	}
	return out, min(covered, window)
}

// overlap returns the fraction of the increment's time that lies in the window before now.
func (inc increment) overlap(now time.Time, window time.Duration) float64 {
	length := inc.to.Sub(inc.from)
	age := now.Sub(inc.to)
	if age < 0 || age >= window || length <= 0 {
		return 0
	}
	return min(1, float64(window-age)/float64(length))
}

// rate returns the burn rate: the fraction of bad events divided by the fraction that the
// objective allows. It is 0 when there are no events or no budget.
func (o Objective) rate(t Tally) float64 {
	budget := 1 - o.Good
	if t.Total <= 0 || budget <= 0 {
		return 0
	}
	return t.Bad / t.Total / budget
}

// Series returns the burn rate of one objective and target at each sample, computed
// over the window before it, for plotting.
func Series(samples []Sample, o Objective, t Target, window time.Duration) (at []time.Time, rate []float64) {
	incs := increments(samples)
	for _, inc := range incs {
		v, _ := sumWindow(incs, inc.to, window, o.Indicator, t)
		at = append(at, inc.to)
		rate = append(rate, o.rate(v))
	}
	return at, rate
}
