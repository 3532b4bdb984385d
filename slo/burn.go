package slo

import (
	"sort"
	"time"
)

// Burn is the state of one pair of windows.
type Burn struct {
	Window
	// LongBurn and ShortBurn say how many times faster than allowed the budget
	// is spent over each window.
	LongBurn  float64 `json:"long_burn"`
	ShortBurn float64 `json:"short_burn"`
	// Covered is the part of the long window that the samples reach back over;
	// the burn rates are those of what is covered.
	Covered time.Duration `json:"covered_ns"`
	Firing  bool          `json:"firing"`
}

// Row is the report for one objective and target.
type Row struct {
	Objective
	Target
	Events float64 `json:"events"` // over the longest window
	Bad    float64 `json:"bad"`
	Burns  []Burn  `json:"burns"`
}

// Firing returns the most urgent severity of the row's windows that fire; ""
// when none does.
func (r Row) Firing() Severity {
	out := Severity("")
	for _, b := range r.Burns {
		if b.Firing && out != Page {
			out = b.Severity
		}
	}
	return out
}

// Report computes the rows of all objectives and targets seen, ordered by
// objective, workspace and class. Samples must be ordered by time.
func Report(samples []Sample, now time.Time, objectives []Objective, windows []Window) []Row {
	steps := increases(samples)
	var out []Row
	for _, o := range objectives {
		for _, t := range targets(steps, o.Indicator) {
			out = append(out, row(steps, now, o, t, windows))
		}
	}
	return out
}

// step is the increase of all gateways' counters that ends at a moment.
type step struct {
	from, to time.Time
	tallies  map[Indicator]Tallies
}

// increases turns samples into steps. A gateway missing from a sample is
// compared with the last sample that has it, so that nothing it counted
// meanwhile is lost; a gateway seen for the first time gives a base only.
func increases(samples []Sample) []step {
	last := make(map[string]Counters)
	var out []step
	for i, s := range samples {
		st := step{to: s.At, tallies: make(map[Indicator]Tallies)}
		for name, now := range s.Gateways {
			if old, ok := last[name]; ok {
				st.add(now, old)
			}
			last[name] = now
		}
		if i > 0 {
			st.from = samples[i-1].At
			out = append(out, st)
		}
	}
	return out
}

func (st step) add(now, old Counters) {
	for ind, byTarget := range now {
		if st.tallies[ind] == nil {
			st.tallies[ind] = make(Tallies)
		}
		for t, v := range byTarget {
			d := v.since(old[ind][t])
			for _, key := range widenings(t) {
				sum := st.tallies[ind][key]
				sum.add(d)
				st.tallies[ind][key] = sum
			}
		}
	}
}

// widenings returns the targets that an event of t counts for.
func widenings(t Target) []Target {
	return []Target{t, {t.Workspace, All}, {All, t.Class}, {All, All}}
}

func targets(steps []step, ind Indicator) []Target {
	seen := make(map[Target]bool)
	var out []Target
	for _, st := range steps {
		for t := range st.tallies[ind] {
			if !seen[t] {
				seen[t] = true
				out = append(out, t)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].less(out[j]) })
	return out
}

// classOrder sorts classes by length, not by name.
var classOrder = map[string]int{All: 0, "4k": 1, "32k": 2, "128k": 3, "1M": 4}

// less puts the widest targets first.
func (t Target) less(o Target) bool {
	if t.Workspace != o.Workspace {
		if t.Workspace == All || o.Workspace == All {
			return t.Workspace == All
		}
		return t.Workspace < o.Workspace
	}
	return classOrder[t.Class] < classOrder[o.Class]
}

func row(steps []step, now time.Time, o Objective, t Target, windows []Window) Row {
	r := Row{Objective: o, Target: t}
	for _, w := range windows {
		long, covered := sum(steps, now, w.Long, o.Indicator, t)
		short, _ := sum(steps, now, w.Short, o.Indicator, t)
		b := Burn{Window: w, LongBurn: o.rate(long), ShortBurn: o.rate(short), Covered: covered}
		b.Firing = b.LongBurn >= w.Rate && b.ShortBurn >= w.Rate
		r.Burns = append(r.Burns, b)
		if long.Total >= r.Events {
			r.Events, r.Bad = long.Total, long.Bad
		}
	}
	return r
}

// sum adds up the steps inside the window before now, and tells how far back
// they reach. Of a step that began before the window the same part counts as
// of its time, so that sparse samples do not stretch a short window.
func sum(steps []step, now time.Time, window time.Duration, ind Indicator, t Target) (Tally, time.Duration) {
	var out Tally
	covered := time.Duration(0)
	for _, st := range steps {
		part := st.inside(now, window)
		if part <= 0 {
			continue
		}
		out.add(st.tallies[ind][t].times(part))
		covered = max(covered, now.Sub(st.from))
	}
	return out, min(covered, window)
}

// inside returns which part of the step lies inside the window before now.
func (st step) inside(now time.Time, window time.Duration) float64 {
	length := st.to.Sub(st.from)
	age := now.Sub(st.to)
	if age < 0 || age >= window || length <= 0 {
		return 0
	}
	return min(1, float64(window-age)/float64(length))
}

// rate returns how many times faster than allowed the budget is spent.
func (o Objective) rate(t Tally) float64 {
	budget := 1 - o.Good
	if t.Total <= 0 || budget <= 0 {
		return 0
	}
	return t.Bad / t.Total / budget
}

// Series returns the burn rate of one objective and target over the samples,
// each over the window before it, for a plot.
func Series(samples []Sample, o Objective, t Target, window time.Duration) (at []time.Time, rate []float64) {
	steps := increases(samples)
	for _, st := range steps {
		v, _ := sum(steps, st.to, window, o.Indicator, t)
		at = append(at, st.to)
		rate = append(rate, o.rate(v))
	}
	return at, rate
}
