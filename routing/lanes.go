package routing

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// laneClass is the shortest class that counts as long work: that which belongs
// into the lane.
const laneClass = ClassMedium

// laneMaxShare bounds the lane's share of a model's endpoints in a data centre.
const laneMaxShare = 0.67

// Lanes returns the endpoints that take long work: for each model in each data
// centre a part of its endpoints that follows longShare, the share of all work
// (in predicted time, 0 to 1) that is long. At least one endpoint is in the
// lane and, where there are two, at least one is not. Endpoints are ranked by
// rendezvous hashing, so that every gateway with the same view comes to the
// same lane and one endpoint more or less moves at most one place.
func Lanes(view []Candidate, longShare float64) map[string]bool {
	type place struct{ dataCentre, model string }
	groups := make(map[place][]string)
	for i := range view {
		c := &view[i]
		if c.Leaving || !c.Connected && c.Silent <= 0 {
			continue
		}
		for model, serves := range c.Models {
			if serves {
				at := place{c.DataCentre, model}
				groups[at] = append(groups[at], c.Endpoint)
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

// laneSize returns how many of n endpoints take long work.
func laneSize(n int, longShare float64) int {
	if math.IsNaN(longShare) {
		longShare = 0
	}
	want := int(math.Ceil(float64(n) * min(1, max(0, longShare))))
	most := max(1, int(float64(n)*laneMaxShare))
	return min(max(1, want), most)
}

func byHash(a, b string) int {
	if c := cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}
