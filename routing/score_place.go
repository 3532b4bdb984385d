package routing

import "time"

// distanceScore is a fixed penalty for another data centre.
func distanceScore(penalty time.Duration) func(j *job) float64 {
	return func(j *job) float64 {
		if j.cand.DataCentre == j.req.DataCentre {
			return 0
		}
		return float64(penalty)
	}
}

// laneScore keeps short work out of the lane while other endpoints are about
// as quick: long work that arrives later would slow it there.
func laneScore(share float64) func(j *job) float64 {
	return func(j *job) float64 {
		if !j.cand.LongLane || ClassOf(j.uncached) >= ClassLong {
			return 0
		}
		return share * float64(j.prefill)
	}
}
