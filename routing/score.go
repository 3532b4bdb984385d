package routing

import "time"

// Names of the parts of a score, as they stand in Score.Parts.
const (
	PartWait     = "wait"
	PartPending  = "pending"
	PartDistance = "distance"
	PartPrefill  = "prefill"
	PartDecode   = "decode"
	PartBeside   = "beside long work"
	PartLane     = "lane"
	PartHarm     = "harm"
	PartSpread   = "spread" // random, less than zero for a lucky draw
)

// known is the part of a score that needs neither filters nor the prefix
// cache, in nanoseconds. No part of a score is negative, so it bounds the whole score
// from below.
func (c *Config) known(j *job) float64 {
	return waitScore(j) + pendingScore(j) + distanceScore(j, c.DistancePenalty)
}

// work is the rest of a score: what the request itself takes there.
func (c *Config) work(j *job) float64 {
	return prefillScore(j) +
		decodeScore(j, c.BatchSlowdown, c.DecodeHorizon) +
		besideScore(j, c.DecodeHorizon) +
		laneScore(j, c.LanePenalty, c.DecodeHorizon) +
		harmScore(j, c.HarmPenalty)
}

// parts returns a drawn score's parts in milliseconds.
func (c *Config) parts(j *job, spread float64) map[string]float64 {
	m := map[string]float64{
		PartWait:     waitScore(j),
		PartPending:  pendingScore(j),
		PartDistance: distanceScore(j, c.DistancePenalty),
		PartPrefill:  prefillScore(j),
		PartDecode:   decodeScore(j, c.BatchSlowdown, c.DecodeHorizon),
		PartBeside:   besideScore(j, c.DecodeHorizon),
		PartLane:     laneScore(j, c.LanePenalty, c.DecodeHorizon),
		PartHarm:     harmScore(j, c.HarmPenalty),
		PartSpread:   spread,
	}
	for name := range m {
		m[name] /= float64(time.Millisecond)
	}
	return m
}
