package peers

import (
	"net/netip"

	"github.com/VictoriaMetrics/metrics"
)

// Kind is the kind of a datagram in the count of bytes.
type Kind string

// The kinds of datagrams.
const (
	LoadChange      Kind = "load"         // partial, for the sender's cell
	Regular         Kind = "regular"      // complete, for the sender's cell
	RegularDigests  Kind = "digests"      // complete, for the sender's cell, with digests of other cells
	Proof           Kind = "proof"        // complete, for the sender's cell, sent because something was read
	CrossCellLoad   Kind = "cell_load"    // partial, for another cell
	CrossCellReport Kind = "cell_regular" // complete, for another cell
	Forwarded       Kind = "forwarded"    // a message of another gateway
)

var kinds = []Kind{LoadChange, Regular, RegularDigests, Proof, CrossCellLoad, CrossCellReport, Forwarded}

// ByteCounters adds counters of bytes by kind and destination to set. It returns the function that
// counts, for CountBytes.
func ByteCounters(set *metrics.Set) func(kind Kind, remote bool, bytes int) {
	local, remote := make(map[Kind]*metrics.Counter), make(map[Kind]*metrics.Counter)
	for _, k := range kinds {
		local[k] = set.NewCounter(`relay_peer_bytes_total{kind="` + string(k) + `",to="local"}`)
		remote[k] = set.NewCounter(`relay_peer_bytes_total{kind="` + string(k) + `",to="remote"}`)
	}
	return func(kind Kind, isRemote bool, bytes int) {
		counters := local
		if isRemote {
			counters = remote
		}
		if c := counters[kind]; c != nil {
			c.Add(bytes)
		}
	}
}

// CountBytes makes the mesh call count with the bytes of the datagrams that it sends, by kind and by
// whether they go to another data centre than the given one, or to a gateway whose data centre is not
// known. The headers of UDP and IP are not included. It must be called before Send and Receive.
func (m *Mesh) CountBytes(dataCentre string, count func(kind Kind, remote bool, bytes int)) {
	m.dataCentre, m.count = dataCentre, count
}

// CountLate makes the mesh call count for each forwarded message that it drops because it took too
// long, see maxForwardDelay. It must be called before Receive.
func (m *Mesh) CountLate(count func()) { m.countLate = count }

// countBytes counts a datagram of this size to each of the addresses.
func (m *Mesh) countBytes(kind Kind, size int, to []netip.AddrPort) {
	if m.count == nil {
		return
	}
	local := 0
	m.mu.Lock()
	for _, a := range to {
		if m.dataCentreOf(a) == m.dataCentre {
			local++
		}
	}
	m.mu.Unlock()
	m.count(kind, false, local*size)
	m.count(kind, true, (len(to)-local)*size)
}

// dataCentreOf returns the data centre of a member, or "" if it is not known. The caller holds mu.
func (m *Mesh) dataCentreOf(a netip.AddrPort) string {
	if r, ok := m.recent[a]; ok {
		return r.DataCentre
	}
	return m.listedDataCentres[a]
}
