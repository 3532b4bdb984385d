package routing

import (
	"math"
	"time"
)

const (
	// noiseBits is the base-2 logarithm of the size of the noise table.
	noiseBits = 10
	// maxReportAge caps the report age that counts as uncertainty: an endpoint
	// whose load does not change has nothing to report.
	maxReportAge = 250 * time.Millisecond
)

// gumbelQuantiles holds quantiles of the standard Gumbel distribution.
// Subtracting Gumbel noise from each score and taking the minimum selects
// candidates with probabilities that decrease exponentially with their score
// (the Gumbel-max trick). Gateways with the same view therefore spread their
// requests over endpoints with about equal scores.
var gumbelQuantiles = func() (t [1 << noiseBits]float64) {
	for i := range t {
		u := (float64(i) + 0.5) / float64(len(t))
		t[i] = -math.Log(-math.Log(u))
	}
	return t
}()

// noiseSource is a splitmix64 generator. One random number from the caller
// seeds it for all candidates of a decision.
type noiseSource uint64

// next returns the noise for the next candidate.
func (n *noiseSource) next() float64 {
	*n += 0x9e3779b97f4a7c15
	z := uint64(*n)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return gumbelQuantiles[(z^(z>>31))>>(64-noiseBits)]
}

// noiseScaleSamples is the approximate number of candidates from which the
// noise scale is estimated.
const noiseScaleSamples = 16

// noiseScale returns the scale of the noise in nanoseconds: a fraction of the
// request's mean prefill time plus a fraction of the mean age of the reports,
// because other gateways may have sent work since these were made. The means
// are taken over evenly spaced candidates.
func (c *Config) noiseScale(req *Request, view []Candidate) float64 {
	var age, prefill, n float64
	step := len(view)/noiseScaleSamples + 1
	for i := 0; i < len(view); i += step {
		age += float64(min(view[i].LoadAge, maxReportAge))
		prefill += float64(view[i].Cost.OrDefault().Prefill(req.PromptTokens, 0))
		n++
	}
	return (c.NoisePrefillShare*prefill + c.NoiseAgeShare*age) / n
}

// bestCandidate tracks the candidate with the lowest noisy score. Its size does
// not depend on the number of candidates.
type bestCandidate struct {
	found      bool
	index      int
	noisyScore float64
	score      float64       // without the noise
	prefill    time.Duration // predicted prefill time on the candidate
}

// offer replaces the best candidate if the noisy score of the given one is
// lower.
func (b *bestCandidate) offer(index int, score, noise float64, prefill time.Duration) {
	if !b.beats(score + noise) {
		*b = bestCandidate{true, index, score + noise, score, prefill}
	}
}

// beats reports whether the best candidate beats or equals the given noisy
// score.
func (b *bestCandidate) beats(noisyScore float64) bool { return b.found && noisyScore >= b.noisyScore }
