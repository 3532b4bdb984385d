package relay

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/micarudder/micarudder/cell"
	"github.com/micarudder/micarudder/peers"
)

// acrossReceivers is how many gateways of another cell a word across cells is sent to
// beside those that were heard across: the ones that should speak there, and one more in
// case that one of them is gone.
const acrossReceivers = 3

// audience is whom this gateway tells what. The gateways of its own cell are told each
// choice. Of each other cell only those that speak across cells are told anything
// regularly, and only by those that speak here, so that what a gateway sends and reads
// does not grow with the fleet; all gateways of a cell are told by one that has load at its
// endpoints.
type audience struct {
	home string
	// near are the gateways of the own cell, and those whose cell is not known.
	near []netip.AddrPort
	// far are all gateways of the other cells, and across those of them that
	// words across cells are sent to.
	far    map[string][]netip.AddrPort
	across map[string][]netip.AddrPort
	// speaks is set when this gateway speaks to other cells for its own.
	speaks bool
	// gateways counts the own cell, this one included.
	gateways int
}

// heardPeers is what a gateway knows of the others' lives.
type heardPeers struct {
	lately    map[string]bool // by name: heard lately
	withStore map[string]bool // of these: reaches the store
	across    map[string]bool // heard lately from another cell, telling its digest
}

// newAudience works out the audience of a gateway in a data centre. The first two of a cell
// speak, in an order of all gateways that does not follow their names, and the first two
// that reach the store, so that one may die unnoticed.
func newAudience(self, dataCentre string, cells cell.Map, members []peers.Member, heard heardPeers) audience {
	a := audience{home: cells.Of(dataCentre), far: make(map[string][]netip.AddrPort), across: make(map[string][]netip.AddrPort), gateways: 1}
	before, beforeWithStore := 0, 0
	byCell := make(map[string][]peers.Member)
	for _, m := range members {
		if m.DataCentre != "" && cells.Of(m.DataCentre) != a.home {
			c := cells.Of(m.DataCentre)
			byCell[c] = append(byCell[c], m)
			a.far[c] = append(a.far[c], m.Address)
			continue
		}
		a.near = append(a.near, m.Address)
		if !heard.lately[m.Name] {
			continue
		}
		a.gateways++
		if precedes(m.Name, self) {
			before++
			if heard.withStore[m.Name] {
				beforeWithStore++
			}
		}
	}
	a.speaks = before < readers || beforeWithStore < readers
	for c, list := range byCell {
		a.across[c] = acrossOf(list, heard.across)
	}
	return a
}

// acrossOf returns which gateways of another cell are told by those who speak here: the
// first ones, and all that were heard across.
func acrossOf(list []peers.Member, heard map[string]bool) []netip.AddrPort {
	slices.SortFunc(list, func(a, b peers.Member) int { return compareRank(a.Name, b.Name) })
	var out []netip.AddrPort
	for n, m := range list {
		if n < acrossReceivers || heard[m.Name] {
			out = append(out, m.Address)
		}
	}
	return out
}

// precedes reports whether gateway a comes before b in the order of all gateways.
func precedes(a, b string) bool { return compareRank(a, b) < 0 }

func compareRank(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) }
