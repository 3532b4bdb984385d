package balance

import (
	"math"
	"time"
)

// Average is a moving average over time of a value that is observed now and
// then. The zero value is ready for use.
type Average struct {
	value float64
	at    time.Time
}

// averageSpan is the time constant of an Average: long enough to see past a
// single long prompt, short enough to follow a turn of the load.
const averageSpan = 1500 * time.Millisecond

// Observe takes in a value that has held since the last observation, and
// returns the average.
func (a *Average) Observe(v float64, now time.Time) float64 {
	if a.at.IsZero() {
		a.value, a.at = v, now
		return v
	}
	keep := math.Exp(-float64(now.Sub(a.at)) / float64(averageSpan))
	a.value = a.value*keep + v*(1-keep)
	a.at = now
	return a.value
}
