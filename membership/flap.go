package membership

import (
	"math"
	"time"
)

// FlapConfig configures flap damping of endpoints that are lost repeatedly.
// Each unannounced loss adds 1 to the endpoint's penalty, which halves every
// HalfLife. An endpoint whose penalty exceeds Suppress is damped until the
// penalty is below Reuse.
type FlapConfig struct {
	Suppress float64
	Reuse    float64
	Max      float64 // upper limit of the penalty, which also limits the damping time
	HalfLife time.Duration
}

// flap is the damping state of one endpoint.
type flap struct {
	penalty float64
	updated time.Time // when penalty was last brought up to date
	damped  bool
}

// addPenalty counts one loss.
func (f *flap) addPenalty(cfg FlapConfig, now time.Time) {
	f.decay(cfg, now)
	f.penalty = min(f.penalty+1, cfg.Max)
	if f.penalty > cfg.Suppress {
		f.damped = true
	}
}

// decay reduces the penalty for the time since the last update and reports
// whether the endpoint is damped.
func (f *flap) decay(cfg FlapConfig, now time.Time) bool {
	if f.penalty > 0 {
		f.penalty *= math.Exp2(-float64(now.Sub(f.updated)) / float64(cfg.HalfLife))
	}
	f.updated = now
	if f.penalty < cfg.Reuse {
		f.damped = false
	}
	return f.damped
}
