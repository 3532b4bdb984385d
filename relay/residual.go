package relay

import (
	"time"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/health"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/residual"
)

// residualInterval is how often this gateway checks which endpoints to ask for residual load: the first
// choices after the start need it soon.
const residualInterval = 50 * time.Millisecond

// followResidual asks endpoints with engines for the load that they have for processes that are gone.
func (g *Gateway) followResidual() {
	if g.deps.Mesh == nil || !g.config.ResidualLoad {
		return
	}
	for g.pause(residualInterval) {
		now := time.Now()
		g.askResidual(g.deps.Mesh.Members(now), now)
	}
}

// askResidual asks the endpoints whose report is due.
func (g *Gateway) askResidual(members []peers.Member, now time.Time) {
	g.picker.mu.Lock()
	active := g.picker.loads.Residual().Active(now)
	g.picker.mu.Unlock()
	if !active || g.state.Table() == nil { // there is no configuration yet
		return
	}
	watched, endpoints := g.residualWatched(members, now)
	for _, id := range g.picker.residualDue(watched, len(endpoints), g.listedGateways(members), g.state.Table().LongestTimeout(), now) {
		g.background.Go(func() { g.askResidualOf(endpoints[id]) })
	}
}

// residualWatched returns the endpoints with engines of the local cell, and those of them that this
// gateway may ask. If it has heard from no other gateway, it may ask any.
func (g *Gateway) residualWatched(members []peers.Member, now time.Time) ([]residual.Watched, map[string]catalog.Endpoint) {
	localCell := g.state.Cells().Of(g.config.DataCentre)
	names, recent := []string{g.config.Name}, g.storeReads.recentPeers(now).All
	for _, name := range g.localGateways(members) {
		if recent[name] {
			names = append(names, name)
		}
	}
	watchers := health.NewWatchers(names)
	var watched []residual.Watched
	endpoints := make(map[string]catalog.Endpoint)
	for _, s := range g.state.Services() {
		if s.Engine == nil {
			continue
		}
		for _, e := range g.state.EndpointsByCell(s.Name)[localCell] {
			endpoints[e.ID] = e
			first, second := watchers.Lookup(e.ID)
			if first == g.config.Name || second == g.config.Name {
				watched = append(watched, residual.Watched{Endpoint: e.ID, Second: first != g.config.Name})
			}
		}
	}
	return watched, endpoints
}

// localGateways returns the names of the members in the local cell.
func (g *Gateway) localGateways(members []peers.Member) []string {
	cells := g.state.Cells()
	localCell := cells.Of(g.config.DataCentre)
	var out []string
	for _, m := range members {
		if cells.Of(m.DataCentre) == localCell {
			out = append(out, m.Name)
		}
	}
	return out
}

// listedGateways returns the other gateways of the local cell if the store's list of them was read.
func (g *Gateway) listedGateways(members []peers.Member) []string {
	select {
	case <-g.gatewaysListed:
		return g.localGateways(members)
	default:
		return nil
	}
}

// askResidualOf asks an endpoint for its report and tells the peers the result.
func (g *Gateway) askResidualOf(e catalog.Endpoint) {
	g.picker.mu.Lock()
	before := g.picker.loads.LiveResidual(e.ID, time.Now())
	g.picker.mu.Unlock()
	if !g.mayQuery(e) {
		return
	}
	g.meter.residualReports.Inc()
	report, err := g.fetchReport(g.ctx, e)
	if err != nil {
		g.deps.Log.Logger().Debug("An endpoint's residual load is not known.", "endpoint", e.ID, "err", err)
		return
	}
	reported := residual.Load{Requests: report.Running + report.Waiting, MemoryTokens: report.MemoryUsed}
	if left, first := g.picker.recordResidual(e.ID, reported, before, time.Now()); first && left.Requests > 0 {
		g.deps.Log.Logger().Info("Endpoint has residual load.", "endpoint", e.ID, "requests", left.Requests, "memory", left.MemoryTokens, "reported", reported.Requests)
	}
}

// residualDue returns the endpoints to ask now. listed are the other gateways of the cell; none if they
// are not known.
func (p *picker) residualDue(watched []residual.Watched, total int, listed []string, lifetime time.Duration, now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.loads.Residual()
	t.SetLifetime(lifetime)
	t.SetListed(listed)
	return t.Due(watched, total, now)
}

// recordResidual records a report and returns the residual load of the endpoint, and whether the report
// is the first one known.
func (p *picker) recordResidual(endpoint string, reported, before residual.Load, now time.Time) (left residual.Load, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notifyPeers()
	_, known := p.loads.Residual().Age(endpoint, now)
	return p.loads.Residual().Record(endpoint, reported, before, p.loads.LiveResidual(endpoint, now), now), !known
}
