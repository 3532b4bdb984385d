package relay

import (
	"context"
	"net/netip"
	"slices"
	"time"
)

const (
	// seedTimeout bounds one query to the seed gateways that the settings name: some round trips
	// between data centres, plus a margin for a busy process. A starting gateway serves no requests
	// meanwhile.
	seedTimeout = 60 * time.Millisecond
	// firstStartWait is how long, on the first start of an installation, a gateway leaves reading
	// the store to the seeds. When each of 103 gateways read the store, they made 1,218 calls in
	// the first three seconds; with this wait they make 987, since all start together and most get
	// no response from a seed within seedTimeout.
	firstStartWait = 10 * time.Second
	// seedRetryInterval is the pause between two queries.
	seedRetryInterval = 200 * time.Millisecond
)

// bootstrap takes the configuration and the endpoints from one of the seed gateways, so that a
// restarted gateway need not read the store. If no seed has them, this gateway reads the store
// itself. On the first start of an installation there is nothing to serve before a configuration
// exists, so it first repeats the query as long as any seed answers.
func (g *Gateway) bootstrap() {
	began := time.Now()
	seeds := g.seeds()
	for len(seeds) > 0 {
		from, answered := g.querySeeds(seeds)
		if from.IsValid() && g.bootstrapFrom(from) {
			g.deps.Log.Logger().Info("Learned from a peer.", "peer", from, "version", g.state.Version(), "ms", time.Since(began).Milliseconds())
			return
		}
		if !answered || !g.config.FirstStart || time.Since(began) > firstStartWait {
			return
		}
		if !g.pause(seedRetryInterval) {
			return
		}
	}
}

// seeds returns the addresses of the other seed gateways. It returns none if this gateway is a seed
// itself, since seeds read the store.
func (g *Gateway) seeds() []netip.AddrPort {
	if g.deps.Mesh == nil || slices.Contains(g.config.Seeds, g.deps.Mesh.Address()) {
		return nil
	}
	return g.config.Seeds
}

// querySeeds queries the proofs of all seeds at once. It returns the first seed with a fresh one,
// and whether any seed answered.
func (g *Gateway) querySeeds(seeds []netip.AddrPort) (from netip.AddrPort, answered bool) {
	ctx, cancel := context.WithTimeout(g.ctx, seedTimeout)
	defer cancel()
	type seedResponse struct {
		from  netip.AddrPort
		proof proofAnswer
		err   error
	}
	responses := make(chan seedResponse, len(seeds))
	for _, seed := range seeds {
		go func() {
			a := seedResponse{from: seed}
			a.err = g.peerClient.get(ctx, g.peerURL(seed, pathProof), &a.proof)
			responses <- a
		}()
	}
	for range seeds {
		a := <-responses
		if a.err != nil {
			g.deps.Log.Logger().Info("A named gateway does not answer.", "peer", a.from, "err", a.err)
			continue
		}
		answered = true
		if a.proof.isFresh() {
			return a.from, true
		}
	}
	return netip.AddrPort{}, answered
}

// isFresh reports whether a gateway that takes over this proof need not read the store at once.
func (p proofAnswer) isFresh() bool {
	limit := takeoverAge.Milliseconds()
	return p.Version > 0 && p.AgeMs < limit && p.EndpointsAgeMs >= 0 && p.EndpointsAgeMs < limit
}

// bootstrapFrom takes over the state of a peer; it reports whether that is complete and fresh.
func (g *Gateway) bootstrapFrom(peer netip.AddrPort) bool {
	queriedAt := time.Now()
	proof, err := g.queryPeer(peer)
	if err == nil {
		err = g.fetchEndpoints(peer, queriedAt.Add(-time.Duration(proof.EndpointsAgeMs)*time.Millisecond))
	}
	if err != nil {
		g.deps.Log.Logger().Warn("Configuration or endpoints could not be taken over from a seed gateway.", "peer", peer, "err", err)
	}
	return err == nil && proof.isFresh()
}
