package routing

// breakerOpen rejects endpoints that fail at present.
func breakerOpen(j *job) bool { return j.cand.BreakerOpen }

// excluded rejects endpoints that failed or refused this very request.
func excluded(j *job) bool {
	return len(j.req.Excluded) > 0 && j.req.Excluded[j.cand.Endpoint]
}
