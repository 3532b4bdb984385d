package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/peers"
)

// mostOffered is how many endpoints of a service a cell offers to another at most, so that
// a digest is under a kilobyte however large a cell is: a prompt is read on 16 at most.
const mostOffered = 16

// offer returns what this gateway's cell offers to the gateways of another one.
func (p *picker) offer(to, dataCentre string, gateways int, now time.Time) peers.Digest {
	cells := p.state.Cells()
	home := cells.Of(dataCentre)
	d := peers.Digest{DataCentre: dataCentre, Gateways: gateways, Loads: make(map[string]balance.Load)}
	p.mu.Lock()
	defer p.mu.Unlock()
	theirs := func(peer string) bool { return cells.Of(peer) == to }
	for _, s := range p.state.Services() {
		for _, e := range p.offered(&s, p.state.EndpointsByCell(s.Name)[home], now) {
			d.Loads[e.ID] = p.book.LoadWithout(e.ID, theirs, now)
		}
	}
	return d
}

// offered returns the endpoints of a service that are offered, those with the fewest
// requests first. The caller holds the lock.
func (p *picker) offered(s *catalog.Service, endpoints []catalog.Endpoint, now time.Time) []catalog.Endpoint {
	loads := make(map[string]balance.Load, len(endpoints))
	var out []catalog.Endpoint
	for _, e := range endpoints {
		l := p.book.Load(e.ID, now)
		if p.policy.Offered(s.Engine, e.Slots, l) && !p.health.Suspect(e.ID, now) {
			loads[e.ID] = l
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b catalog.Endpoint) int {
		return cmp.Compare(loads[a.ID].Short+loads[a.ID].Long, loads[b.ID].Short+loads[b.ID].Long)
	})
	return out[:min(mostOffered, len(out))]
}

// digests takes in the digests in a word that was said after that time.
func (p *picker) digests(w peers.Word, said time.Time) {
	cells := p.state.Cells()
	home := cells.Of(p.dataCentre)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range w.Digests {
		c := cells.Of(d.DataCentre)
		if c == home {
			continue
		}
		p.gateways[c] = d.Gateways
		p.centres[c] = d.DataCentre
		p.book.TakeDigest(c, balance.Digest{Made: said.Add(-time.Duration(d.AgeMs) * time.Millisecond), Loads: d.Loads})
	}
}

// passOn returns the digests that other cells have told, for the own one.
func (p *picker) passOn(now time.Time) []peers.Digest {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []peers.Digest
	for c, d := range p.book.Digests(now) {
		out = append(out, peers.Digest{DataCentre: p.centres[c], Gateways: p.gateways[c], AgeMs: now.Sub(d.Made).Milliseconds(), Loads: d.Loads})
	}
	return out
}
