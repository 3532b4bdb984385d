// Package cost learns the cost of work on one endpoint from the duration of its runs:
// prefill as a linear and a quadratic function of the prompt's tokens, decode per
// token. It performs no I/O and is not safe for concurrent use.
package cost

import (
	"math"
	"time"

	"github.com/micarudder/micarudder/routing"
)

const (
	// retention is the factor by which the weight of earlier observations of a band
	// decays with each new one.
	retention = 0.95
	// priorWeight is the weight of the prior's shape, in observations.
	priorWeight = 1
	// scaleGain is the weight of a new observation in the scale relative to the prior,
	// and streakGain its weight after a streak.
	scaleGain  = 0.1
	streakGain = 0.5
	// longPromptTokens is the number of uncached tokens from which observations are
	// kept in a separate band. Long prompts are rare and must not be forgotten because
	// of short ones.
	longPromptTokens = 32_768
	// maxDeviation bounds the ratio of an observation to the prediction. A single
	// outlier changes the model little, yet an endpoint ten times slower than predicted
	// is recognized after a few runs.
	maxDeviation = 4
	// wrongFactor is the factor beyond which a prediction counts as wrong. After
	// wrongStreak such predictions in a row in the same direction, past observations
	// keep only the share streakRetention of their weight.
	wrongFactor     = 2
	wrongStreak     = 3
	streakRetention = 0.1
	// minPrefillTokens is the minimum number of uncached tokens whose prefill time is
	// used. With fewer tokens the time is mostly the fixed cost of an engine step and
	// says little about the cost of a token.
	minPrefillTokens = 256
	// decodeGain is the weight of a new decode observation.
	decodeGain = 0.2
	// floorDrift is the factor by which the minimum decode time rises with each
	// observation that does not reach it.
	floorDrift = 1.001
	// minPrefillTime is the time up to which a prefill is ignored, as it is below clock
	// noise.
	minPrefillTime = 10 * time.Microsecond
)

// priorPrompts are the prompt lengths, in tokens, at which the prior counts as
// observed. They preserve the shape of the cost when runs cover only a few lengths.
var priorPrompts = [...]uint64{1_000, 100_000}

// Model is the learned cost of one endpoint.
type Model struct {
	cost         routing.Cost
	prior        routing.Cost
	bands        [2]fit  // short and long prompts
	logScale     float64 // logarithm of observed over prior
	streak       int     // wrong predictions in a row; negative if runs were faster
	decodeFloor  float64 // minimum decode time per token, nanoseconds
	samples      int
	lastObserved time.Time
}

// New returns a model that starts from the prior. Unknown parts of the prior are taken
// from routing.DefaultCost.
func New(prior routing.Cost) *Model {
	prior = prior.OrDefault()
	return &Model{cost: prior, prior: prior}
}

// Cost returns the current estimate.
func (m *Model) Cost() routing.Cost { return m.cost }

// DecodeFloor returns the decode time per token of an otherwise idle endpoint: the
// recent minimum, or the time that is not explained by a prefill chunk in every step,
// whichever is greater.
func (m *Model) DecodeFloor() time.Duration {
	if m.decodeFloor == 0 {
		return m.cost.DecodePerToken // the prior
	}
	chunk := m.cost.Prefill(routing.ChunkTokens, 0)
	return max(time.Duration(m.decodeFloor), m.cost.DecodePerToken-chunk)
}

// Samples returns the number of observations.
func (m *Model) Samples() int { return m.samples }

// Last returns the time of the last observation, zero before the first.
func (m *Model) Last() time.Time { return m.lastObserved }

// Observe updates the model with one run: its prompt tokens, of which cached were
// already held, its output tokens, and its prefill and decode times. A time of zero or
// less is ignored.
func (m *Model) Observe(prompt, cached, output uint64, prefill, decode time.Duration, now time.Time) {
	if prefill > minPrefillTime && prompt >= cached+minPrefillTokens {
		m.observePrefill(prompt, cached, prefill)
	}
	if decode > 0 && output > 0 {
		m.observeDecode(output, decode)
	}
	m.samples++
	m.lastObserved = now
}

func (m *Model) observePrefill(prompt, cached uint64, took time.Duration) {
	predicted := float64(m.cost.Prefill(prompt, cached))
	observed := clip(float64(took), predicted)
	expected := float64(m.prior.Prefill(prompt, cached))
	gain := scaleGain
	band := &m.bands[0]
	if prompt-cached >= longPromptTokens {
		band = &m.bands[1]
	}
	band.decay(retention)
	if m.updateStreak(float64(took), predicted) {
		gain = streakGain
		m.bands[0].decay(streakRetention)
		m.bands[1].decay(streakRetention)
	}
	// Weights depend only on the lengths, relative to the prior, so that short prompts
	// count as much as long ones and fast runs as much as slow ones.
	band.add(prompt, cached, observed, 1/(expected*expected))
	m.logScale += gain * (math.Log(observed/expected) - m.logScale)
	m.solve()
}

// solve fits the cost to the observations and, with a low weight, to the prior's shape.
func (m *Model) solve() {
	sum := m.bands[0].plus(m.bands[1])
	for _, n := range priorPrompts {
		expected := float64(m.prior.Prefill(n, 0))
		sum.add(n, 0, expected*math.Exp(m.logScale), priorWeight/(expected*expected))
	}
	m.cost.PrefillPerToken, m.cost.PrefillPerTokenSquared = sum.solve()
}

// updateStreak updates the streak and reports whether at least wrongStreak predictions
// in a row have been wrong in the same direction.
func (m *Model) updateStreak(took, predicted float64) bool {
	switch {
	case took > predicted*wrongFactor:
		m.streak = max(m.streak, 0) + 1
	case took < predicted/wrongFactor:
		m.streak = min(m.streak, 0) - 1
	default:
		m.streak = 0
	}
	return max(m.streak, -m.streak) >= wrongStreak
}

func (m *Model) observeDecode(output uint64, took time.Duration) {
	old := float64(m.cost.DecodePerToken)
	observed := clip(float64(took)/float64(output), old)
	m.cost.DecodePerToken = time.Duration(math.Exp((1-decodeGain)*math.Log(old) + decodeGain*math.Log(observed)))
	m.cost.DecodePerToken = max(1, m.cost.DecodePerToken)
	if m.decodeFloor == 0 {
		m.decodeFloor = observed
	}
	m.decodeFloor = min(m.decodeFloor*floorDrift, observed)
}

// clip limits an observation to a factor of maxDeviation from the prediction.
func clip(observed, predicted float64) float64 {
	if predicted <= 0 {
		return observed
	}
	return min(max(observed, predicted/maxDeviation), predicted*maxDeviation)
}
