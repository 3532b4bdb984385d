package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// learnTime is how long a starting gateway asks the gateways that its settings name
	// before it reads the store. They read it at once, and know all within some ten
	// milliseconds even if all start together. 103 gateways that each read the store made
	// 1,200 calls when they started; that is half of the calls of a day of 34 s.
	learnTime = time.Second
	// learnAgain is the pause between two questions.
	learnAgain = 150 * time.Millisecond
)

// learn takes configuration and endpoints from one of the gateways that the settings
// name. It returns when that is done, when none of them answers, or when there was time
// enough: then this gateway reads the store itself.
func (g *Gateway) learn() {
	began := time.Now()
	asked := g.others(g.config.Seeds)
	for len(asked) > 0 && time.Since(began) < learnTime {
		n := rand.IntN(len(asked))
		done, err := g.learnFrom(asked[n])
		switch {
		case done:
			g.deps.Log.Logger().Info("Learned from a peer.", "peer", asked[n], "version", g.state.Version(), "ms", time.Since(began).Milliseconds())
			return
		case err != nil && !errors.Is(err, errNotKnown):
			g.deps.Log.Logger().Info("A peer could not be asked.", "peer", asked[n], "err", err)
			asked = slices.Delete(asked, n, n+1)
			continue
		}
		if !g.pause(learnAgain) {
			return
		}
	}
}

// others returns the addresses without this gateway's own; none if it is among them, since
// the named gateways are those that read.
func (g *Gateway) others(seeds []netip.AddrPort) []netip.AddrPort {
	if g.deps.Mesh == nil || slices.Contains(seeds, g.deps.Mesh.Address()) {
		return nil
	}
	return slices.Clone(seeds)
}

// learnFrom takes what a peer knows; done is false when that is not all, or too old.
func (g *Gateway) learnFrom(peer netip.AddrPort) (done bool, err error) {
	if err := g.askPeer(peer); err != nil {
		return false, err
	}
	if g.proofAge() > takeOver {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(g.ctx, 2*peerTime)
	defer cancel()
	if err := g.askEndpoints(ctx, peer); err != nil {
		return false, err
	}
	return g.sharing.endpointsAge(time.Now()) < takeOver, nil
}
