package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/availability"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/upstream"
)

// requestKind tells how the response to a request counts with respect to the endpoint's rate limit.
type requestKind uint8

const (
	callerRequest requestKind = iota
	// gatewayQuery is a health check, a query or a memory order of this gateway. Its response may
	// announce a rate limit, but a response without one does not end a limit: endpoints need not
	// repeat it there.
	gatewayQuery
)

// do sends a request to an endpoint and records what the response says of that endpoint.
func (g *Gateway) do(ctx context.Context, e catalog.Endpoint, req *upstream.Request, kind requestKind, request string) (*http.Response, error) {
	sent := g.endpointLimits.Version(e.ID)
	res, err := g.deps.Endpoints.Do(ctx, e.ID, e.Address, req)
	if err != nil {
		return nil, err
	}
	if g.deps.Protocol.Verdict(res) != WrongEndpoint { // that response is about another endpoint
		g.recordResponse(e, sent, res, kind, request)
	}
	return res, nil
}

// recordResponse records what a response says of the endpoint that sent it. sent is the version of
// the endpoint's rate limit at the time of the request.
func (g *Gateway) recordResponse(e catalog.Endpoint, sent uint64, res *http.Response, kind requestKind, request string) {
	statement, err := g.deps.Protocol.Statement(res)
	if err != nil {
		g.deps.Log.Request("What an endpoint says of itself cannot be read.", "request", request, "endpoint", e.ID, "err", err)
	}
	if !statement.LimitUnreadable && (statement.Limit.Set || kind == callerRequest) {
		g.recordLimit(e, sent, statement.Limit, request)
	}
	g.recordStatement(e, statement, request)
}

// recordStatement records whether the endpoint is draining or asks this gateway to back off.
func (g *Gateway) recordStatement(e catalog.Endpoint, statement availability.Statement, request string) {
	if statement.Draining {
		g.meter.drainsAnnounced.Inc()
		g.markDraining(e, availability.FromResponse, request)
	}
	if statement.Backoff > 0 {
		g.meter.backoffsRequested.Inc()
		if g.state.RecordBackoff(e.ID, statement.Backoff, time.Now()) {
			g.deps.Log.Request("Endpoint asks for rest.", "endpoint", e.ID, "born", e.Born, "rest_ms", statement.Backoff.Milliseconds(), "request", request)
		}
	}
}

// markDraining records that an endpoint is draining, and notifies the other gateways at once if
// that is new.
func (g *Gateway) markDraining(e catalog.Endpoint, source, request string) {
	isNew, changes := g.state.MarkDraining(e, source, time.Now())
	if !isNew {
		return
	}
	g.deps.Log.Logger().Info("Endpoint says that it leaves.", "endpoint", e.ID, "born", e.Born, "from", source, "request", request)
	for _, c := range changes {
		g.handleEndpointChange(c)
	}
	g.picker.notifyPeers()
}

// handlePeerDrains records the endpoints that a peer reports as draining.
func (g *Gateway) handlePeerDrains(msg peers.Message) {
	for id, born := range msg.Drains {
		g.markDraining(catalog.Endpoint{ID: id, Born: born}, msg.From, "")
	}
}

// drainCheckInterval is the time between two queries to an endpoint whose drain is uncertain.
const drainCheckInterval = time.Second

// resolveUncertainDrain queries a restarted endpoint for whether it is draining, since the statement
// may be of its previous incarnation. An endpoint that cannot be queried counts as draining until
// it answers.
func (g *Gateway) resolveUncertainDrain(e catalog.Endpoint) {
	query := g.queryRequest(&watchedEndpoint{Endpoint: e, service: g.serviceOf(e)})
	for query != nil && g.state.DrainUncertain(e) {
		if !g.state.InBackoff(e.ID, time.Now()) && g.answersNotDraining(e, query) && g.state.RevokeUncertainDrain(e) {
			g.deps.Log.Logger().Info("Endpoint does not leave.", "endpoint", e.ID, "born", e.Born)
		}
		if !g.pause(drainCheckInterval) {
			return
		}
	}
}

// answersNotDraining queries an endpoint; it reports whether the endpoint has answered without
// saying that it is draining.
func (g *Gateway) answersNotDraining(e catalog.Endpoint, query *upstream.Request) bool {
	ctx, cancel := context.WithTimeout(g.ctx, queryTimeout)
	defer cancel()
	g.meter.reports.Inc()
	res, err := g.do(ctx, e, query, gatewayQuery, "")
	if err != nil {
		g.deps.Log.Logger().Info("It is not known whether an endpoint leaves.", "endpoint", e.ID, "born", e.Born, "err", err)
		return false
	}
	defer res.Body.Close()
	return g.deps.Protocol.Verdict(res) != WrongEndpoint && g.state.DrainUncertain(e)
}

// serviceOf returns an endpoint's service as configured, or one without a name if it is not
// configured.
func (g *Gateway) serviceOf(e catalog.Endpoint) catalog.Service {
	for _, s := range g.state.Services() {
		if s.Name == e.Service {
			return s
		}
	}
	return catalog.Service{}
}
