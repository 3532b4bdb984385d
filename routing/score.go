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
func (c *Config) baseScore(e *evaluation) float64 {
	return waitScore(e) + pendingScore(e) + distanceScore(e, c.DistancePenalty)
}

// requestScore returns the rest of a score, the cost of the request itself on
// the candidate.
func (c *Config) requestScore(e *evaluation) float64 {
	return prefillScore(e) +
		decodeScore(e, c.BatchSlowdown, c.DecodeHorizon) +
		interferenceScore(e, c.DecodeHorizon) +
		laneScore(e, c.LaneWeight, c.DecodeHorizon) +
		imposedInterferenceScore(e, c.ImposedInterferenceWeight)
}

// parts returns the parts of a noisy score in milliseconds.
func (c *Config) parts(e *evaluation, noise float64) map[string]float64 {
	m := map[string]float64{
		PartWait:                waitScore(e),
		PartPending:             pendingScore(e),
		PartDistance:            distanceScore(e, c.DistancePenalty),
		PartPrefill:             prefillScore(e),
		PartDecode:              decodeScore(e, c.BatchSlowdown, c.DecodeHorizon),
		PartInterference:        interferenceScore(e, c.DecodeHorizon),
		PartLane:                laneScore(e, c.LaneWeight, c.DecodeHorizon),
		PartImposedInterference: imposedInterferenceScore(e, c.ImposedInterferenceWeight),
		PartNoise:               noise,
	}
	for name := range m {
		m[name] /= float64(time.Millisecond)
	}
	return m
}
