package cost

import (
	"math"
	"time"
)

const (
	// slowGain is the weight of a new run in the slowness.
	slowGain = 0.3
	// maxSlowness bounds the factor both ways.
	maxSlowness = 20
	// slowSpan is the time constant with which it returns to one without runs:
	// nobody would find out otherwise that an endpoint has recovered.
	slowSpan = 30 * time.Second
)

// Slowness is a gateway's own measure of the factor by which an endpoint's
// runs take longer than it predicts. The zero value is one.
type Slowness struct {
	log float64
	at  time.Time
}

// Observe takes in a run's predicted and measured time to the first token.
func (s *Slowness) Observe(predicted, took time.Duration, now time.Time) {
	if predicted < time.Millisecond || took <= 0 {
		return // too short to tell
	}
	s.log = s.now(now)
	seen := math.Log(float64(took) / float64(predicted))
	limit := math.Log(maxSlowness)
	s.log += slowGain * (min(max(seen, -limit), limit) - s.log)
	s.at = now
}

// Factor returns the present factor.
func (s *Slowness) Factor(now time.Time) float64 { return math.Exp(s.now(now)) }

func (s *Slowness) now(now time.Time) float64 {
	if s.at.IsZero() {
		return 0
	}
	return s.log * math.Exp(-float64(max(0, now.Sub(s.at)))/float64(slowSpan))
}
