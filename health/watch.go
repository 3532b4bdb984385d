package health

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Watchers says which gateways watch which endpoints: each endpoint has one that asks it
// regularly and one that looks as well when somebody failed there. All gateways that know
// the same others come to the same watchers, and one more or less of them moves few.
type Watchers struct{ ring []watcher }

type watcher struct {
	at   uint64 // on the ring
	name string
}

// NewWatchers returns the watchers among these gateways.
func NewWatchers(gateways []string) Watchers {
	w := Watchers{ring: make([]watcher, 0, len(gateways))}
	for _, name := range gateways {
		w.ring = append(w.ring, watcher{xxhash.Sum64String(name), name})
	}
	slices.SortFunc(w.ring, func(a, b watcher) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.name, b.name)) })
	return w
}

// Of returns the gateway that watches an endpoint, and the one that looks as well in doubt;
// both are empty where there are none.
func (w Watchers) Of(endpoint string) (first, second string) {
	if len(w.ring) == 0 {
		return "", ""
	}
	i, _ := slices.BinarySearchFunc(w.ring, xxhash.Sum64String(endpoint), func(e watcher, at uint64) int { return cmp.Compare(e.at, at) })
	n := len(w.ring)
	return w.ring[i%n].name, w.ring[(i+1)%n].name
}
