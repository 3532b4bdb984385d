package routing

import "time"

// besideScore is what the request's decode loses beside prefill that it
// passes: each of its steps carries a chunk of that, until either is over.
func besideScore(j *job, horizon uint64) float64 {
	passed := j.passed()
	if passed <= 0 {
		return 0
	}
	return min(j.chunks(horizon), float64(passed)) * j.slow
}

// passed is the prefill at the candidate that the request does not wait for.
func (j *job) passed() time.Duration {
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

// laneScore is what a short request expects to lose in the lane, where long
// work may arrive while it decodes: a share of the most that could be.
func laneScore(j *job, share float64, horizon uint64) float64 {
	if share <= 0 || !j.cand.LongLane || j.class >= laneClass {
		return 0
	}
	return share * j.chunks(horizon)
}

// remainingTokens is the number of tokens that a running request has left on
// average, as far as this request could slow them.
const remainingTokens = 32

// harmScore is a share of what the running requests lose to this one's
// prefill: each of their steps carries a chunk of it, until either is over.
func harmScore(j *job, share float64) float64 {
	running := j.cand.Running + j.cand.PendingCount
	if running == 0 {
		return 0
	}
	each := min(float64(j.prefill), remainingTokens*j.chunk)
	return share * each * float64(running) * j.slow
}

// chunks is the time that chunks of other work add to the request's answer if
// every step carries one.
func (j *job) chunks(horizon uint64) float64 {
	return float64(min(j.req.MaxTokens, horizon)) * j.chunk
}
