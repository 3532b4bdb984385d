package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Peer is an endpoint together with the address of its agent.
type Peer struct {
	Endpoint   string
	Host       string
	DataCentre string
	Address    string
	Draining   bool
}

// Successors returns the agents that can take over the run records of a draining
// agent, in order of preference: its own data centre before others, other hosts
// before its own, and then by a hash that spreads the incarnations of a stopped
// rack over the fleet. The result does not depend on the order of peers.
func Successors(self Peer, incarnation string, peers []Peer) []Peer {
	out := make([]Peer, 0, len(peers))
	for _, p := range peers {
		if !p.Draining && p.Address != self.Address && p.Endpoint != self.Endpoint {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int {
		return cmp.Or(
			cmp.Compare(distance(self, a), distance(self, b)),
			cmp.Compare(weight(incarnation, a), weight(incarnation, b)),
			cmp.Compare(a.Endpoint, b.Endpoint),
		)
	})
	return out
}

// distance ranks a candidate; lower is better.
func distance(self, p Peer) int {
	d := 0
	if p.DataCentre != self.DataCentre {
		d += 2
	}
	if p.Host == self.Host {
		d++
	}
	return d
}

func weight(incarnation string, p Peer) uint64 {
	return xxhash.Sum64String(incarnation + "\x00" + p.Endpoint)
}
