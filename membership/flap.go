package membership

import (
	"math"
	"time"
)

// FlapConfig bounds the damping of an endpoint that is lost again and again.
// Each unannounced loss adds 1 to its penalty, which halves every HalfLife.
// Above Suppress the endpoint is damped until the penalty is below Reuse.
type FlapConfig struct {
	Suppress float64
	Reuse    float64
	Max      float64 // the penalty's bound, and so the bound of the damping time
	HalfLife time.Duration
}

// flap is the penalty of one endpoint.
type flap struct {
	penalty float64
	at      time.Time // when penalty was right
	damped  bool
}

// charge adds one loss.
func (f *flap) charge(cfg FlapConfig, now time.Time) {
	f.decay(cfg, now)
	f.penalty = min(f.penalty+1, cfg.Max)
	if f.penalty > cfg.Suppress {
		f.damped = true
	}
}

// decay brings the penalty up to now and reports whether it damps.
func (f *flap) decay(cfg FlapConfig, now time.Time) bool {
	if f.penalty > 0 {
		f.penalty *= math.Exp2(-float64(now.Sub(f.at)) / float64(cfg.HalfLife))
	}
	f.at = now
	if f.penalty < cfg.Reuse {
		f.damped = false
	}
	return f.damped
}
