package admission

import (
	"time"

	"github.com/micarudder/micarudder/routing"
)

// Config holds a queue's settings; the zero value of a field selects its default.
type Config struct {
	// MaxQueued bounds the waiting items.
	MaxQueued int
	// Prior is the cost assumed before runs have been seen.
	Prior routing.Cost
	// ClassWeight is the share of each class within one workspace.
	ClassWeight [routing.NumClasses]float64
	// Window is the predicted prefill that may be at the endpoint at once for
	// one class: more would be ordered by the endpoint instead of the queue.
	Window time.Duration
	// Headroom is the share of its remaining time that an item may be
	// predicted to take when it is admitted.
	Headroom float64
	// MaxRetryAfter bounds the time to come back.
	MaxRetryAfter time.Duration
	// ProbeEvery is how often an idle endpoint takes work that it is predicted
	// to be too slow for, so that a wrong prediction can mend.
	ProbeEvery time.Duration
}

// Defaults of Config.
const (
	DefaultMaxQueued     = 512
	DefaultWindow        = 20 * time.Millisecond
	DefaultHeadroom      = 0.9
	DefaultMaxRetryAfter = time.Minute
	DefaultProbeEvery    = time.Second
)

// DefaultClassWeight gives each length class twice the share of the next longer.
var DefaultClassWeight = [routing.NumClasses]float64{8, 4, 2, 1}

// minRetryAfter is the shortest time to come back.
const minRetryAfter = 50 * time.Millisecond

func (c Config) withDefaults() Config {
	if c.MaxQueued == 0 {
		c.MaxQueued = DefaultMaxQueued
	}
	if c.ClassWeight == [routing.NumClasses]float64{} {
		c.ClassWeight = DefaultClassWeight
	}
	if c.Window == 0 {
		c.Window = DefaultWindow
	}
	if c.Headroom == 0 {
		c.Headroom = DefaultHeadroom
	}
	if c.MaxRetryAfter == 0 {
		c.MaxRetryAfter = DefaultMaxRetryAfter
	}
	if c.ProbeEvery == 0 {
		c.ProbeEvery = DefaultProbeEvery
	}
	return c
}
