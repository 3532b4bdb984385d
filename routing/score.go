package routing

import "time"

// Names of the parts of a score, the keys of Score.Parts.
const (
	PartWait                = "wait"
	PartPending             = "pending"
	PartDistance            = "distance"
	PartPrefill             = "prefill"
	PartDecode              = "decode"
	PartInterference        = "beside long work"
	PartLane                = "lane"
	PartImposedInterference = "harm"
	PartNoise               = "spread" // random noise, may be negative
)

// baseScore returns the part of a score, in nanoseconds, that can be computed
// without the filters and the prefix cache. As no part of a score is negative
// except the noise, it is a lower bound of the score without noise.
func (c *Config) baseScore(j *job) float64 {
	return waitScore(j) + pendingScore(j) + distanceScore(j, c.DistancePenalty)
}

// requestScore returns the rest of a score, the cost of the request itself on
// the candidate.
func (c *Config) requestScore(j *job) float64 {
	return prefillScore(j) +
		decodeScore(j, c.BatchSlowdown, c.DecodeHorizon) +
		interferenceScore(j, c.DecodeHorizon) +
		laneScore(j, c.LaneWeight, c.DecodeHorizon) +
		imposedInterferenceScore(j, c.ImposedInterferenceWeight)
}

// parts returns the parts of a noisy score in milliseconds.
func (c *Config) parts(j *job, noise float64) map[string]float64 {
	m := map[string]float64{
		PartWait:                waitScore(j),
		PartPending:             pendingScore(j),
		PartDistance:            distanceScore(j, c.DistancePenalty),
		PartPrefill:             prefillScore(j),
		PartDecode:              decodeScore(j, c.BatchSlowdown, c.DecodeHorizon),
		PartInterference:        interferenceScore(j, c.DecodeHorizon),
		PartLane:                laneScore(j, c.LaneWeight, c.DecodeHorizon),
		PartImposedInterference: imposedInterferenceScore(j, c.ImposedInterferenceWeight),
		PartNoise:               noise,
	}
	for name := range m {
		m[name] /= float64(time.Millisecond)
	}
	return m
}
