package relay

import (
	"time"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/peers"
)

// minSpareDivisor is the part of a service's endpoints in a cell, as a divisor, that has to be
// spare for the cell to offer any.
const minSpareDivisor = 3

// localDigest returns the digest of this gateway's cell for the gateways of another cell.
func (p *picker) localDigest(receiverCell, dataCentre string, gateways int, now time.Time) peers.Digest {
	cells := p.state.Cells()
	localCell := cells.Of(dataCentre)
	d := peers.Digest{DataCentre: dataCentre, Gateways: gateways, Loads: make(map[string]balance.Load)}
	p.mu.Lock()
	defer p.mu.Unlock()
	inReceiverCell := func(peer string) bool { return cells.Of(peer) == receiverCell }
	withoutSpare := p.cellsWithoutSpare(now)
	for _, s := range p.state.Services() {
		spare := p.spareEndpoints(&s, p.state.EndpointsByCell(s.Name)[localCell], now)
		d.NoSpareEndpoints = d.NoSpareEndpoints || s.Engine != nil && len(spare) == 0
		for _, e := range spare {
			if other, ok := cells.SharedWith(e.ID, localCell, withoutSpare); ok && other == receiverCell {
				d.Loads[e.ID] = p.loads.LoadExcluding(e.ID, inReceiverCell, now)
			}
		}
	}
	return d
}

// cellsWithoutSpare returns the other cells that recently reported that they have no endpoints to
// spare. The caller holds the lock.
func (p *picker) cellsWithoutSpare(now time.Time) map[string]bool {
	out := make(map[string]bool)
	for c := range p.loads.Digests(now) {
		out[c] = p.remoteCells[c].noSpare
	}
	return out
}

// spareEndpoints returns the endpoints of a service that have capacity to offer, or none if they
// are few. The caller holds the lock.
func (p *picker) spareEndpoints(s *catalog.Service, endpoints []catalog.Endpoint, now time.Time) []catalog.Endpoint {
	var out []catalog.Endpoint
	for _, e := range endpoints {
		if _, limited := p.limits.Limit(e.ID); limited {
			continue // its own cell needs the requests that its rate limit permits
		}
		if p.state.InBackoff(e.ID, now) {
			continue
		}
		if p.policy.HasSpareCapacity(s.Engine, e.Slots, p.loads.Load(e.ID, now)) && !p.health.Suspect(e.ID, now) {
			out = append(out, e)
		}
	}
	if len(out)*minSpareDivisor < len(endpoints) {
		return nil
	}
	return out
}

// recordDigests records the digests in a message that was sent after that time.
func (p *picker) recordDigests(msg peers.Message, sentAfter time.Time) {
	cells := p.state.Cells()
	localCell := cells.Of(p.dataCentre)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range msg.Digests {
		c := cells.Of(d.DataCentre)
		if c == localCell {
			continue
		}
		p.remoteCells[c] = remoteCell{d.DataCentre, d.Gateways, d.NoSpareEndpoints}
		p.loads.StoreDigest(c, balance.Digest{CreatedAt: sentAfter.Add(-peers.AgeFromMs(d.AgeMs)), Loads: d.Loads})
	}
}

// remoteDigests returns the digests received from other cells, to be forwarded to the local cell.
func (p *picker) remoteDigests(now time.Time) []peers.Digest {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []peers.Digest
	for c, d := range p.loads.Digests(now) {
		other := p.remoteCells[c]
		out = append(out, peers.Digest{
			DataCentre: other.dataCentre, Gateways: other.gateways, NoSpareEndpoints: other.noSpare,
			AgeMs: peers.AgeMs(now.Sub(d.CreatedAt)), Loads: d.Loads,
		})
	}
	return out
}
