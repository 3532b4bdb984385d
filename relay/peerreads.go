package relay

import (
	"net/netip"
	"time"

	"github.com/micarudder/micarudder/peers"
)

// recordPeerStore records whether a peer can reach the store. A peer's failure counts like a failed
// read of this gateway, which keeps endpoints whose entries expired meanwhile, unless other peers
// can reach the store: a gateway that takes its lists from these may not have read for long. local is
// set for a peer of the local cell. The caller holds the lock.
func (s *storeReads) recordPeerStore(msg peers.Message, local bool, now time.Time) {
	delete(s.withStore, msg.From)
	delete(s.withoutStore, msg.From)
	if len(msg.Digests) > 0 {
		s.crossCell[msg.From] = now
	}
	switch {
	case msg.ShuttingDown:
	case msg.StoreUnreachable:
		s.withoutStore[msg.From] = heardPeer{now, local}
		if s.storeLost && !s.peerReachesStore(now) {
			s.failedAt = now
		}
	default:
		s.withStore[msg.From] = heardPeer{now, local}
	}
}

// peerReachesStore reports whether a peer that can reach the store sent a message recently. The
// caller holds the lock.
func (s *storeReads) peerReachesStore(now time.Time) bool {
	for _, peer := range s.withStore {
		if now.Sub(peer.at) <= peerTimeout {
			return true
		}
	}
	return false
}

// recordPeerProof records a peer's proof from a read sent at that time. If this gateway's last
// failed read was well before that, the store is assumed to be reachable again.
func (s *storeReads) recordPeerProof(sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeLost && sent.Sub(s.failedAt) > readDeferral {
		s.storeLost = false
	}
}

// handlePeerMessage processes what a peer reports about its reads.
func (g *Gateway) handlePeerMessage(msg peers.Message, from netip.AddrPort) {
	now, local := time.Now(), !g.fromOtherCell(msg)
	s := g.storeReads
	if !msg.Late { // otherwise a newer state was received
		s.mu.Lock()
		s.recordPeerStore(msg, local, now)
		s.mu.Unlock()
	}
	if msg.Version > 0 && msg.Endpoints != 0 && !g.hasData() {
		g.fetch(func() { g.bootstrapFrom(from) })
	}
	sentAfter, ok := g.deps.Mesh.SentAfter(msg)
	if !ok {
		return
	}
	if !g.suspensions.NotBefore(sentAfter) {
		return // it answers a message from before the host was suspended
	}
	g.recordStoreEra(msg.StoreEra, msg.From)
	g.picker.recordDigests(msg, sentAfter)
	g.handlePeerProof(msg, sentAfter, from)
	g.handlePeerUnproven(msg, sentAfter)
	g.handlePeerEndpoints(msg, sentAfter, from)
	g.handlePeerGateways(msg, sentAfter, from)
}

// handlePeerProof records the proof in a message that was sent after that time.
func (g *Gateway) handlePeerProof(msg peers.Message, sentAfter time.Time, from netip.AddrPort) {
	if msg.ProofAgeMs < 0 {
		return
	}
	if msg.Version > g.state.Version() {
		g.fetch(func() { g.queryPeerLogged(from) })
		return
	}
	sent := sentAfter.Add(-peers.AgeFromMs(msg.ProofAgeMs))
	if msg.Version == 0 {
		g.state.RecordNoConfiguration(sent)
		return
	}
	if !g.state.RecordProof(msg.Version, sent) {
		return
	}
	g.storeReads.recordPeerProof(sent)
	if g.fromOtherCell(msg) {
		g.broadcastSoon() // the local cell learns of it from this gateway
	}
}

// handlePeerUnproven records a peer's read that reached the store and proved nothing, so that this gateway
// need not read for itself.
func (g *Gateway) handlePeerUnproven(msg peers.Message, sentAfter time.Time) {
	if msg.UnprovenAgeMs <= 0 {
		return
	}
	sent := sentAfter.Add(-peers.AgeFromMs(msg.UnprovenAgeMs))
	if g.state.RecordUnprovenRead(sent) && g.fromOtherCell(msg) {
		g.broadcastSoon() // the local cell learns of it from this gateway
	}
}

// fromOtherCell reports whether a message came from another cell.
func (g *Gateway) fromOtherCell(msg peers.Message) bool {
	cells := g.state.Cells()
	return msg.DataCentre != "" && cells.Of(msg.DataCentre) != cells.Of(g.config.DataCentre)
}

// handlePeerEndpoints compares the list of endpoints that the sender of a message has with this
// gateway's list.
func (g *Gateway) handlePeerEndpoints(msg peers.Message, sentAfter time.Time, from netip.AddrPort) {
	if msg.Endpoints == 0 {
		return
	}
	sent := sentAfter.Add(-peers.AgeFromMs(msg.EndpointsAgeMs))
	s := g.storeReads
	s.mu.Lock()
	newer := sent.After(s.listedAt)
	same := s.hash == msg.Endpoints
	if newer && same {
		s.setListedAt(sent)
	}
	s.mu.Unlock()
	if !newer {
		return
	}
	if !same {
		g.fetch(func() { g.fetchEndpointsLogged(from, sent) })
		return
	}
	g.applyEndpoints()
}

// fetch runs one request to a peer at a time; further ones are dropped.
func (g *Gateway) fetch(request func()) {
	s := g.storeReads
	s.mu.Lock()
	busy := s.fetching
	s.fetching = true
	s.mu.Unlock()
	if busy {
		return
	}
	go func() {
		request()
		s.mu.Lock()
		s.fetching = false
		s.mu.Unlock()
	}()
}
