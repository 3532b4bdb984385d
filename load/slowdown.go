package load

import (
	"sort"

	"gonum.org/v1/gonum/stat"

	"github.com/micarudder/micarudder/routing"
)

// Slowdown compares short requests sent along with long ones with the same
// requests sent alone. A pair is a request of the schedule that was answered
// completely in both runs.
type Slowdown struct {
	Pairs int `json:"pairs"`
	// Missing counts requests answered completely in the run alone only.
	Missing int `json:"missing"`
	// P50 and P95 are quantiles of the per-pair ratio, shared run over run alone,
	// of the time from due to end. FirstTokenP95 is that of the time to first
	// token.
	P50           float64 `json:"p50"`
	P95           float64 `json:"p95"`
	FirstTokenP95 float64 `json:"first_token_p95"`
	// RatioOfP95 is the 95th percentile of the time from due to end in the shared
	// run divided by that in the run alone. FirstTokenRatioOfP95 is the same for
	// the time to first token.
	RatioOfP95           float64 `json:"ratio_of_p95"`
	FirstTokenRatioOfP95 float64 `json:"first_token_ratio_of_p95"`

	Ratios []float64 `json:"-"` // sorted
}

// IsShort reports whether the slowdown of an arrival is measured: its prompt is
// in the shortest class.
func IsShort(a Arrival) bool { return a.Class() == routing.ClassShort }

// CompareShort pairs the short requests of two runs by ID and compares them.
func CompareShort(shared, alone []Record) Slowdown {
	base := make(map[string]Record)
	for _, r := range alone {
		base[r.ID] = r
	}
	var out Slowdown
	var p pairs
	for _, r := range shared {
		b, ok := base[r.ID]
		if !ok || !pairable(b) {
			continue
		}
		if !pairable(r) {
			out.Missing++
			continue
		}
		p.add(r, b)
	}
	out.Pairs = len(p.ratios)
	out.Ratios = p.ratios
	out.P50, out.P95 = quantileOf(p.ratios, 0.5), quantileOf(p.ratios, 0.95)
	out.FirstTokenP95 = quantileOf(p.firstRatios, 0.95)
	out.RatioOfP95 = quotient(quantileOf(p.took[0], 0.95), quantileOf(p.took[1], 0.95))
	out.FirstTokenRatioOfP95 = quotient(quantileOf(p.first[0], 0.95), quantileOf(p.first[1], 0.95))
	return out
}

// pairs collects durations in seconds and their ratios. Index 0 of the arrays is
// the shared run, 1 the run alone.
type pairs struct {
	ratios, firstRatios []float64
	took, first         [2][]float64
}

func (p *pairs) add(shared, alone Record) {
	took := [2]float64{shared.Took().Seconds(), alone.Took().Seconds()}
	first := [2]float64{shared.TimeToFirstToken().Seconds(), alone.TimeToFirstToken().Seconds()}
	p.ratios = append(p.ratios, quotient(took[0], took[1]))
	p.firstRatios = append(p.firstRatios, quotient(first[0], first[1]))
	for i := range 2 {
		p.took[i] = append(p.took[i], took[i])
		p.first[i] = append(p.first[i], first[i])
	}
}

func pairable(r Record) bool {
	return r.Class == routing.ClassShort && r.Measured && r.Final == Whole && r.FirstToken > 0
}

func quotient(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}

func quantileOf(vs []float64, q float64) float64 {
	sort.Float64s(vs)
	return quantile(vs, q)
}

// quantile returns the empirical quantile of sorted values, or 0 if there are
// none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return stat.Quantile(q, stat.Empirical, sorted, nil)
}
