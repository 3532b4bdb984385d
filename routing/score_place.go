package routing

import "time"

// distanceScore returns a fixed penalty for a candidate in another data centre.
func distanceScore(j *job, penalty time.Duration) float64 {
	if j.cand.DataCentre == j.req.DataCentre {
		return 0
	}
	return float64(penalty)
}
