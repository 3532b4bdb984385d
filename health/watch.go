package health

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Watchers assigns endpoints to the gateways that watch them, by consistent hashing. Each
// endpoint has a first gateway, which queries its status for any QueryReason, and a second, which
// does so only if a gateway failed to use the endpoint. Gateways that know the same members
// compute the same assignment, and adding or removing a member reassigns few endpoints.
type Watchers struct{ ring []watcher }

type watcher struct {
	hash uint64 // position on the ring
	name string
}

// NewWatchers returns the assignment among the given gateways.
func NewWatchers(gateways []string) Watchers {
	w := Watchers{ring: make([]watcher, 0, len(gateways))}
	for _, name := range gateways {
		w.ring = append(w.ring, watcher{xxhash.Sum64String(name), name})
	}
	slices.SortFunc(w.ring, func(a, b watcher) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name)) })
	return w
}

// Lookup returns the gateways that watch an endpoint: the first and the second. Both are empty if
// there are no gateways.
func (w Watchers) Lookup(endpoint string) (first, second string) {
	if len(w.ring) == 0 {
		return "", ""
	}
	i, _ := slices.BinarySearchFunc(w.ring, xxhash.Sum64String(endpoint), func(e watcher, at uint64) int { return cmp.Compare(e.hash, at) })
	n := len(w.ring)
	return w.ring[i%n].name, w.ring[(i+1)%n].name
}
