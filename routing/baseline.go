package routing

import "sync/atomic"

// RoundRobin returns the baseline that takes the usable endpoints in turn. It
// counts its calls and is safe for concurrent use.
func RoundRobin() Policy {
	return &roundRobin{}
}

type roundRobin struct {
	calls atomic.Uint64
}

// Choose implements Policy.
func (p *roundRobin) Choose(req Request, view []Candidate, _ func(n int) int, trace bool) Decision {
	kept, d := sift(&req, view, trace, nil)
	if kept == 0 {
		return d
	}
	turn := int(p.calls.Add(1)-1) % kept
	d.Index = -1
	seen := 0
	sift(&req, view, false, func(i int) {
		if seen == turn {
			d.Index = i
		}
		seen++
	})
	d.Reason = "next in turn"
	return d
}

// LeastLoad returns the baseline that takes the usable endpoint with the
// fewest requests in its last report, at random among equals.
func LeastLoad() Policy {
	return leastLoad{}
}

type leastLoad struct{}

// Choose implements Policy.
func (leastLoad) Choose(req Request, view []Candidate, r func(n int) int, trace bool) Decision {
	least, equals := 0, 0
	index := -1
	_, d := sift(&req, view, trace, func(i int) {
		load := view[i].Queued + view[i].Running
		switch {
		case index < 0 || load < least:
			index, least, equals = i, load, 1
		case load == least:
			equals++
			if r(equals) == 0 {
				index = i
			}
		}
	})
	if index >= 0 {
		d.Index, d.Reason = index, "least reported load"
	}
	return d
}

// sift applies the filters, calls keep for each candidate left, and returns
// their number and the decision for when there are none.
func sift(req *Request, view []Candidate, trace bool, keep func(i int)) (int, Decision) {
	d := Decision{Index: -1, Reason: FilterNone}
	j := job{req: req, class: ClassOf(req.PromptTokens)}
	kept, deepest := 0, passed
	for i := range view {
		j.cand = &view[i]
		f := rejectedBy(&j, DefaultFreshFor)
		score := Score{Endpoint: view[i].Endpoint, Kept: f == passed}
		if f != passed {
			score.Filtered = f.String()
			deepest = max(deepest, f)
		} else {
			kept++
			if keep != nil {
				keep(i)
			}
		}
		if trace {
			d.Scores = append(d.Scores, score)
		}
	}
	d.Reason = deepest.String()
	return kept, d
}
