package relay

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/micarudder/micarudder/cell"
	"github.com/micarudder/micarudder/peers"
)

// minCrossCellReceivers is how many gateways of another cell receive cross-cell messages besides
// those from which such messages were received: the ones that should represent that cell, and one
// more in case one of them is gone.
const minCrossCellReceivers = 3

// recipients are the gateways that this gateway sends messages to. The gateways of the local cell are
// notified of each choice. Between cells, only the representatives of each cell exchange regular
// messages, so that the traffic of a gateway does not grow with the fleet. A gateway that has load
// at the endpoints of another cell reports it to all gateways of that cell.
type recipients struct {
	localCell string
	// local are the gateways of the local cell, and those whose cell is not known.
	local []netip.AddrPort
	// remote are all gateways of the other cells, by cell; remoteRecipients are those of them that
	// receive cross-cell messages.
	remote           map[string][]netip.AddrPort
	remoteRecipients map[string][]netip.AddrPort
	// representative is set when this gateway represents its cell in messages to other cells.
	representative bool
	// gateways is the number of gateways in the local cell, including this one.
	gateways int
}

// recentPeers holds the peers from which messages were received recently.
type recentPeers struct {
	all       map[string]bool // by name
	withStore map[string]bool // those that can reach the store
	crossCell map[string]bool // those of other cells that sent digests
}

// newRecipients returns the recipients for a gateway in a data centre. Before the cells are known, each data
// centre counts as one. The representatives of a
// cell are its first two gateways, in an order of all gateways that is independent of their names,
// and the first two that can reach the store, so that one of them may fail unnoticed.
func newRecipients(self, dataCentre string, cells cell.Map, members []peers.Member, recent recentPeers) recipients {
	cellsKnown := len(cells.Cells()) > 0
	cellOf := cells.Of
	if !cellsKnown { // no endpoints are known yet
		cellOf = func(dataCentre string) string { return dataCentre }
	}
	r := recipients{localCell: cellOf(dataCentre), remote: make(map[string][]netip.AddrPort), remoteRecipients: make(map[string][]netip.AddrPort), gateways: 1}
	preceding, precedingWithStore := 0, 0
	byCell := make(map[string][]peers.Member)
	for _, m := range members {
		if m.DataCentre != "" && cellOf(m.DataCentre) != r.localCell {
			c := cellOf(m.DataCentre)
			byCell[c] = append(byCell[c], m)
			r.remote[c] = append(r.remote[c], m.Address)
			continue
		}
		r.local = append(r.local, m.Address)
		if !recent.all[m.Name] {
			continue
		}
		r.gateways++
		if precedes(m.Name, self) {
			preceding++
			if recent.withStore[m.Name] {
				precedingWithStore++
			}
		}
	}
	r.representative = preceding < storeReaders || precedingWithStore < storeReaders
	for c, list := range byCell {
		r.remoteRecipients[c] = selectRemoteRecipients(list, recent.crossCell)
		if !cellsKnown {
			r.local = append(r.local, r.remoteRecipients[c]...) // they may turn out to be of this cell
		}
	}
	return r
}

// selectRemoteRecipients returns the gateways of another cell that the representatives of this cell
// send to: the first ones, and all from which cross-cell messages were received.
func selectRemoteRecipients(list []peers.Member, crossCell map[string]bool) []netip.AddrPort {
	slices.SortFunc(list, func(a, b peers.Member) int { return compareRank(a.Name, b.Name) })
	var out []netip.AddrPort
	for n, m := range list {
		if n < minCrossCellReceivers || crossCell[m.Name] {
			out = append(out, m.Address)
		}
	}
	return out
}

// precedes reports whether gateway a comes before b in the order of all gateways.
func precedes(a, b string) bool { return compareRank(a, b) < 0 }

func compareRank(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) }
