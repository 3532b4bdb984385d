package routing

import "time"

// distanceScore returns a fixed penalty for a candidate in another data centre.
func distanceScore(e *evaluation, penalty time.Duration) float64 {
	if e.cand.DataCentre == e.req.DataCentre {
		return 0
	}
	return float64(penalty)
}
