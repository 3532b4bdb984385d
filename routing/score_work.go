package routing

// prefillScore returns the predicted prefill time of the uncached tokens.
func prefillScore(e *evaluation) float64 {
	return float64(e.prefill) * e.slowdown
}

// decodeScore returns the predicted decode time of the response's first tokens,
// up to the horizon. Each request in the running batch slows it by the fraction
// perRunning.
func decodeScore(e *evaluation, perRunning float64, horizon uint64) float64 {
	tokens := min(e.req.MaxTokens, horizon)
	batch := float64(e.cand.Running + e.cand.PendingRequests)
	return float64(e.cost.Decode(tokens)) * (1 + perRunning*batch) * e.slowdown
}
