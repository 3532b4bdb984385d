package routing

import "time"

// distanceScore is a fixed penalty for another data centre.
func distanceScore(j *job, penalty time.Duration) float64 {
	if j.cand.DataCentre == j.req.DataCentre {
		return 0
	}
	return float64(penalty)
}
