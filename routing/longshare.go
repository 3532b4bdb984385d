package routing

import (
	"math"
	"time"
)

const (
	// longShareSpan is the time constant of the share of long work. Long
	// requests are rare; a shorter one would count them by luck.
	longShareSpan = time.Minute
	// longShareStep is how far the share moves before lanes follow: a lane that
	// changed with every request would serve nobody.
	longShareStep = 0.1
	// firstLongShare is assumed until work has been seen.
	firstLongShare = 0.3
	// longShareWork is the work that has to be seen before the share is
	// believed as much as the first one.
	longShareWork = 10 * time.Second
)

// LongShare measures which share of the predicted work is long, for Lanes. The
// zero value is ready. It is not safe for concurrent use.
type LongShare struct {
	long, all float64 // decaying, nanoseconds
	at        time.Time
	held      float64
}

// Add counts one request's predicted work.
func (s *LongShare) Add(class Class, work time.Duration, now time.Time) {
	s.decay(now)
	s.all += float64(work)
	if class >= laneClass {
		s.long += float64(work)
	}
}

// Value returns the share, from 0 to 1. It keeps its last value until the
// measured one has moved away by a step.
func (s *LongShare) Value(now time.Time) float64 {
	s.decay(now)
	prior := float64(longShareWork)
	share := (s.long + firstLongShare*prior) / (s.all + prior)
	if s.held == 0 || math.Abs(share-s.held) >= longShareStep {
		s.held = share
	}
	return s.held
}

func (s *LongShare) decay(now time.Time) {
	keep := math.Exp(-float64(max(0, now.Sub(s.at))) / float64(longShareSpan))
	s.long *= keep
	s.all *= keep
	s.at = now
}
