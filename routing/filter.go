package routing

import (
	"time"

	"github.com/micarudder/micarudder/prefix"
)

const blockTokens = prefix.BlockTokens

// Names of the filters, as they stand in Score.Filtered, and in
// Decision.Reason when nothing is left.
const (
	FilterNone      = "no endpoints"
	FilterServes    = "does not serve"
	FilterConnected = "not connected"
	FilterLeaving   = "leaving"
	FilterMemory    = "memory too small"
	FilterResting   = "resting"
	FilterBreaker   = "breaker open"
	FilterExcluded  = "excluded"
	FilterLane      = "outside the long lane"
)

// Reasons of a decision that found an endpoint.
const (
	ReasonBest     = "best"
	ReasonNoLane   = "no endpoint in the long lane"
	ReasonLaneLate = "the long lane is too late"
)

// filterID numbers the filters that are never relaxed, in the order in which
// they are applied; passed means that none rejects. The names of the furthest
// one explain a decision that found nothing.
type filterID int

const (
	passed filterID = iota
	byServes
	byConnected
	byLeaving
	byMemory
	byResting
	byBreaker
	byExcluded
)

// String returns the filter's name.
func (f filterID) String() string {
	return [...]string{FilterNone, FilterServes, FilterConnected, FilterLeaving, FilterMemory, FilterResting, FilterBreaker, FilterExcluded}[f]
}

// rejectedBy returns the first filter that rejects the job's candidate.
func rejectedBy(j *job, freshFor time.Duration) filterID {
	switch {
	case doesNotServe(j):
		return byServes
	case notConnected(j, freshFor):
		return byConnected
	case leaving(j):
		return byLeaving
	case memoryTooSmall(j):
		return byMemory
	case j.cand.Resting:
		return byResting
	case breakerOpen(j):
		return byBreaker
	case excluded(j):
		return byExcluded
	}
	return passed
}
