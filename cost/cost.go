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
	// memory is the share that an observation's weight keeps at each later one.
	memory = 0.95
	// priorWeight is the weight of the prior, in observations.
	priorWeight = 0.5
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
	// decodeGain is the weight of a new observation of decode.
	decodeGain = 0.2
	// minPrefill is the shortest time taken as a prefill, below clock noise.
	minPrefill = 10 * time.Microsecond
)

// priorPrompts are the prompt lengths, in tokens, at which the prior is put in.
var priorPrompts = [...]uint64{1_000, 100_000}

// Model is the learned cost of one endpoint.
type Model struct {
	cost    routing.Cost
	prior   routing.Cost
	fit     fit
	streak  int // predictions off in a row; negative when runs were quicker
	samples int
	last    time.Time
}

// New returns a model that starts from the prior; unknown parts of the prior
// are taken from routing.DefaultCost.
func New(prior routing.Cost) *Model {
	prior = prior.OrDefault()
	m := &Model{cost: prior, prior: prior}
	for _, n := range priorPrompts {
		expected := float64(prior.Prefill(n, 0))
		m.fit.add(n, 0, expected, priorWeight/(expected*expected))
	}
	return m
}

// Cost returns the present estimate.
func (m *Model) Cost() routing.Cost { return m.cost }

// Samples returns the number of observations.
func (m *Model) Samples() int { return m.samples }

// Last returns the time of the last observation, zero before the first.
func (m *Model) Last() time.Time { return m.last }

// Observe learns from one run: prompt tokens of which cached were held
// already, output tokens, and the times of prefill and decode. A time of zero
// or less was not observed.
func (m *Model) Observe(prompt, cached, output uint64, prefill, decode time.Duration, now time.Time) {
	if prefill > minPrefill && prompt > cached {
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
	m.fit.decay(m.keep(float64(took), predicted))
	// Weights depend on the lengths alone, relative to the prior, so that
	// short prompts count as much as long ones and quick runs as slow ones.
	expected := float64(m.prior.Prefill(prompt, cached))
	m.fit.add(prompt, cached, clip(float64(took), predicted), 1/(expected*expected))
	m.cost.PrefillPerToken, m.cost.PrefillPerToken2 = m.fit.solve()
}

// keep returns the share of the past that stays.
func (m *Model) keep(took, predicted float64) float64 {
	switch {
	case took > predicted*offFactor:
		m.streak = max(m.streak, 0) + 1
	case took < predicted/offFactor:
		m.streak = min(m.streak, 0) - 1
	default:
		m.streak = 0
	}
	if max(m.streak, -m.streak) >= offStreak {
		return forgetful
	}
	return memory
}

func (m *Model) observeDecode(output uint64, took time.Duration) {
	old := float64(m.cost.DecodePerToken)
	seen := clip(float64(took)/float64(output), old)
	m.cost.DecodePerToken = time.Duration(math.Exp((1-decodeGain)*math.Log(old) + decodeGain*math.Log(seen)))
	m.cost.DecodePerToken = max(1, m.cost.DecodePerToken)
}

// clip bounds an observation to within maxStep of what was predicted.
func clip(seen, predicted float64) float64 {
	if predicted <= 0 {
		return seen
	}
	return min(max(seen, predicted/maxStep), predicted*maxStep)
}
