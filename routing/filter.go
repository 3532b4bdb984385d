package routing

import (
	"time"

	"github.com/micarudder/micarudder/prefix"
)

const blockTokens = prefix.BlockTokens

// Names of the filters. They appear in Score.Filtered, and in Decision.Reason
// when no candidate is eligible.
const (
	FilterNone      = "no endpoints"
	FilterServes    = "does not serve"
	FilterConnected = "not connected"
	FilterDraining  = "leaving"
	FilterMemory    = "memory too small"
	FilterBackoff   = "resting"
	FilterBreaker   = "breaker open"
	FilterExcluded  = "excluded"
	FilterLane      = "outside the long lane"
)

// Reasons of a decision that selected an endpoint.
const (
	ReasonBest     = "best"
	ReasonNoLane   = "no endpoint in the long lane"
	ReasonLaneLate = "the long lane is too late"
)

// filterID identifies a filter that is never relaxed. The values follow the
// order in which the filters are applied; passed means that none rejects the
// candidate. The name of the last filter that rejected any candidate explains a
// decision that found no endpoint.
type filterID int

const (
	passed filterID = iota
	byServes
	byConnected
	byDraining
	byMemory
	byBackoff
	byBreaker
	byExcluded
)

// String returns the name of the filter.
func (f filterID) String() string {
	return [...]string{FilterNone, FilterServes, FilterConnected, FilterDraining, FilterMemory, FilterBackoff, FilterBreaker, FilterExcluded}[f]
}

// rejectedBy returns the first filter that rejects the evaluation's candidate.
func rejectedBy(e *evaluation, maxSilence time.Duration) filterID {
	switch {
	case doesNotServe(e):
		return byServes
	case notConnected(e, maxSilence):
		return byConnected
	case draining(e):
		return byDraining
	case memoryTooSmall(e):
		return byMemory
	case e.cand.BackingOff:
		return byBackoff
	case breakerOpen(e):
		return byBreaker
	case excluded(e):
		return byExcluded
	}
	return passed
}
