package relay

import (
	"context"
	"net/netip"
	"slices"
	"time"
)

const (
	// seedTime bounds one question to the gateways that the settings name: some round
	// trips between data centres, and a moment of a busy process. A starting gateway
	// serves nobody meanwhile.
	seedTime = 60 * time.Millisecond
	// firstStartTime is how long a gateway of an installation that starts for the first
	// time leaves reading the store to the named ones. 103 gateways that each read it made
	// 1,218 calls in the first three seconds, 987 since: most hear no named one within
	// seedTime, as all start together.
	firstStartTime = 10 * time.Second
	// learnAgain is the pause between two questions.
	learnAgain = 200 * time.Millisecond
)

// learn takes configuration and endpoints from one of the gateways that the settings
// name, so that the store is not read by each gateway that is restarted. If none of them
// knows, this gateway reads the store itself; on the first start of all, where there is
// nothing to serve before there is a configuration, it asks again first, as long as one
// answers.
func (g *Gateway) learn() {
	began := time.Now()
	seeds := g.seeds()
	for len(seeds) > 0 {
		from, heard := g.askSeeds(seeds)
		if from.IsValid() && g.learnFrom(from) {
			g.deps.Log.Logger().Info("Learned from a peer.", "peer", from, "version", g.state.Version(), "ms", time.Since(began).Milliseconds())
			return
		}
		if !heard || !g.config.FirstStart || time.Since(began) > firstStartTime {
			return
		}
		if !g.pause(learnAgain) {
			return
		}
	}
}

// seeds returns the addresses of the other named gateways; none if this one is among
// them, since those are the ones that read.
func (g *Gateway) seeds() []netip.AddrPort {
	if g.deps.Mesh == nil || slices.Contains(g.config.Seeds, g.deps.Mesh.Address()) {
		return nil
	}
	return g.config.Seeds
}

// askSeeds asks all for their proofs at once. It returns the first that has a young one,
// and whether any answered.
func (g *Gateway) askSeeds(seeds []netip.AddrPort) (from netip.AddrPort, heard bool) {
	ctx, cancel := context.WithTimeout(g.ctx, seedTime)
	defer cancel()
	type answer struct {
		from  netip.AddrPort
		proof proofAnswer
		err   error
	}
	answers := make(chan answer, len(seeds))
	for _, seed := range seeds {
		go func() {
			a := answer{from: seed}
			a.err = g.peers.get(ctx, g.peerURL(seed, pathProof), &a.proof)
			answers <- a
		}()
	}
	for range seeds {
		a := <-answers
		if a.err != nil {
			g.deps.Log.Logger().Info("A named gateway does not answer.", "peer", a.from, "err", a.err)
			continue
		}
		heard = true
		if a.proof.young() {
			return a.from, true
		}
	}
	return netip.AddrPort{}, heard
}

// young reports whether a gateway that takes over what this one knows need not read the
// store at once.
func (p proofAnswer) young() bool {
	most := takeOver.Milliseconds()
	return p.Version > 0 && p.AgeMs < most && p.EndpointsAgeMs >= 0 && p.EndpointsAgeMs < most
}

// learnFrom takes what a peer knows; it reports whether that is all.
func (g *Gateway) learnFrom(peer netip.AddrPort) bool {
	asked := time.Now()
	proof, err := g.askPeer(peer)
	if err == nil {
		err = g.takeEndpoints(peer, asked.Add(-time.Duration(proof.EndpointsAgeMs)*time.Millisecond))
	}
	if err != nil {
		g.deps.Log.Logger().Warn("A named gateway's knowledge could not be taken.", "peer", peer, "err", err)
	}
	return err == nil && proof.young()
}
