package cost

import (
	"math"
	"time"
)

const (
	// slowdownGain is the weight of a new run in the slowdown.
	slowdownGain = 0.3
	// maxSlowdown bounds the factor in both directions.
	maxSlowdown = 20
	// slowdownDecay is the time constant with which the factor returns to 1 while there
	// are no runs. Otherwise the recovery of an endpoint would go unnoticed.
	slowdownDecay = 30 * time.Second
)

// Slowdown is a gateway's own estimate of the factor by which the runs of an endpoint
// take longer than the endpoint predicts. The zero value is a factor of 1.
type Slowdown struct {
	logFactor float64
	updatedAt time.Time
}

// Observe records a run's predicted and measured time to the first token.
func (s *Slowdown) Observe(predicted, took time.Duration, now time.Time) {
	if predicted < time.Millisecond || took <= 0 {
		return // too short to be meaningful
	}
	s.logFactor = s.decayed(now)
	observed := math.Log(float64(took) / float64(predicted))
	limit := math.Log(maxSlowdown)
	s.logFactor += slowdownGain * (min(max(observed, -limit), limit) - s.logFactor)
	s.updatedAt = now
}

// Factor returns the current factor.
func (s *Slowdown) Factor(now time.Time) float64 { return math.Exp(s.decayed(now)) }

func (s *Slowdown) decayed(now time.Time) float64 {
	if s.updatedAt.IsZero() {
		return 0
	}
	return s.logFactor * math.Exp(-float64(max(0, now.Sub(s.updatedAt)))/float64(slowdownDecay))
}
