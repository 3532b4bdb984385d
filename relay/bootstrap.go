package relay

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/recipients"
)

const (
	// bootstrapQueryTimeout bounds one query to other gateways: some round trips between data centres,
	// plus a margin for a busy process. A starting gateway serves no requests meanwhile.
	bootstrapQueryTimeout = 60 * time.Millisecond
	// firstStartWait is how long, on the first start of an installation, a gateway leaves reading the
	// store to the seeds. By then it has messages of the others of its data centre.
	firstStartWait = 5 * time.Second
	// minSeedRetryDelay and maxSeedRetryDelay bound the pause between two queries to a seed, which grows
	// with each query.
	minSeedRetryDelay = 200 * time.Millisecond
	maxSeedRetryDelay = time.Second
	// listedGatewaysWait is how long a starting gateway waits for its list of gateways.
	listedGatewaysWait = 300 * time.Millisecond
	// firstReadInterval is how much later each further group of storeReaders gateways of a data centre
	// makes its first read of the store, if the groups before it have not brought the data by then.
	// maxFirstReadDelay bounds that delay.
	firstReadInterval = 500 * time.Millisecond
	maxFirstReadDelay = 3 * time.Second
)

// bootstrap takes the configuration and the endpoints from another gateway, so that a starting gateway
// need not read the store. On the first start of an installation there is nothing to serve before a
// configuration exists, so all but the seeds leave reading to these for a while.
func (g *Gateway) bootstrap() {
	if g.deps.Mesh == nil {
		return
	}
	began, seeds := time.Now(), g.otherSeeds()
	switch {
	case g.config.FirstStart && len(seeds) == 0:
		return // this gateway is a seed, and reads the store at once
	case g.config.FirstStart:
		g.awaitSeeds(seeds, began)
	case g.bootstrapFromAny(seeds, began):
	case g.awaitListedGateways():
		g.bootstrapFromAny(g.randomMembers(peersQueried), began)
	}
	now := time.Now()
	g.firstReadAt = now.Add(firstReadDelay(g.config.Name, g.config.DataCentre, g.deps.Mesh.Members(now)))
}

// awaitSeeds queries one seed after the other until this gateway has the data, from a seed or from
// messages of other gateways, or firstStartWait has passed.
func (g *Gateway) awaitSeeds(seeds []netip.AddrPort, began time.Time) {
	for delay := minSeedRetryDelay; time.Since(began) < firstStartWait; delay = min(maxSeedRetryDelay, delay+minSeedRetryDelay) {
		seed := seeds[rand.IntN(len(seeds))]
		if g.hasFreshData() || g.bootstrapFromAny([]netip.AddrPort{seed}, began) || !g.pause(delay/2+rand.N(delay)) {
			return
		}
	}
}

// hasData reports whether this gateway has a configuration and a list of endpoints.
func (g *Gateway) hasData() bool {
	return g.state.Table() != nil && g.storeReads.endpointsAge(time.Now()) != noDataAge
}

// hasFreshData reports whether this gateway has a configuration and a recent list of endpoints.
func (g *Gateway) hasFreshData() bool {
	return g.state.Table() != nil && g.storeReads.endpointsAge(time.Now()) < takeoverAge
}

// bootstrapFromAny queries gateways and takes the data from the first one with a fresh proof. It reports
// whether it has the data.
func (g *Gateway) bootstrapFromAny(addresses []netip.AddrPort, began time.Time) bool {
	from := g.queryProofs(addresses)
	if !from.IsValid() || !g.bootstrapFrom(from) {
		return false
	}
	g.deps.Log.Logger().Info("Learned from a peer.", "peer", from, "version", g.state.Version(), "ms", time.Since(began).Milliseconds())
	return true
}

// awaitListedGateways waits until the list of gateways was read once. It reports false if there is none
// after listedGatewaysWait.
func (g *Gateway) awaitListedGateways() bool {
	timer := time.NewTimer(listedGatewaysWait)
	defer timer.Stop()
	select {
	case <-g.gatewaysListed:
		return true
	case <-timer.C:
	case <-g.ctx.Done():
	}
	return false
}

// randomMembers returns the addresses of n other gateways.
func (g *Gateway) randomMembers(n int) []netip.AddrPort {
	members := g.deps.Mesh.Members(time.Now())
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var out []netip.AddrPort
	for _, m := range members[:min(n, len(members))] {
		out = append(out, m.Address)
	}
	return out
}

// firstReadDelay returns how long a starting gateway without data leaves reading the store to the listed
// gateways of its data centre that precede it. Two of them read at once and tell the others; the next ones
// follow in case these are gone.
func firstReadDelay(self, dataCentre string, members []peers.Member) time.Duration {
	preceding := 0
	for _, m := range members {
		if m.Name != "" && m.DataCentre == dataCentre && recipients.Precedes(m.Name, self) {
			preceding++
		}
	}
	return min(maxFirstReadDelay, time.Duration(preceding/recipients.StoreReaders)*firstReadInterval)
}

// otherSeeds returns the addresses of the other seed gateways. It returns none if this gateway is a seed
// itself, since seeds read the store.
func (g *Gateway) otherSeeds() []netip.AddrPort {
	if slices.Contains(g.config.Seeds, g.deps.Mesh.Address()) {
		return nil
	}
	return g.config.Seeds
}

// queryProofs queries the proofs of several gateways at once. It returns the first one with a fresh proof,
// or the zero value if none has one.
func (g *Gateway) queryProofs(addresses []netip.AddrPort) netip.AddrPort {
	ctx, cancel := context.WithTimeout(g.ctx, bootstrapQueryTimeout)
	defer cancel()
	type response struct {
		from  netip.AddrPort
		proof GatewayState
		err   error
	}
	responses := make(chan response, len(addresses))
	for _, peer := range addresses {
		go func() {
			a := response{from: peer}
			a.err = g.peerClient.Get(ctx, g.peerClient.URL(peer, PathState), &a.proof)
			responses <- a
		}()
	}
	for range addresses {
		a := <-responses
		if a.err != nil {
			g.deps.Log.Logger().Info("A named gateway does not answer.", "peer", a.from, "err", a.err)
			continue
		}
		if a.proof.isFresh() {
			return a.from
		}
	}
	return netip.AddrPort{}
}

// isFresh reports whether a gateway that takes over this proof need not read the store at once.
func (p GatewayState) isFresh() bool {
	limit := takeoverAge.Milliseconds()
	return p.Version > 0 && p.AgeMs < limit && p.EndpointsAgeMs >= 0 && p.EndpointsAgeMs < limit
}

// bootstrapFrom takes over the state of a peer; it reports whether that is complete and fresh.
func (g *Gateway) bootstrapFrom(peer netip.AddrPort) bool {
	queriedAt := time.Now()
	proof, err := g.queryPeer(peer)
	if err == nil {
		err = g.fetchEndpoints(peer, queriedAt.Add(-peers.AgeFromMs(proof.EndpointsAgeMs)))
	}
	if err != nil {
		g.deps.Log.Logger().Warn("Configuration or endpoints could not be taken over from a seed gateway.", "peer", peer, "err", err)
	}
	return err == nil && proof.isFresh()
}
