package main

import (
	"cmp"
	"slices"
	"time"
)

// fleet describes the capacity of the engines.
type fleet struct {
	endpoints         int
	tokensPerMs       float64 // prompt tokens prefilled per ms
	msPerMillionPairs float64 // ms per million pairs of a token and an earlier one
}

// prefillTime returns the time that one otherwise idle engine takes to prefill a
// prompt.
func (f fleet) prefillTime(tokens int) time.Duration {
	n := float64(tokens)
	ms := n/f.tokensPerMs + n*n/2/1e6*f.msPerMillionPairs
	return time.Duration(ms * float64(time.Millisecond))
}

// boundStep is the time step in which bound accounts for engine time.
const boundStep = 100 * time.Millisecond

// bound estimates which requests could all have been answered in time if prefill
// were arbitrarily divisible, the engines did nothing but prefill, all arrivals
// were known in advance, and no endpoint or gateway failed. It schedules requests
// greedily by worth per engine time; each takes the earliest free engine time
// between its arrival and its objective. The order is a heuristic: the true bound
// may be slightly higher. A system without foresight achieves less.
func bound(f fleet, v values, all []*request) map[*request]bool {
	if len(all) == 0 {
		return nil
	}
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b *request) int { return cmp.Compare(density(f, v, b), density(f, v, a)) })
	begin := slices.MinFunc(all, func(a, b *request) int { return a.at.Compare(b.at) }).at
	used := make(map[int]time.Duration) // engine time used, by step
	capacity := time.Duration(f.endpoints) * boundStep
	fits := make(map[*request]bool)
	for _, r := range sorted {
		from := int(r.at.Sub(begin) / boundStep)
		to := int(r.at.Add(r.objective).Sub(begin) / boundStep)
		need := f.prefillTime(r.tokens)
		free := time.Duration(0)
		for step := from; step <= to; step++ {
			free += capacity - used[step]
		}
		if free < need {
			continue
		}
		fits[r] = true
		for step := from; step <= to && need > 0; step++ {
			take := min(need, capacity-used[step])
			used[step] += take
			need -= take
		}
	}
	return fits
}

// density returns the worth of a request per second of engine time.
func density(f fleet, v values, r *request) float64 {
	return v.worthOf(r) / f.prefillTime(r.tokens).Seconds()
}
