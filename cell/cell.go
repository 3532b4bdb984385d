// Package cell groups data centres into cells. Gateways of a cell tell each other
// every choice at once and take turns; of other cells they know digests. Grouping is
// pure: gateways with the same list of endpoints come to the same cells without a
// message about it.
package cell

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minEndpoints is how many endpoints a cell has at least, if the fleet has them: the
// longest prompts are read on 16 at once, and half as many are left for the others. An
// estimate; other sizes were not tried.
const minEndpoints = 24

// Map says to which cell a data centre belongs. A cell has the name of its first data
// centre. The zero Map has one cell, without a name, that holds everything.
type Map struct {
	starts []string // the first data centre of each cell, in order
}

// Group returns the cells of data centres that have so many endpoints each. Data centres
// are taken in the order of their names, and a cell is full once it has minEndpoints; those
// left over join the last full one.
func Group(endpoints map[string]int) Map {
	var m Map
	size := 0
	for _, name := range slices.Sorted(maps.Keys(endpoints)) {
		if endpoints[name] == 0 {
			continue
		}
		if size == 0 {
			m.starts = append(m.starts, name)
		}
		size += endpoints[name]
		if size >= minEndpoints {
			size = 0
		}
	}
	if size > 0 && len(m.starts) > 1 {
		m.starts = m.starts[:len(m.starts)-1]
	}
	return m
}

// Of returns the cell of a data centre, also of one without endpoints.
func (m Map) Of(dataCentre string) string {
	if len(m.starts) == 0 {
		return ""
	}
	n, found := slices.BinarySearch(m.starts, dataCentre)
	if found {
		return m.starts[n]
	}
	return m.starts[max(0, n-1)]
}

// Cells returns the names of all cells in order.
func (m Map) Cells() []string { return m.starts }

// sharedPart is which part of a cell's endpoints other cells may use, as a divisor. The
// other part is left to the cell, whose gateways take it first.
const sharedPart = 2

// Shared reports whether other cells may use an endpoint.
func (m Map) Shared(endpoint string) bool {
	return len(m.starts) > 1 && xxhash.Sum64String(endpoint)%sharedPart == 0
}

// SharedWith returns the cell that may use an endpoint of another cell: each one is shared
// with one cell at most, so that cells which know little of each other do not meet on one.
// Those that are short are served before others. ok is false where it is shared with none.
func (m Map) SharedWith(endpoint, home string, short map[string]bool) (other string, ok bool) {
	if !m.Shared(endpoint) {
		return "", false
	}
	var others, first []string
	for _, c := range m.starts {
		if c == home {
			continue
		}
		others = append(others, c)
		if short[c] {
			first = append(first, c)
		}
	}
	if len(first) > 0 {
		others = first
	}
	return others[xxhash.Sum64String(endpoint)/sharedPart%uint64(len(others))], true
}
