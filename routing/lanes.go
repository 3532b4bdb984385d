package routing

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// laneClass is the shortest class that counts as long work, which is routed to
// the long lane.
const laneClass = ClassMedium

// laneMaxShare bounds the fraction of a model's endpoints in a data centre that
// the lane may take.
const laneMaxShare = 0.67

// Lanes returns the endpoints of the long lane, those that take long work. For
// each model in each data centre it selects a fraction of the model's endpoints
// that follows longShare, the fraction (0 to 1) of all work, in predicted time,
// that is long. The lane has at least one endpoint, and where there are two or
// more endpoints it leaves out at least one. Endpoints are ranked by a hash of
// their name, so that all gateways with the same view compute the same lane,
// and adding or removing one endpoint changes at most one other member.
func Lanes(view []Candidate, longShare float64) map[string]bool {
	type groupKey struct{ dataCentre, model string }
	groups := make(map[groupKey][]string)
	for i := range view {
		c := &view[i]
		if c.Draining || !c.Connected && c.Silence <= 0 {
			continue
		}
		for model, serves := range c.Models {
			if serves {
				key := groupKey{c.DataCentre, model}
				groups[key] = append(groups[key], c.Endpoint)
			}
		}
	}
	lane := make(map[string]bool)
	for _, endpoints := range groups {
		slices.SortFunc(endpoints, byHash)
		for _, e := range endpoints[:laneSize(len(endpoints), longShare)] {
			lane[e] = true
		}
	}
	return lane
}

// laneSize returns how many of n endpoints belong to the lane.
func laneSize(n int, longShare float64) int {
	if math.IsNaN(longShare) {
		longShare = 0
	}
	want := int(math.Ceil(float64(n) * min(1, max(0, longShare))))
	limit := max(1, int(float64(n)*laneMaxShare))
	return min(max(1, want), limit)
}

// byHash compares endpoint names by their hash.
func byHash(a, b string) int {
	if c := cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}
