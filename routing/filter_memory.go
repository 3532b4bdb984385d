package routing

// memoryTooSmall rejects endpoints that could not hold the prompt and its
// response even when idle. Endpoints of unknown memory size are accepted.
func memoryTooSmall(e *evaluation) bool {
	need := e.req.PromptTokens + e.req.MaxTokens
	return e.cand.MemoryTokens > 0 && need > e.cand.MemoryTokens
}
