package routing

// Names of the parts of a score.
const (
	PartWait     = "wait"
	PartPending  = "pending"
	PartPrefill  = "prefill"
	PartDecode   = "decode"
	PartDistance = "distance"
	PartLane     = "lane"
)

// scorer predicts one part of the time that a request takes at a candidate,
// in nanoseconds; less is better.
type scorer struct {
	name  string
	score func(j *job) float64
}

func scorers(cfg Config) []scorer {
	s := []scorer{
		{PartWait, waitScore},
		{PartPending, pendingScore},
		{PartPrefill, prefillScore},
		{PartDecode, decodeScore(cfg.BatchSlowdown, cfg.DecodeHorizon)},
		{PartDistance, distanceScore(cfg.DistancePenalty)},
	}
	if !cfg.NoLanes {
		s = append(s, scorer{PartLane, laneScore(cfg.LanePenalty)})
	}
	return s
}

// slowness is the factor by which the endpoint exceeds its own predictions.
func (j *job) slowness() float64 {
	if j.cand.Slowness <= 0 {
		return 1
	}
	return j.cand.Slowness
}
