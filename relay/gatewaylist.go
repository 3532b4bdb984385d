package relay

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/micarudder/micarudder/peers"
)

const (
	// gatewaysInterval is how often this gateway's entry is renewed and the list of gateways is read
	// for all: a third of the entry's lease. gatewaysFirstDelay is the delay before the second time and
	// after a failure. Between reads gateways know each other from their messages.
	gatewaysInterval   = 10 * time.Second
	gatewaysFirstDelay = 3 * time.Second
	// gatewayListMessageInterval is how often messages tell which list of gateways their sender has.
	gatewayListMessageInterval = gatewaysInterval / 4

	pathGateways = "/peer/gateways"
)

// gatewayReadTimes are the ages of the list of gateways at which others than the first reader read it.
var gatewayReadTimes = readTimes{standby: 3 * gatewaysInterval / 2, takeover: 5 * gatewaysInterval / 2}

// knownGateways is the newest list of gateways that this gateway knows.
type knownGateways struct {
	list     peers.MemberList
	hash     uint64    // of list; 0 if there is none
	listedAt time.Time // when the read of the list was sent
	toldAt   time.Time // when a message last told of it
}

// followGateways keeps this gateway's entry and the list of gateways up to date.
func (g *Gateway) followGateways() {
	if g.deps.Mesh == nil {
		return
	}
	lost := false
	for wait := gatewaysFirstDelay; ; wait = gatewaysInterval {
		err := g.announceAndList(wait == gatewaysFirstDelay)
		g.checkStoreEra()
		g.saveSettledEra()
		if (err != nil) != lost {
			lost = err != nil
			g.logDependency("gateway list", lost, err)
		}
		if err != nil {
			wait = gatewaysFirstDelay
		}
		if !g.pause(wait) {
			return
		}
	}
}

// announceAndList renews this gateway's entry and reads the list, if this gateway reads it for the others or
// starting is set.
func (g *Gateway) announceAndList(starting bool) error {
	ctx, cancel := context.WithTimeout(g.ctx, readTimeout)
	defer cancel()
	if err := g.deps.Source.Announce(ctx); err != nil {
		return err
	}
	sent := time.Now()
	if !starting && !g.storeReads.shouldRead(g.config.Name, g.storeReads.gatewaysAge(sent), gatewayReadTimes, sent) {
		return nil
	}
	list, err := g.deps.Source.Gateways(ctx)
	if err != nil {
		return err
	}
	g.recordGateways(peers.MemberList{Members: list}, sent)
	return nil
}

// recordGateways records a list that this gateway or a peer has read from the store, by a read sent at that
// time. A list that arrives after one of a later read is ignored.
func (g *Gateway) recordGateways(list peers.MemberList, sent time.Time) {
	if len(list.Members) == 0 {
		return
	}
	s := g.storeReads
	s.mu.Lock()
	older := sent.Before(s.gateways.listedAt)
	if !older {
		s.gateways.list, s.gateways.hash, s.gateways.listedAt = list, list.Hash(), sent
	}
	s.mu.Unlock()
	if older {
		return
	}
	g.deps.Mesh.SetMembers(list.Members)
	g.listedOnce.Do(func() { close(g.gatewaysListed) })
	g.listedGatewayCount.Store(int64(len(list.Members)))
	if !g.config.FirstStart {
		g.picker.setListedGateways(len(list.Members), time.Now()) // entries outlive their processes
	}
}

// gatewaysAge returns the age of the newest list of gateways.
func (s *storeReads) gatewaysAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gateways.hash == 0 {
		return noDataAge
	}
	return now.Sub(s.gateways.listedAt)
}

// fillGateways adds to a message which list of gateways this gateway has, now and then. The caller holds the
// lock.
func (s *storeReads) fillGateways(msg *peers.Message, now time.Time) {
	if s.gateways.hash == 0 || now.Sub(s.gateways.toldAt) < gatewayListMessageInterval {
		return
	}
	s.gateways.toldAt = now
	msg.Gateways, msg.GatewaysAgeMs = s.gateways.hash, peers.AgeMs(now.Sub(s.gateways.listedAt))
}

// handlePeerGateways compares the list of gateways that the sender of a message has with this gateway's list.
func (g *Gateway) handlePeerGateways(msg peers.Message, sentAfter time.Time, from netip.AddrPort) {
	if msg.Gateways == 0 {
		return
	}
	sent := sentAfter.Add(-peers.AgeFromMs(msg.GatewaysAgeMs))
	s := g.storeReads
	s.mu.Lock()
	newer, same := sent.After(s.gateways.listedAt), s.gateways.hash == msg.Gateways
	if newer && same {
		s.gateways.listedAt = sent
	}
	s.mu.Unlock()
	if newer && !same {
		g.fetch(func() { g.fetchGateways(from, sent) })
	}
}

// fetchGateways fetches a peer's list of gateways.
func (g *Gateway) fetchGateways(from netip.AddrPort, sent time.Time) {
	ctx, cancel := context.WithTimeout(g.ctx, 2*peerQueryTimeout)
	defer cancel()
	var list peers.MemberList
	if err := g.peerClient.Get(ctx, g.peerClient.URL(from, pathGateways), &list); err != nil {
		g.deps.Log.Logger().Warn("A peer's list of gateways could not be read.", "peer", from, "err", err)
		return
	}
	g.recordGateways(list, sent)
}

// serveGateways answers a peer that asks for the list of gateways.
func (g *Gateway) serveGateways(w http.ResponseWriter, _ *http.Request) {
	s := g.storeReads
	s.mu.Lock()
	list, hash := s.gateways.list, s.gateways.hash
	s.mu.Unlock()
	if hash == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.writeDocument(w, &g.gatewaysDocument, hash, list)
}
