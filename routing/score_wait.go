package routing

// waitScore is the agent's own prediction for the request's class, less the
// time that has passed since: the endpoint has been working it off.
func waitScore(j *job) float64 {
	return max(0, float64(j.cand.Wait[j.class]-j.cand.Age)) * j.slow
}

// pendingScore is the work that this gateway sent and that the agent's last
// report does not contain yet. Short work passes the long part of it.
func pendingScore(j *job) float64 {
	pending := j.cand.Pending
	if j.class < ClassLong {
		pending -= j.cand.PendingLong
	}
	return max(0, float64(pending)) * j.slow
}
