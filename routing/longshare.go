package routing

import (
	"math"
	"time"
)

const (
	// longShareTimeConstant is the time constant of the exponential decay. Long
	// requests are rare; with a shorter time constant the share would depend on
	// whether one happened to arrive recently.
	longShareTimeConstant = time.Minute
	// longShareHysteresis is the change of the share that is needed before the
	// reported value follows. A lane that changed with every request would be of
	// no use.
	longShareHysteresis = 0.1
	// initialLongShare is the share assumed before any work has been observed.
	initialLongShare = 0.3
	// longSharePriorWork is the weight of initialLongShare: after this much
	// observed work, the observed and the initial share count equally.
	longSharePriorWork = 10 * time.Second
)

// LongShare measures the fraction of the predicted work that is long, the input
// of Lanes. The zero value is ready to use. It is not safe for concurrent use.
type LongShare struct {
	long, all float64 // exponentially decaying, in nanoseconds
	updated   time.Time
	reported  float64
}

// Add records the predicted work of one request.
func (s *LongShare) Add(class Class, work time.Duration, now time.Time) {
	s.decay(now)
	s.all += float64(work)
	if class >= laneClass {
		s.long += float64(work)
	}
}

// Value returns the share, from 0 to 1. The result changes only when the
// measured share differs from it by at least longShareHysteresis.
func (s *LongShare) Value(now time.Time) float64 {
	s.decay(now)
	prior := float64(longSharePriorWork)
	share := (s.long + initialLongShare*prior) / (s.all + prior)
	if s.reported == 0 || math.Abs(share-s.reported) >= longShareHysteresis {
		s.reported = share
	}
	return s.reported
}

// decay applies the exponential decay up to now.
func (s *LongShare) decay(now time.Time) {
	factor := math.Exp(-float64(max(0, now.Sub(s.updated))) / float64(longShareTimeConstant))
	s.long *= factor
	s.all *= factor
	s.updated = now
}
