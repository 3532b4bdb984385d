package admission

import (
	"time"

	"github.com/micarudder/micarudder/routing"
)

// Config holds a queue's settings; the zero value of a field selects its default.
type Config struct {
	// MaxQueued is the maximum number of waiting items.
	MaxQueued int
	// Prior is the cost assumed before any run has been observed.
	Prior routing.Cost
	// ClassWeight is the share of each class within one workspace.
	ClassWeight [routing.NumClasses]float64
	// PrefillWindow is the predicted prefill time that may be in progress at the endpoint for
	// one class. With more, the endpoint instead of the queue would decide the order.
	PrefillWindow time.Duration
	// Headroom is the fraction of its remaining time that an item may be predicted to take and
	// still be admitted.
	Headroom float64
	// MaxRetryAfter is the upper bound of Verdict.RetryAfter.
	MaxRetryAfter time.Duration
	// ProbeInterval is how often an idle endpoint accepts an item that it is predicted to be
	// too slow for, so that a wrong prediction can be corrected.
	ProbeInterval time.Duration
}

// Defaults of Config.
const (
	DefaultMaxQueued     = 512
	DefaultPrefillWindow = 20 * time.Millisecond
	DefaultHeadroom      = 0.9
	DefaultMaxRetryAfter = time.Minute
	DefaultProbeInterval = time.Second
)

// DefaultClassWeight gives each class twice the share of the next longer class.
var DefaultClassWeight = [routing.NumClasses]float64{8, 4, 2, 1}

// minRetryAfter is the lower bound of Verdict.RetryAfter.
const minRetryAfter = 50 * time.Millisecond

func (c Config) withDefaults() Config {
	if c.MaxQueued == 0 {
		c.MaxQueued = DefaultMaxQueued
	}
	if c.ClassWeight == [routing.NumClasses]float64{} {
		c.ClassWeight = DefaultClassWeight
	}
	if c.PrefillWindow == 0 {
		c.PrefillWindow = DefaultPrefillWindow
	}
	if c.Headroom == 0 {
		c.Headroom = DefaultHeadroom
	}
	if c.MaxRetryAfter == 0 {
		c.MaxRetryAfter = DefaultMaxRetryAfter
	}
	if c.ProbeInterval == 0 {
		c.ProbeInterval = DefaultProbeInterval
	}
	return c
}
