package routing

// breakerOpen rejects endpoints whose circuit breaker is open.
func breakerOpen(e *evaluation) bool { return e.cand.BreakerOpen }

// excluded rejects endpoints that already failed or refused this request.
func excluded(e *evaluation) bool {
	return len(e.req.Excluded) > 0 && e.req.Excluded[e.cand.Endpoint]
}
