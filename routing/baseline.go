package routing

import "sync/atomic"

// RoundRobin returns a baseline policy that selects the eligible endpoints in
// turn. It is safe for concurrent use.
func RoundRobin() Policy {
	return &roundRobin{}
}

type roundRobin struct {
	calls atomic.Uint64
}

// Choose implements Policy.
func (p *roundRobin) Choose(req Request, view []Candidate, _ func(n int) int, trace bool) Decision {
	kept, d := applyFilters(&req, view, trace, nil)
	if kept == 0 {
		return d
	}
	turn := int(p.calls.Add(1)-1) % kept
	d.Index = -1
	seen := 0
	applyFilters(&req, view, false, func(i int) {
		if seen == turn {
			d.Index = i
		}
		seen++
	})
	d.Reason = "next in turn"
	return d
}

// LeastLoad returns a baseline policy that selects the eligible endpoint with
// the fewest requests in its last report. Ties are broken at random.
func LeastLoad() Policy {
	return leastLoad{}
}

type leastLoad struct{}

// Choose implements Policy.
func (leastLoad) Choose(req Request, view []Candidate, r func(n int) int, trace bool) Decision {
	least, ties := 0, 0
	index := -1
	_, d := applyFilters(&req, view, trace, func(i int) {
		load := view[i].Queued + view[i].Running
		switch {
		case index < 0 || load < least:
			index, least, ties = i, load, 1
		case load == least:
			ties++
			if r(ties) == 0 {
				index = i
			}
		}
	})
	if index >= 0 {
		d.Index, d.Reason = index, "least reported load"
	}
	return d
}

// applyFilters calls keep for each candidate that passes the filters. It
// returns the number of these candidates and the decision to return if there
// are none.
func applyFilters(req *Request, view []Candidate, trace bool, keep func(i int)) (int, Decision) {
	d := Decision{Index: -1, Reason: FilterNone}
	e := evaluation{req: req, class: ClassOf(req.PromptTokens)}
	kept, furthest := 0, passed
	for i := range view {
		e.cand = &view[i]
		f := rejectedBy(&e, DefaultMaxSilence)
		score := Score{Endpoint: view[i].Endpoint, Kept: f == passed}
		if f != passed {
			score.Filtered = f.String()
			furthest = max(furthest, f)
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
	d.Reason = furthest.String()
	return kept, d
}
