package routing

import "github.com/micarudder/micarudder/prefix"

const blockTokens = prefix.BlockTokens

// Names of the filters, as they stand in Score.Filtered, and in
// Decision.Reason when nothing is left.
const (
	FilterNone      = "no endpoints"
	FilterServes    = "does not serve"
	FilterConnected = "not connected"
	FilterLeaving   = "leaving"
	FilterBreaker   = "breaker open"
	FilterExcluded  = "excluded"
	FilterMemory    = "memory too small"
	FilterLane      = "outside the long lane"
)

// Reasons of a decision that found an endpoint.
const (
	ReasonBest     = "best"
	ReasonNoLane   = "no endpoint in the long lane"
	ReasonLaneLate = "the long lane is too late"
)

// filter removes candidates that cannot take a request.
type filter struct {
	name    string
	rejects func(j *job) bool
}

// hardFilters returns the filters that are never relaxed, cheapest first.
func hardFilters(cfg Config) []filter {
	return []filter{
		{FilterServes, doesNotServe},
		{FilterConnected, notConnected(cfg.FreshFor)},
		{FilterLeaving, leaving},
		{FilterMemory, memoryTooSmall},
		{FilterBreaker, breakerOpen},
		{FilterExcluded, excluded},
	}
}
