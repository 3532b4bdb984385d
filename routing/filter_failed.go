package routing

// breakerOpen rejects endpoints whose circuit breaker is open.
func breakerOpen(j *job) bool { return j.cand.BreakerOpen }

// excluded rejects endpoints that already failed or refused this request.
func excluded(j *job) bool {
	return len(j.req.Excluded) > 0 && j.req.Excluded[j.cand.Endpoint]
}
