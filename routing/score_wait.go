package routing

// waitScore returns the queueing delay that the agent predicted for the
// request's class, minus the age of that prediction, because the endpoint has
// processed part of its queue since.
func waitScore(j *job) float64 {
	return max(0, float64(j.cand.Wait[j.class]-j.cand.Age)) * j.slowdown
}

// pendingScore returns the predicted time of the work that this gateway has
// sent and that is not in the agent's last report yet. Work shorter than
// ClassLong overtakes the long part of it.
func pendingScore(j *job) float64 {
	pending := j.cand.Pending
	if j.class < ClassLong {
		pending -= j.cand.PendingLong
	}
	return max(0, float64(pending)) * j.slowdown
}
