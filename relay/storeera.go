package relay

import "time"

// sawStore takes in the era that the store named in the newest answer to this gateway. What it
// keeps for the gateways is written again by whoever sees a new one first.
func (g *Gateway) sawStore() {
	if !g.sawEra(g.deps.Source.StoreEra(), "store") {
		return
	}
	for _, f := range g.quarantined.fingerprints(time.Now()) {
		g.keep(f)
	}
	g.tellNews()
}

// sawEra takes in an era of the store; it reports whether the store came back from an older copy.
// Such a store is missing what was written last, which is written again within returnTime: until
// then a read proves nothing and missing endpoints may return; what had left has left.
func (g *Gateway) sawEra(era uint64, from string) bool {
	if !g.state.SawEra(era, time.Now()) {
		return false
	}
	g.meter.restores.Inc()
	g.deps.Log.Logger().Warn("The store came back from an older copy.", "era", era, "from", from, "version", g.state.Version(), "proof_age_ms", g.proofAge().Milliseconds())
	return true
}
