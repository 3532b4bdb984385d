package relay

import (
	"context"
	"time"

	"github.com/micarudder/micarudder/catalog/proof"
)

// settledEraTimeout bounds a call for the store's record of its settled era. A slow store answers within a half of it.
const settledEraTimeout = 600 * time.Millisecond

// loadSettledEra reads the store's record of its settled era, if only that tells whether the next read proves the
// configuration. All gateways may have started beside a store that was restored from an older copy.
func (g *Gateway) loadSettledEra() {
	needed := false
	g.state.judgeEra(func(p *proof.Proofs) { needed = p.NeedsRecord(time.Now()) })
	if !needed {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, settledEraTimeout)
	defer cancel()
	era, err := g.deps.Source.SettledEra(ctx)
	g.checkStoreEra()
	if err == nil {
		g.state.judgeEra(func(p *proof.Proofs) { p.RecordSettled(era) })
	}
	if known := g.state.StoreEra(); (err != nil || era != known) && g.unsettledSeen.Swap(known) != known {
		g.deps.Log.Logger().Warn("The store may have come back from an older copy; reads prove nothing for a while.", "era", known, "recorded", era, "err", err)
	}
}

// saveSettledEra stores in which era this gateway's own reads have proved the configuration, unless that is known to
// stand there.
func (g *Gateway) saveSettledEra() {
	var era uint64
	g.state.judgeEra(func(p *proof.Proofs) { era = p.UnrecordedEra() })
	if era == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, 2*settledEraTimeout)
	defer cancel()
	recorded, err := g.deps.Source.SettledEra(ctx)
	if err == nil && recorded != era {
		err = g.deps.Source.RecordSettledEra(ctx, era)
	}
	if err != nil {
		g.deps.Log.Logger().Warn("The settled era could not be recorded in the store.", "era", era, "err", err)
		return
	}
	g.state.judgeEra(func(p *proof.Proofs) { p.RecordSettled(era) })
	g.deps.Log.Logger().Info("The settled era is recorded in the store.", "era", era, "before", recorded)
}

// checkStoreEra records the era in the store's latest response to this gateway. After a restore, the
// data that gateways keep in the store is written again by whichever gateway sees the new era
// first.
func (g *Gateway) checkStoreEra() {
	if !g.recordStoreEra(g.deps.Source.StoreEra(), "store") {
		return
	}
	for _, f := range g.quarantine.Quarantined(time.Now()) {
		g.scheduleStore(f)
	}
	g.broadcastSoon()
}

// recordStoreEra records an era of the store; it reports whether the store was restored from an
// older copy. Such a store lacks the latest writes, which are repeated within availability.ReturnWindow. Until
// then a read proves nothing, and missing endpoints may return; endpoints that have left stay away.
func (g *Gateway) recordStoreEra(era uint64, from string) bool {
	if !g.state.RecordStoreEra(era, time.Now()) {
		return false
	}
	g.meter.restores.Inc()
	g.deps.Log.Logger().Warn("The store came back from an older copy.", "era", era, "from", from, "version", g.state.Version(), "proof_age_ms", g.proofAge().Milliseconds())
	return true
}
