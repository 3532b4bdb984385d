package routing

// outsideLane rejects endpoints outside the long lane if the request is long
// work for them, judged by the tokens that are not in the endpoint's cache.
// Short work may run on any endpoint.
func outsideLane(e *evaluation) bool {
	return e.long && !e.cand.InLongLane
}
