// Package endpointlist holds lists of endpoints as gateways pass them on: complete, or as the difference
// from an earlier list.
package endpointlist

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/micarudder/micarudder/catalog"
)

// List is a list as it was read from the store, or its difference from an earlier one. Failed reads
// of a peer are not passed on, since they say nothing about the store itself.
type List struct {
	// Endpoints is the complete list or, if Base is set, the endpoints that are new or have changed.
	Endpoints []catalog.Endpoint
	// Base is the hash of the list that this one differs from; 0 if this one is complete.
	Base    uint64   `json:",omitempty"`
	Removed []string `json:",omitempty"` // endpoints of Base that are gone
}

// Diff returns the list to as its difference from the list from, which has the given hash.
func Diff(hash uint64, from, to []catalog.Endpoint) List {
	out := List{Base: hash}
	before := make(map[string]catalog.Endpoint, len(from))
	for _, e := range from {
		before[e.ID] = e
	}
	for _, e := range to {
		if old, ok := before[e.ID]; !ok || old != e {
			out.Endpoints = append(out.Endpoints, e)
		}
		delete(before, e.ID)
	}
	for id := range before {
		out.Removed = append(out.Removed, id)
	}
	return out
}

// ApplyTo returns the complete list, given the list with the hash l.Base.
func (l List) ApplyTo(base []catalog.Endpoint) []catalog.Endpoint {
	replaced := make(map[string]bool, len(l.Endpoints)+len(l.Removed))
	for _, e := range l.Endpoints {
		replaced[e.ID] = true
	}
	for _, id := range l.Removed {
		replaced[id] = true
	}
	out := make([]catalog.Endpoint, 0, len(base)+len(l.Endpoints))
	for _, e := range base {
		if !replaced[e.ID] {
			out = append(out, e)
		}
	}
	return append(out, l.Endpoints...)
}

// Hash returns a hash of the parts of a list that matter for its endpoints.
func Hash(list []catalog.Endpoint) uint64 {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b catalog.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	h := xxhash.New()
	for _, e := range sorted {
		state := "|ready|"
		if e.Draining {
			state = "|draining|"
		}
		if e.ColdFor > 0 {
			state += "cold|"
		}
		_, _ = h.WriteString(e.ID + "|" + e.Service + "|" + e.Address + state)
		_ = binary.Write(h, binary.BigEndian, [2]int64{int64(e.Slots), e.Born}) // writes to a hash never fail
	}
	return max(1, h.Sum64())
}
