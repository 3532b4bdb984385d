// Package cost learns what work costs at one endpoint from what runs took:
// prefill linear and quadratic in the prompt's tokens, decode per token. It is
// pure and not safe for concurrent use.
package cost

import (
	"math"
	"time"

	"github.com/micarudder/micarudder/routing"
)

const (
	// memory is the share that an observation's weight keeps at each later one
	// of its band.
	memory = 0.95
	// priorWeight is the weight of the prior's shape, in observations.
	priorWeight = 1
	// scaleGain is the weight of a new observation of the scale against the
	// prior, and quickGain its weight after a streak.
	scaleGain = 0.1
	quickGain = 0.5
	// longPrompt is the length in tokens from which observations are kept apart:
	// they are rare, and must not be forgotten over short ones.
	longPrompt = 32_768
	// maxStep bounds how far one observation may lie from the prediction: one
	// outlier moves the model little, an endpoint ten times slower than
	// predicted is known after a few runs.
	maxStep = 4
	// offFactor is the factor beyond which a prediction counts as off, and
	// offStreak the number of times in a row after which the past is mostly
	// forgotten, down to the share forgetful.
	offFactor = 2
	offStreak = 3
	forgetful = 0.1
	// leastTokens is the least number of uncached tokens whose prefill says
	// something about the cost of a token: that of fewer is mostly the fixed cost
	// of an engine's step.
	leastTokens = 256
	// decodeGain is the weight of a new observation of decode.
	decodeGain = 0.2
	// floorDrift is the factor by which the least decode time rises with each
	// observation that does not reach it.
	floorDrift = 1.001
	// minPrefill is the shortest time taken as a prefill, below clock noise.
	minPrefill = 10 * time.Microsecond
)

// priorPrompts are the prompt lengths, in tokens, at which the prior counts as
// observed. They hold the shape where runs have been seen at few lengths only.
var priorPrompts = [...]uint64{1_000, 100_000}

// Model is the learned cost of one endpoint.
type Model struct {
	cost    routing.Cost
	prior   routing.Cost
	bands   [2]fit  // short and long prompts
	scale   float64 // logarithm of observed over prior
	streak  int     // predictions off in a row; negative when runs were quicker
	floor   float64 // least decode time per token seen, nanoseconds
	samples int
	last    time.Time
}

// New returns a model that starts from the prior; unknown parts of the prior
// are taken from routing.DefaultCost.
func New(prior routing.Cost) *Model {
	prior = prior.OrDefault()
	return &Model{cost: prior, prior: prior}
}

// Cost returns the present estimate.
func (m *Model) Cost() routing.Cost { return m.cost }

// DecodeFloor returns the decode time per token that the endpoint would have
// with nothing else to do: the least lately seen, or what a chunk of prefill in
// every step cannot explain.
func (m *Model) DecodeFloor() time.Duration {
	if m.floor == 0 {
		return m.cost.DecodePerToken // as assumed
	}
	chunk := m.cost.Prefill(routing.ChunkTokens, 0)
	return max(time.Duration(m.floor), m.cost.DecodePerToken-chunk)
}

// Samples returns the number of observations.
func (m *Model) Samples() int { return m.samples }

// Last returns the time of the last observation, zero before the first.
func (m *Model) Last() time.Time { return m.last }

// Observe learns from one run: prompt tokens of which cached were held
// already, output tokens, and the times of prefill and decode. A time of zero
// or less was not observed.
func (m *Model) Observe(prompt, cached, output uint64, prefill, decode time.Duration, now time.Time) {
	if prefill > minPrefill && prompt >= cached+leastTokens {
		m.observePrefill(prompt, cached, prefill)
	}
	if decode > 0 && output > 0 {
		m.observeDecode(output, decode)
	}
	m.samples++
	m.last = now
}

func (m *Model) observePrefill(prompt, cached uint64, took time.Duration) {
	predicted := float64(m.cost.Prefill(prompt, cached))
	seen := clip(float64(took), predicted)
	expected := float64(m.prior.Prefill(prompt, cached))
	gain := scaleGain
	band := &m.bands[0]
	if prompt-cached >= longPrompt {
		band = &m.bands[1]
	}
	band.decay(memory)
	if m.streaks(float64(took), predicted) {
		gain = quickGain
		m.bands[0].decay(forgetful)
		m.bands[1].decay(forgetful)
	}
	// Weights depend on the lengths alone, relative to the prior, so that
	// short prompts count as much as long ones and quick runs as slow ones.
	band.add(prompt, cached, seen, 1/(expected*expected))
	m.scale += gain * (math.Log(seen/expected) - m.scale)
	m.solve()
}

// solve fits the cost to what was observed and, lightly, to the prior's shape.
func (m *Model) solve() {
	sum := m.bands[0].plus(m.bands[1])
	for _, n := range priorPrompts {
		expected := float64(m.prior.Prefill(n, 0))
		sum.add(n, 0, expected*math.Exp(m.scale), priorWeight/(expected*expected))
	}
	m.cost.PrefillPerToken, m.cost.PrefillPerToken2 = sum.solve()
}

// streaks reports whether predictions have been off the same way several times
// in a row.
func (m *Model) streaks(took, predicted float64) bool {
	switch {
	case took > predicted*offFactor:
		m.streak = max(m.streak, 0) + 1
	case took < predicted/offFactor:
		m.streak = min(m.streak, 0) - 1
	default:
		m.streak = 0
	}
	return max(m.streak, -m.streak) >= offStreak
}

func (m *Model) observeDecode(output uint64, took time.Duration) {
	old := float64(m.cost.DecodePerToken)
	seen := clip(float64(took)/float64(output), old)
	m.cost.DecodePerToken = time.Duration(math.Exp((1-decodeGain)*math.Log(old) + decodeGain*math.Log(seen)))
	m.cost.DecodePerToken = max(1, m.cost.DecodePerToken)
	if m.floor == 0 {
		m.floor = seen
	}
	m.floor = min(m.floor*floorDrift, seen)
}

// clip bounds an observation to within maxStep of what was predicted.
func clip(seen, predicted float64) float64 {
	if predicted <= 0 {
		return seen
	}
	return min(max(seen, predicted/maxStep), predicted*maxStep)
}
