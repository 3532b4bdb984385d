package relay

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/ratelimit"
	"github.com/micarudder/micarudder/recipients"
)

// endpointLimits holds the rate limits of endpoints known to this gateway, and the gateway that
// grants requests to these endpoints. Its methods may be called concurrently.
type endpointLimits struct {
	// current holds the limits in force, in requests per second by endpoint. The map is replaced,
	// never changed, since every choice reads it.
	current atomic.Pointer[map[string]float64]
	self    string // name of this gateway

	mu          sync.Mutex
	known       *ratelimit.LimitTable
	cold        map[string]coldLimit // of endpoints that are cold, by id
	votes       *ratelimit.Election
	coordinator *ratelimit.Coordinator
	// chosenName is the coordinator according to the last evaluation.
	chosenName string
	// lastFullSend is when all known limits were last sent. newcomer is set when a gateway that
	// votes for no coordinator was heard since then: it may not know of any limit.
	lastFullSend time.Time
	newcomer     bool
	// gateways is the number of gateways in the local cell, including this one, as far as any list
	// or message shows.
	gateways int
	// lastProbe is when the latest probe was offered that was not granted, by service.
	lastProbe map[string]time.Time
}

func newEndpointLimits(self string) *endpointLimits {
	l := &endpointLimits{
		self:  self,
		known: ratelimit.NewLimitTable(), votes: ratelimit.NewElection(self), coordinator: ratelimit.NewCoordinator(),
		gateways: 1, lastProbe: make(map[string]time.Time),
	}
	l.publish()
	return l
}

// publish makes the known limits current. The caller holds the lock, or has the only reference to
// l.
func (l *endpointLimits) publish() {
	limits := l.known.Limits()
	for id, cold := range l.cold {
		if perSecond, limited := limits[id]; !limited || cold.perSecond < perSecond {
			limits[id] = cold.perSecond
		}
	}
	l.current.Store(&limits)
}

// limit returns the rate limit of an endpoint; ok is false if it has none.
func (l *endpointLimits) limit(endpoint string) (perSecond float64, ok bool) {
	perSecond, ok = (*l.current.Load())[endpoint]
	return perSecond, ok
}

// any reports whether any endpoint has a rate limit.
func (l *endpointLimits) any() bool { return len(*l.current.Load()) > 0 }

// logValue returns an endpoint's rate limit for logs: -1 if it has none.
func (l *endpointLimits) logValue(endpoint string) float64 {
	if perSecond, ok := l.limit(endpoint); ok {
		return perSecond
	}
	return -1
}

func (l *endpointLimits) version(endpoint string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Version(endpoint)
}

func (l *endpointLimits) recordResponse(e catalog.Endpoint, sent uint64, limit ratelimit.AdvertisedLimit, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.known.ApplyResponse(e.ID, e.Born, sent, limit, now)
	if changed {
		l.publish()
	}
	return changed
}

func (l *endpointLimits) forget(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known.Forget(endpoint)
	l.coordinator.Forget(endpoint)
	l.publish()
}

// clearVotes clears the votes of other gateways, since the host was suspended.
func (l *endpointLimits) clearVotes() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.votes.DropVotes()
}

// chooseCoordinator returns the coordinator, and whether it has changed since the last evaluation;
// empty if none is needed.
func (l *endpointLimits) chooseCoordinator(shuttingDown bool, now time.Time) (coordinator string, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.any() {
		coordinator = l.votes.Choose(shuttingDown, now)
	} else if l.chosenName != "" {
		l.votes.Reset()
	}
	changed = coordinator != l.chosenName
	if changed {
		l.coordinator.Reset()
	}
	l.chosenName = coordinator
	return coordinator, changed
}

// coordinatorName returns the coordinator according to the last evaluation.
func (l *endpointLimits) coordinatorName() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chosenName
}

// gatewayCount returns the number of gateways in the local cell, including this one.
func (l *endpointLimits) gatewayCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gateways
}

const (
	// fullSendInterval is how often the coordinator sends all known limits again, in case a gateway
	// missed them. newcomerSendInterval is the interval while a gateway may not know of any limit.
	fullSendInterval     = 8 * time.Second
	newcomerSendInterval = time.Second
)

// fillMessage adds the limits known to this gateway and its vote to a message for the local cell;
// regular is set for a message that is sent in any case.
func (l *endpointLimits) fillMessage(msg *peers.Message, regular bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	msg.Limits = l.known.Updates(regular && l.fullSendDue(now), now)
	if l.chosenName != "" && !msg.ShuttingDown {
		msg.Coordinator = l.votes.OwnVote(now)
	}
}

// fullSendDue reports whether it is time to send all limits again, and records that they are sent.
// The caller holds the lock.
func (l *endpointLimits) fullSendDue(now time.Time) bool {
	interval := fullSendInterval
	if l.newcomer {
		interval = newcomerSendInterval
	}
	if l.chosenName != l.self || now.Sub(l.lastFullSend) < interval {
		return false
	}
	l.lastFullSend, l.newcomer = now, false
	return true
}

// recordPeer records the vote and the limits that a gateway of the local cell sent; it returns the
// limits that changed.
func (l *endpointLimits) recordPeer(msg peers.Message, now time.Time) (changes map[string]ratelimit.AdvertisedLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	vote := msg.Coordinator
	if msg.ShuttingDown {
		vote = 0
	}
	l.votes.RecordVote(msg.From, vote, now)
	l.newcomer = l.newcomer || vote == 0 && !msg.ShuttingDown
	for id, update := range msg.Limits {
		if !l.known.ApplyUpdate(id, update, now) {
			continue
		}
		if changes == nil {
			changes = make(map[string]ratelimit.AdvertisedLimit)
		}
		changes[id] = update.Limit
	}
	if len(changes) > 0 {
		l.publish()
	}
	return changes
}

// expire drops limits of other cells' endpoints that were not announced recently, and records the
// number of gateways in the local cell.
func (l *endpointLimits) expire(gateways int, local func(endpoint string) bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gateways = gateways
	expired := l.known.Expire(local, now)
	before := len(l.cold)
	maps.DeleteFunc(l.cold, func(_ string, cold coldLimit) bool { return now.After(cold.until) })
	if expired || len(l.cold) < before {
		l.publish()
	}
}

// tryGrant decides about a request that waits at this gateway; ok is false if this gateway is not
// the coordinator.
func (l *endpointLimits) tryGrant(req *ratelimit.GrantRequest, now time.Time) (decision ratelimit.Decision, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.votes.Share(l.gateways, now)
	if share == 0 {
		return decision, false
	}
	return l.coordinator.Try(req, func(id string) (float64, bool) {
		perSecond, limited := l.limit(id)
		return share * perSecond, limited
	}, now), true
}

func (l *endpointLimits) removeRequest(req *ratelimit.GrantRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coordinator.Remove(req)
}

// mayProbe reports whether a request may be offered to a service's endpoints with rate limits
// although other endpoints have room. If so, no other request may for the probe interval.
func (l *endpointLimits) mayProbe(service string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.lastProbe[service]) < ratelimit.ProbeInterval {
		return false
	}
	l.lastProbe[service] = now
	return true
}

// resetProbe permits the next probe at once, since there may be more endpoints that have not been
// heard from.
func (l *endpointLimits) resetProbe(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.lastProbe, service)
}

// recordLimit records what a response says of its endpoint's rate limit, and notifies the other
// gateways at once if that is new.
func (g *Gateway) recordLimit(e catalog.Endpoint, sent uint64, limit ratelimit.AdvertisedLimit, request string) {
	now := time.Now()
	if !g.endpointLimits.recordResponse(e, sent, limit, now) {
		return
	}
	g.logLimit(e.ID, limit, "answer", request)
	g.updateCoordinator(now)
	g.picker.notifyPeers()
}

// handlePeerLimits records the limits that a peer of the local cell sent. Endpoints of other cells
// report their limits to the gateways that send there.
func (g *Gateway) handlePeerLimits(msg peers.Message) {
	nothing := len(msg.Limits) == 0 && msg.Coordinator == 0 && !g.endpointLimits.any()
	if nothing || g.fromOtherCell(msg) { // true of most messages: hundreds of gateways receive thousands of them per second
		return
	}
	now := time.Now()
	msg.Limits = g.currentIncarnations(msg.Limits)
	changes := g.endpointLimits.recordPeer(msg, now)
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
	name, changed := g.endpointLimits.chooseCoordinator(g.shuttingDown.Load(), now)
	if changed {
		g.deps.Log.Logger().Info("Coordinator of endpoints' limits changed.", "coordinator", name)
	}
	return changed
}

// refreshLimits is called before each message is sent, and drops expired limits.
func (g *Gateway) refreshLimits(r recipients.Recipients, now time.Time) {
	g.endpointLimits.expire(len(r.Local)+1, func(id string) bool {
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
