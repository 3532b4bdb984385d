package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/health"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/upstream"
)

const (
	// watchInterval is how often this gateway checks which endpoints are due for a query.
	watchInterval = 100 * time.Millisecond
	// othersSlowInterval is the time between two queries to an endpoint while another endpoint is
	// slow.
	othersSlowInterval = time.Second
	// slowInterval is the time between two queries to an endpoint that is or may be slow, and
	// failingInterval to one at which a gateway failed.
	slowInterval    = 600 * time.Millisecond
	failingInterval = 300 * time.Millisecond
	// queryTimeout bounds a query, which takes one round trip.
	queryTimeout = 400 * time.Millisecond
	// reassignInterval is how often this gateway recomputes which endpoints it watches.
	reassignInterval = time.Second
	// maxDiscardedBytes bounds how much of a response is read beyond the report.
	maxDiscardedBytes = 64 << 10
)

// watchedEndpoint is an endpoint that this gateway queries for its health.
type watchedEndpoint struct {
	catalog.Endpoint
	primary bool // if not set, the endpoint is queried only after a gateway failed there
	// service is the service of the endpoint. Plain services give no report; only their health
	// check is queried.
	service     catalog.Service
	lastQueried time.Time
}

// watchEndpoints queries those endpoints of the local cell that are assigned to this gateway and
// shares the results in its peer messages: a single gateway uses an endpoint too seldom to notice
// that it is slow.
func (g *Gateway) watchEndpoints() {
	if g.deps.Mesh == nil {
		return
	}
	var list map[string]*watchedEndpoint
	var assignedAt time.Time
	avoided := make(map[string]int)
	for g.pause(watchInterval) {
		now := time.Now()
		if now.Sub(assignedAt) >= reassignInterval {
			list, assignedAt = g.assignedEndpoints(list, g.deps.Mesh.Members(now), now), now
			avoided = g.logAvoided(avoided, now)
		}
		g.queryDue(list, now)
	}
}

// logAvoided logs which endpoints of the local cell are avoided because several gateways failed
// there, with their number, and which are used again. before is its previous result.
func (g *Gateway) logAvoided(before map[string]int, now time.Time) map[string]int {
	avoided := g.picker.avoidedEndpoints(now)
	for id, gateways := range avoided {
		if _, known := before[id]; !known {
			g.deps.Log.Logger().Warn("Endpoint left alone.", "endpoint", id, "gateways", gateways)
		}
	}
	for id := range before {
		if _, still := avoided[id]; !still {
			g.deps.Log.Logger().Info("Endpoint no longer left alone.", "endpoint", id)
		}
	}
	return avoided
}

// queryDue queries the endpoints that are due.
func (g *Gateway) queryDue(list map[string]*watchedEndpoint, now time.Time) {
	for _, e := range list {
		if g.isDue(e, now) {
			e.lastQueried = now
			g.background.Go(func() { g.queryEndpoint(e) })
		}
	}
}

// assignedEndpoints returns the endpoints that this gateway watches, given the members that it has
// heard from recently. before is its previous result.
func (g *Gateway) assignedEndpoints(before map[string]*watchedEndpoint, members []peers.Member, now time.Time) map[string]*watchedEndpoint {
	cells := g.state.Cells()
	localCell := cells.Of(g.config.DataCentre)
	names := []string{g.config.Name}
	recent := g.storeReads.recentPeers(now).All
	for _, m := range members {
		if recent[m.Name] && cells.Of(m.DataCentre) == localCell {
			names = append(names, m.Name)
		}
	}
	watchers := health.NewWatchers(names)
	out := make(map[string]*watchedEndpoint)
	for _, s := range g.state.Services() {
		for _, e := range g.state.EndpointsByCell(s.Name)[localCell] {
			first, second := watchers.Lookup(e.ID)
			if first != g.config.Name && second != g.config.Name {
				continue
			}
			watched := &watchedEndpoint{Endpoint: e, primary: first == g.config.Name, service: s}
			if old := before[e.ID]; old != nil {
				watched.lastQueried = old.lastQueried
			}
			out[e.ID] = watched
		}
	}
	return out
}

// isDue reports whether an endpoint is due for a query. An endpoint without a late stream is not
// queried while no endpoint is slow, since each query has a cost.
func (g *Gateway) isDue(e *watchedEndpoint, now time.Time) bool {
	since := now.Sub(e.lastQueried)
	if since < failingInterval {
		return false
	}
	switch g.picker.queryReason(e.ID, now) {
	case health.RecentFailure:
		return true
	case health.PossiblySlow:
		return e.primary && e.service.Engine != nil && since >= slowInterval
	case health.OtherEndpointSlow:
		return e.primary && e.service.Engine != nil && since >= othersSlowInterval
	default:
		return false
	}
}

// queryEndpoint queries an endpoint and records the response, or that there was none, as evidence of
// its health. Any complete response of its own shows that the endpoint is alive, since health checks
// may be wrong in either direction.
func (g *Gateway) queryEndpoint(e *watchedEndpoint) {
	query := g.queryRequest(e)
	if query == nil || !g.mayQuery(e.Endpoint) {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, queryTimeout)
	defer cancel()
	g.meter.reports.Inc()
	res, err := g.do(ctx, e.Endpoint, query, gatewayQuery, "")
	if err != nil {
		g.recordQueryFailure(e.Endpoint, health.Unreachable, err)
		return
	}
	defer res.Body.Close()
	if g.deps.Protocol.Verdict(res) == WrongEndpoint {
		g.recordQueryFailure(e.Endpoint, health.Replaced, nil)
		return
	}
	report, _, err := g.readReport(res, e.service.Engine != nil)
	if err != nil {
		g.deps.Log.Logger().Warn("Reading an endpoint's report failed.", "endpoint", e.ID, "err", err)
		return
	}
	report.Slowdown = max(report.Slowdown, 1) // without a report as well
	if g.picker.recordReport(e.ID, report, time.Now()) {
		g.deps.Log.Logger().Info("Endpoint's pace changed.", "endpoint", e.ID, "pace", report.Slowdown)
	}
}

// fetchReport queries an endpoint with an engine for its report.
func (g *Gateway) fetchReport(ctx context.Context, e catalog.Endpoint) (r EndpointReport, err error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	g.meter.reports.Inc()
	res, err := g.do(ctx, e, g.deps.Protocol.Report(e.ID), gatewayQuery, "")
	if err != nil {
		return r, err
	}
	defer res.Body.Close()
	r, ok, err := g.readReport(res, true)
	if err == nil && !ok {
		err = trace.Errorf("endpoint %s answered %s", e.ID, res.Status)
	}
	return r, err
}

// readReport reads a response to its end, or fails if it breaks off; ok is set if a report was expected and it is one.
func (g *Gateway) readReport(res *http.Response, expected bool) (r EndpointReport, ok bool, err error) {
	if expected {
		r, ok, err = g.deps.Protocol.ReadReport(res)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxDiscardedBytes))
	}
	return r, ok, trace.Wrap(err)
}

// queryRequest returns the query for an endpoint, or nil if there is none that it would answer.
func (g *Gateway) queryRequest(e *watchedEndpoint) *upstream.Request {
	switch {
	case e.service.Engine != nil:
		return g.deps.Protocol.Report(e.ID)
	case e.service.HealthPath != "":
		return g.deps.Protocol.HealthCheck(e.ID, e.service.HealthPath)
	default:
		return nil
	}
}

// recordQueryFailure records that an endpoint did not answer a query.
func (g *Gateway) recordQueryFailure(e catalog.Endpoint, o health.Outcome, err error) {
	if g.ctx.Err() != nil {
		return
	}
	if g.picker.recordOutcome(e.ID, o, time.Now()) {
		g.deps.Log.Logger().Warn("Endpoint suspect.", "endpoint", e.ID, "request", "", "err", err)
	}
}
