package routing

// prefillScore returns the predicted prefill time of the uncached tokens.
func prefillScore(j *job) float64 {
	return float64(j.prefill) * j.slowdown
}

// decodeScore returns the predicted decode time of the answer's first tokens,
// up to the horizon. Each request in the running batch slows it by the fraction
// perRunning.
func decodeScore(j *job, perRunning float64, horizon uint64) float64 {
	tokens := min(j.req.MaxTokens, horizon)
	batch := float64(j.cand.Running + j.cand.PendingCount)
	return float64(j.cost.Decode(tokens)) * (1 + perRunning*batch) * j.slowdown
}
