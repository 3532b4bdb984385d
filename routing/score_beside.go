package routing

import "time"

// interferenceScore returns the delay of the request's decode by the prefill
// that the request overtakes: each decode step also carries a chunk of that
// prefill until one of the two ends.
func interferenceScore(e *evaluation, horizon uint64) float64 {
	overtaken := e.overtakenPrefill()
	if overtaken <= 0 {
		return 0
	}
	return min(e.chunkDelay(horizon), float64(overtaken)) * e.slowdown
}

// overtakenPrefill returns the prefill time of the candidate's work that the
// request does not wait for.
func (e *evaluation) overtakenPrefill() time.Duration {
	if e.class >= ClassLong {
		return 0
	}
	tokens := max(e.cand.QueuedTokens, e.cand.LongTokens)
	if tokens == 0 {
		return e.cand.PendingLong
	}
	backlog := e.cost.Prefill(tokens, 0) - e.cand.Wait[e.class]
	return max(0, backlog) + e.cand.PendingLong
}

// laneScore returns the expected delay of a short request on an endpoint of the
// long lane, where long work may arrive during its decode: a fraction of the
// largest possible delay.
func laneScore(e *evaluation, weight float64, horizon uint64) float64 {
	if weight <= 0 || !e.cand.InLongLane || e.class >= laneClass {
		return 0
	}
	return weight * e.chunkDelay(horizon)
}

// meanRemainingTokens is the mean number of tokens left to decode in a running
// request that this request could delay.
const meanRemainingTokens = 32

// imposedInterferenceScore returns a fraction of the delay that this request's
// prefill causes to the running requests: each of their decode steps also
// carries a chunk of the prefill until one of the two ends.
func imposedInterferenceScore(e *evaluation, weight float64) float64 {
	running := e.cand.Running + e.cand.PendingRequests
	if running == 0 {
		return 0
	}
	perRun := min(float64(e.prefill), meanRemainingTokens*e.chunk)
	return weight * perRun * float64(running) * e.slowdown
}

// chunkDelay returns the delay of the request's response, up to the horizon, if
// every decode step also carries a prefill chunk of other work.
func (e *evaluation) chunkDelay(horizon uint64) float64 {
	return float64(min(e.req.MaxTokens, horizon)) * e.chunk
}
