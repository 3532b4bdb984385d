package routing

// prefillScore is the predicted prefill of the tokens not held there.
func prefillScore(j *job) float64 {
	return float64(j.prefill) * j.slow
}

// decodeScore predicts the decode of the answer's beginning, to the horizon,
// in the running batch, which slows it by the given share per running request.
func decodeScore(j *job, perRunning float64, horizon uint64) float64 {
	tokens := min(j.req.MaxTokens, horizon)
	batch := float64(j.cand.Running + j.cand.PendingCount)
	return float64(j.cost.Decode(tokens)) * (1 + perRunning*batch) * j.slow
}
