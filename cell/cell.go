// Package cell groups data centres into cells. The gateways of a cell send each other every
// choice of an endpoint at once and take turns with long prompts (see balance.PromptQueue);
// from other cells they receive digests. Grouping depends on nothing but the list of
// endpoints, so gateways with the same list form the same cells without exchanging messages
// about it.
package cell

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minEndpoints is the minimum number of endpoints in a cell, if the fleet has as many:
// the longest prompts are prefilled on 16 endpoints at once, which leaves half as many for
// other requests.
const minEndpoints = 24

// Map assigns data centres to cells. A cell is named after its first data centre, in
// the order of names. The zero Map has a single cell with an empty name, which holds
// all data centres.
type Map struct {
	firstDataCentres []string // the first data centre of each cell, in order
}

// Group divides data centres into cells, given the number of endpoints in each. It takes
// the data centres in the order of their names and closes a cell once it has minEndpoints;
// the data centres left over join the last full cell, if there is one.
func Group(endpoints map[string]int) Map {
	var m Map
	size := 0
	for _, name := range slices.Sorted(maps.Keys(endpoints)) {
		if endpoints[name] == 0 {
			continue
		}
		if size == 0 {
			m.firstDataCentres = append(m.firstDataCentres, name)
		}
		size += endpoints[name]
		if size >= minEndpoints {
			size = 0
		}
	}
	if size > 0 && len(m.firstDataCentres) > 1 {
		m.firstDataCentres = m.firstDataCentres[:len(m.firstDataCentres)-1]
	}
	return m
}

// Of returns the cell of a data centre. A data centre without endpoints belongs to the
// cell that precedes it in the order of names, or to the first one.
func (m Map) Of(dataCentre string) string {
	if len(m.firstDataCentres) == 0 {
		return ""
	}
	n, found := slices.BinarySearch(m.firstDataCentres, dataCentre)
	if found {
		return m.firstDataCentres[n]
	}
	return m.firstDataCentres[max(0, n-1)]
}

// Cells returns the sorted names of all cells.
func (m Map) Cells() []string { return m.firstDataCentres }

// sharedDivisor determines the part of a cell's endpoints that other cells may use: one in
// sharedDivisor. The rest is reserved for the cell itself, whose gateways use it first.
const sharedDivisor = 2

// Shared reports whether another cell may use an endpoint.
func (m Map) Shared(endpoint string) bool {
	return len(m.firstDataCentres) > 1 && xxhash.Sum64String(endpoint)%sharedDivisor == 0
}

// SharedWith returns the other cell that may use an endpoint of localCell. An endpoint is
// shared with at most one cell, because cells that exchange only digests would otherwise
// choose the same endpoint at the same time. Cells in noSpare, which have no endpoints to
// spare, take precedence over the others. ok is false if the endpoint is not shared.
func (m Map) SharedWith(endpoint, localCell string, noSpare map[string]bool) (other string, ok bool) {
	if !m.Shared(endpoint) {
		return "", false
	}
	var others, preferred []string
	for _, c := range m.firstDataCentres {
		if c == localCell {
			continue
		}
		others = append(others, c)
		if noSpare[c] {
			preferred = append(preferred, c)
		}
	}
	if len(preferred) > 0 {
		others = preferred
	}
	return others[xxhash.Sum64String(endpoint)/sharedDivisor%uint64(len(others))], true
}
