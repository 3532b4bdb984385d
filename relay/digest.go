package relay

import (
	"time"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/peers"
)

// spareShare is the part of a service's endpoints in a cell, as a divisor, that has to be
// spare for the cell to offer any.
const spareShare = 3

// offer returns what this gateway's cell offers to the gateways of another one.
func (p *picker) offer(to, dataCentre string, gateways int, now time.Time) peers.Digest {
	cells := p.state.Cells()
	home := cells.Of(dataCentre)
	d := peers.Digest{DataCentre: dataCentre, Gateways: gateways, Loads: make(map[string]balance.Load)}
	p.mu.Lock()
	defer p.mu.Unlock()
	theirs := func(peer string) bool { return cells.Of(peer) == to }
	short := p.shortCells(now)
	for _, s := range p.state.Services() {
		spare := p.spare(&s, p.state.EndpointsByCell(s.Name)[home], now)
		d.Short = d.Short || s.Engine != nil && len(spare) == 0
		for _, e := range spare {
			if other, ok := cells.SharedWith(e.ID, home, short); ok && other == to {
				d.Loads[e.ID] = p.book.LoadWithout(e.ID, theirs, now)
			}
		}
	}
	return d
}

// shortCells returns the other cells that have said lately that they have no endpoints to
// spare. The caller holds the lock.
func (p *picker) shortCells(now time.Time) map[string]bool {
	out := make(map[string]bool)
	for c := range p.book.Digests(now) {
		out[c] = p.others[c].short
	}
	return out
}

// spare returns the endpoints of a service that have something to offer, none if they are
// few. The caller holds the lock.
func (p *picker) spare(s *catalog.Service, endpoints []catalog.Endpoint, now time.Time) []catalog.Endpoint {
	var out []catalog.Endpoint
	for _, e := range endpoints {
		if _, limited := p.limits.limit(e.ID); limited {
			continue // its own cell needs what it takes
		}
		if p.state.Resting(e.ID, now) {
			continue
		}
		if p.policy.Spare(s.Engine, e.Slots, p.book.Load(e.ID, now)) && !p.health.Suspect(e.ID, now) {
			out = append(out, e)
		}
	}
	if len(out)*spareShare < len(endpoints) {
		return nil
	}
	return out
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
		p.others[c] = otherCell{d.DataCentre, d.Gateways, d.Short}
		p.book.TakeDigest(c, balance.Digest{Made: said.Add(-time.Duration(d.AgeMs) * time.Millisecond), Loads: d.Loads})
	}
}

// passOn returns the digests that other cells have told, for the own one.
func (p *picker) passOn(now time.Time) []peers.Digest {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []peers.Digest
	for c, d := range p.book.Digests(now) {
		other := p.others[c]
		out = append(out, peers.Digest{
			DataCentre: other.dataCentre, Gateways: other.gateways, Short: other.short,
			AgeMs: now.Sub(d.Made).Milliseconds(), Loads: d.Loads,
		})
	}
	return out
}
