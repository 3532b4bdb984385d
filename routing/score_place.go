package routing

import "time"

// distanceScore is a fixed penalty for another data centre.
func distanceScore(j *job, penalty time.Duration) float64 {
	if j.cand.DataCentre == j.req.DataCentre {
		return 0
	}
	return float64(penalty)
}

// laneScore keeps short work out of the lane while other endpoints are about
// as quick: long work that arrives later would slow it there. It is a share of
// the request's own prefill.
func laneScore(j *job, share float64) float64 {
	if share <= 0 || !j.cand.LongLane || ClassOf(j.uncached) >= ClassLong {
		return 0
	}
	return share * float64(j.prefill)
}
