package relay

import (
	"time"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/ratelimit"
	"github.com/micarudder/micarudder/recipients"
)

// recordLimit records what a response says of its endpoint's rate limit, and notifies the other
// gateways at once if that is new.
func (g *Gateway) recordLimit(e catalog.Endpoint, sent uint64, limit ratelimit.AdvertisedLimit, request string) {
	now := time.Now()
	if !g.endpointLimits.RecordResponse(e, sent, limit, now) {
		return
	}
	g.logLimit(e.ID, limit, "answer", request)
	g.updateCoordinator(now)
	g.picker.notifyPeers()
}

// handlePeerLimits records the limits that a peer of the local cell sent. Endpoints of other cells
// report their limits to the gateways that send there.
func (g *Gateway) handlePeerLimits(msg peers.Message) {
	nothing := len(msg.Limits) == 0 && msg.Coordinator == 0 && !g.endpointLimits.Any()
	if nothing || g.fromOtherCell(msg) { // true of most messages: hundreds of gateways receive thousands of them per second
		return
	}
	now := time.Now()
	msg.Limits = g.currentIncarnations(msg.Limits)
	changes := g.endpointLimits.RecordPeer(msg, now)
	for id, limit := range changes {
		g.logLimit(id, limit, msg.From, "")
	}
	if changed := g.updateCoordinator(now); changed || len(changes) > 0 {
		g.picker.notifyPeers()
	}
}

// currentIncarnations returns the updates for the endpoint incarnations that this gateway knows.
// Other gateways may not have seen yet that an endpoint was restarted, or this one may not; updates
// for the new incarnation are sent for longer than that takes.
func (g *Gateway) currentIncarnations(updates map[string]ratelimit.LimitUpdate) map[string]ratelimit.LimitUpdate {
	var out map[string]ratelimit.LimitUpdate
	for id, update := range updates {
		if e, ok := g.state.Endpoint(id); !ok || e.Born != update.Born {
			continue
		}
		if out == nil {
			out = make(map[string]ratelimit.LimitUpdate)
		}
		out[id] = update
	}
	return out
}

// updateCoordinator re-evaluates which gateway grants requests to endpoints with rate limits; it
// reports whether that has changed.
func (g *Gateway) updateCoordinator(now time.Time) bool {
	name, changed := g.endpointLimits.ChooseCoordinator(g.drain.Begun(), now)
	if changed {
		g.deps.Log.Logger().Info("Coordinator of endpoints' limits changed.", "coordinator", name)
	}
	return changed
}

// refreshLimits is called before each message is sent, and drops expired limits.
func (g *Gateway) refreshLimits(r recipients.Recipients, now time.Time) {
	g.endpointLimits.Expire(len(r.Local)+1, func(id string) bool {
		c, ok := g.state.CellOf(id)
		return ok && c == r.LocalCell
	}, now)
	if g.updateCoordinator(now) {
		g.picker.notifyPeers()
	}
}

// logLimit logs a change of the known limit of an endpoint. source is "answer" or the name of a
// gateway.
func (g *Gateway) logLimit(endpoint string, limit ratelimit.AdvertisedLimit, source, request string) {
	if !limit.Set {
		g.meter.limitsEnded.Inc()
		g.deps.Log.Logger().Info("Endpoint limits requests no longer.", "endpoint", endpoint, "from", source, "request", request)
		return
	}
	g.meter.limitsAdvertised.Inc()
	g.deps.Log.Logger().Info("Endpoint limits requests.", "endpoint", endpoint, "per_second", limit.PerSecond, "from", source, "request", request)
}
