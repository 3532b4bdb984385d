// Package recipients decides which gateways a gateway sends its messages to, and which gateways represent
// their cell in messages to other cells.
package recipients

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/micarudder/micarudder/cell"
	"github.com/micarudder/micarudder/peers"
)

// StoreReaders is how many gateways ensure that the store is read: one reads, and one stands by
// in case the first one dies.
const StoreReaders = 2

// MinCrossCellReceivers is how many gateways of another cell receive cross-cell messages besides
// those from which such messages were received: the ones that should represent that cell, and one
// more in case one of them is gone.
const MinCrossCellReceivers = 3

// Recipients are the gateways that this gateway sends messages to. The gateways of the local cell are
// notified of each choice. Between cells, only the representatives of each cell exchange regular
// messages, so that the traffic of a gateway does not grow with the fleet. A gateway that has load
// at the endpoints of another cell reports it to all gateways of that cell.
type Recipients struct {
	LocalCell string
	// Local are the gateways of the local cell, and those whose cell is not known.
	Local []netip.AddrPort
	// Remote are all gateways of the other cells, by cell; RemoteRecipients are those of them that
	// receive cross-cell messages.
	Remote           map[string][]netip.AddrPort
	RemoteRecipients map[string][]netip.AddrPort
	// Representative is set when this gateway represents its cell in messages to other cells.
	Representative bool
	// Gateways is the number of gateways in the local cell, including this one.
	Gateways int
}

// Recent holds the peers from which messages were received recently.
type Recent struct {
	All       map[string]bool // by name
	WithStore map[string]bool // those that can reach the store
	CrossCell map[string]bool // those of other cells that sent digests
}

// New returns the recipients for a gateway in a data centre. Before the cells are known, each data
// centre counts as one. The representatives of a cell are its first two gateways, in an order of all
// gateways that is independent of their names, and the first two that can reach the store, so that one
// of them may fail unnoticed.
func New(self, dataCentre string, cells cell.Map, members []peers.Member, recent Recent) Recipients {
	cellsKnown := len(cells.Cells()) > 0
	cellOf := cells.Of
	if !cellsKnown { // no endpoints are known yet
		cellOf = func(dataCentre string) string { return dataCentre }
	}
	r := Recipients{LocalCell: cellOf(dataCentre), Remote: make(map[string][]netip.AddrPort), RemoteRecipients: make(map[string][]netip.AddrPort), Gateways: 1}
	preceding, precedingWithStore := 0, 0
	byCell := make(map[string][]peers.Member)
	for _, m := range members {
		if m.DataCentre != "" && cellOf(m.DataCentre) != r.LocalCell {
			c := cellOf(m.DataCentre)
			byCell[c] = append(byCell[c], m)
			r.Remote[c] = append(r.Remote[c], m.Address)
			continue
		}
		r.Local = append(r.Local, m.Address)
		if !recent.All[m.Name] {
			continue
		}
		r.Gateways++
		if Precedes(m.Name, self) {
			preceding++
			if recent.WithStore[m.Name] {
				precedingWithStore++
			}
		}
	}
	r.Representative = preceding < StoreReaders || precedingWithStore < StoreReaders
	for c, list := range byCell {
		r.RemoteRecipients[c] = selectRemoteRecipients(list, recent.CrossCell)
		if !cellsKnown {
			r.Local = append(r.Local, r.RemoteRecipients[c]...) // they may turn out to be of this cell
		}
	}
	return r
}

// selectRemoteRecipients returns the gateways of another cell that the representatives of this cell
// send to: the first ones, and all from which cross-cell messages were received.
func selectRemoteRecipients(list []peers.Member, crossCell map[string]bool) []netip.AddrPort {
	slices.SortFunc(list, func(a, b peers.Member) int { return CompareRank(a.Name, b.Name) })
	var out []netip.AddrPort
	for n, m := range list {
		if n < MinCrossCellReceivers || crossCell[m.Name] {
			out = append(out, m.Address)
		}
	}
	return out
}

// Precedes reports whether gateway a comes before b in the order of all gateways.
func Precedes(a, b string) bool { return CompareRank(a, b) < 0 }

// CompareRank compares two gateways in an order that is independent of their names, so that the first ones
// are in different data centres.
func CompareRank(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) }

func rank(name string) uint64 { return xxhash.Sum64String(name) }
