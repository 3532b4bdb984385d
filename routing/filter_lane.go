package routing

// outsideLane rejects endpoints outside the lane for work that is long there,
// counted by the tokens that the endpoint does not hold yet. Short work passes
// everywhere.
func outsideLane(j *job) bool {
	return j.long && !j.cand.LongLane
}
