package routing

// memoryTooSmall rejects endpoints that could not hold the prompt and its
// answer even when idle. Endpoints of unknown memory size are accepted.
func memoryTooSmall(j *job) bool {
	need := j.req.PromptTokens + j.req.MaxTokens
	return j.cand.MemoryTokens > 0 && need > j.cand.MemoryTokens
}
