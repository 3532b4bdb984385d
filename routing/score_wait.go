package routing

// waitScore returns the queueing delay that the agent predicted for the
// request's class, minus the age of that prediction, because the endpoint has
// processed part of its queue since.
func waitScore(e *evaluation) float64 {
	return max(0, float64(e.cand.Wait[e.class]-e.cand.LoadAge)) * e.slowdown
}

// pendingScore returns the predicted time of the work that this gateway has
// sent and that is not in the agent's last report yet. Work shorter than
// ClassLong overtakes the long part of it.
func pendingScore(e *evaluation) float64 {
	pending := e.cand.Pending
	if e.class < ClassLong {
		pending -= e.cand.PendingLong
	}
	return max(0, float64(pending)) * e.slowdown
}
