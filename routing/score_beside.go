package routing

import "time"

// interferenceScore returns the delay of the request's decode by the prefill
// that the request overtakes: each decode step also carries a chunk of that
// prefill until one of the two ends.
func interferenceScore(j *job, horizon uint64) float64 {
	overtaken := j.overtakenPrefill()
	if overtaken <= 0 {
		return 0
	}
	return min(j.chunkDelay(horizon), float64(overtaken)) * j.slowdown
}

// overtakenPrefill returns the prefill time of the candidate's work that the
// request does not wait for.
func (j *job) overtakenPrefill() time.Duration {
	if j.class >= ClassLong {
		return 0
	}
	tokens := max(j.cand.QueuedTokens, j.cand.LongTokens)
	if tokens == 0 {
		return j.cand.PendingLong
	}
	backlog := j.cost.Prefill(tokens, 0) - j.cand.Wait[j.class]
	return max(0, backlog) + j.cand.PendingLong
}

// laneScore returns the expected delay of a short request on an endpoint of the
// long lane, where long work may arrive during its decode: a fraction of the
// largest possible delay.
func laneScore(j *job, weight float64, horizon uint64) float64 {
	if weight <= 0 || !j.cand.LongLane || j.class >= laneClass {
		return 0
	}
	return weight * j.chunkDelay(horizon)
}

// meanRemainingTokens is the mean number of tokens left to decode in a running
// request that this request could delay.
const meanRemainingTokens = 32

// imposedInterferenceScore returns a fraction of the delay that this request's
// prefill causes to the running requests: each of their decode steps also
// carries a chunk of the prefill until one of the two ends.
func imposedInterferenceScore(j *job, weight float64) float64 {
	running := j.cand.Running + j.cand.PendingCount
	if running == 0 {
		return 0
	}
	perRun := min(float64(j.prefill), meanRemainingTokens*j.chunk)
	return weight * perRun * float64(running) * j.slowdown
}

// chunkDelay returns the delay of the request's answer, up to the horizon, if
// every decode step also carries a prefill chunk of other work.
func (j *job) chunkDelay(horizon uint64) float64 {
	return float64(min(j.req.MaxTokens, horizon)) * j.chunk
}
