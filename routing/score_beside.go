package routing

// besideScore is what the request's decode loses beside long work that it
// passes: each of its steps carries a chunk of that work's prefill, until
// either is over.
func besideScore(j *job, horizon uint64) float64 {
	if j.class >= ClassLong || j.cand.LongTokens == 0 && j.cand.PendingLong <= 0 {
		return 0
	}
	work := j.cost.Prefill(j.cand.LongTokens, 0) + j.cand.PendingLong
	return min(j.chunks(horizon), float64(work)) * j.slow
}

// laneScore is what a short request expects to lose in the lane, where long
// work may arrive while it decodes: a share of the most that could be.
func laneScore(j *job, share float64, horizon uint64) float64 {
	if share <= 0 || !j.cand.LongLane || j.class >= ClassLong {
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
