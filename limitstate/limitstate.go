// Package limitstate holds the rate limits of endpoints that a gateway knows, and the gateway that grants
// requests to these endpoints. It does no I/O and reads no clock.
package limitstate

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/ratelimit"
)

// ColdLimit is the rate limit of a cold endpoint. It applies until a list shows the endpoint as warm, or
// until that time if there is no newer list.
type ColdLimit struct {
	PerSecond float64
	Until     time.Time
}

// State holds the rate limits of endpoints known to this gateway, and the gateway that
// grants requests to these endpoints. Its methods may be called concurrently.
type State struct {
	// current holds the limits in force, in requests per second by endpoint. The map is replaced,
	// never changed, since every choice reads it.
	current atomic.Pointer[map[string]float64]
	self    string // name of this gateway

	mu          sync.Mutex
	known       *ratelimit.LimitTable
	cold        map[string]ColdLimit // of endpoints that are cold, by id
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

// New returns the state of the named gateway, which knows no limits.
func New(self string) *State {
	l := &State{
		self:  self,
		known: ratelimit.NewLimitTable(), votes: ratelimit.NewElection(self), coordinator: ratelimit.NewCoordinator(),
		gateways: 1, lastProbe: make(map[string]time.Time),
	}
	l.publish()
	return l
}

// publish makes the known limits current. The caller holds the lock, or has the only reference to
// l.
func (l *State) publish() {
	limits := l.known.Limits()
	for id, cold := range l.cold {
		if perSecond, limited := limits[id]; !limited || cold.PerSecond < perSecond {
			limits[id] = cold.PerSecond
		}
	}
	l.current.Store(&limits)
}

// Limit returns the rate limit of an endpoint; ok is false if it has none.
func (l *State) Limit(endpoint string) (perSecond float64, ok bool) {
	perSecond, ok = (*l.current.Load())[endpoint]
	return perSecond, ok
}

// Any reports whether any endpoint has a rate limit.
func (l *State) Any() bool { return len(*l.current.Load()) > 0 }

// LogValue returns an endpoint's rate limit for logs: -1 if it has none.
func (l *State) LogValue(endpoint string) float64 {
	if perSecond, ok := l.Limit(endpoint); ok {
		return perSecond
	}
	return -1
}

// Version returns the version of an endpoint's limit, for RecordResponse.
func (l *State) Version(endpoint string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Version(endpoint)
}

// RecordResponse records what a response of an endpoint says of its limit. sent is the version when the
// request was sent. It reports whether that changes the limit.
func (l *State) RecordResponse(e catalog.Endpoint, sent uint64, limit ratelimit.AdvertisedLimit, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.known.ApplyResponse(e.ID, e.Born, sent, limit, now)
	if changed {
		l.publish()
	}
	return changed
}

// Forget drops what is known of an endpoint.
func (l *State) Forget(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known.Forget(endpoint)
	l.coordinator.Forget(endpoint)
	l.publish()
}

// ClearVotes clears the votes of other gateways, since the host was suspended.
func (l *State) ClearVotes() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.votes.DropVotes()
}

// ChooseCoordinator returns the coordinator, and whether it has changed since the last evaluation;
// empty if none is needed.
func (l *State) ChooseCoordinator(shuttingDown bool, now time.Time) (coordinator string, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Any() {
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

// CoordinatorName returns the coordinator according to the last evaluation.
func (l *State) CoordinatorName() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chosenName
}

// GatewayCount returns the number of gateways in the local cell, including this one.
func (l *State) GatewayCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gateways
}

const (
	// fullSendInterval is how often the coordinator sends all known limits again, in case a gateway
	// missed them. NewcomerSendInterval is the interval while a gateway may not know of any limit.
	fullSendInterval     = 8 * time.Second
	NewcomerSendInterval = time.Second
)

// FillMessage adds the limits known to this gateway and its vote to a message for the local cell;
// regular is set for a message that is sent in any case.
func (l *State) FillMessage(msg *peers.Message, regular bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	msg.Limits = l.known.Updates(regular && l.fullSendDue(now), now)
	if l.chosenName != "" && !msg.ShuttingDown {
		msg.Coordinator = l.votes.OwnVote(now)
	}
}

// fullSendDue reports whether it is time to send all limits again, and records that they are sent.
// The caller holds the lock.
func (l *State) fullSendDue(now time.Time) bool {
	interval := fullSendInterval
	if l.newcomer {
		interval = NewcomerSendInterval
	}
	if l.chosenName != l.self || now.Sub(l.lastFullSend) < interval {
		return false
	}
	l.lastFullSend, l.newcomer = now, false
	return true
}

// RecordPeer records the vote and the limits that a gateway of the local cell sent; it returns the
// limits that changed.
func (l *State) RecordPeer(msg peers.Message, now time.Time) (changes map[string]ratelimit.AdvertisedLimit) {
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

// Expire drops limits of other cells' endpoints that were not announced recently, and records the
// number of gateways in the local cell.
func (l *State) Expire(gateways int, local func(endpoint string) bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gateways = gateways
	expired := l.known.Expire(local, now)
	before := len(l.cold)
	maps.DeleteFunc(l.cold, func(_ string, cold ColdLimit) bool { return now.After(cold.Until) })
	if expired || len(l.cold) < before {
		l.publish()
	}
}

// TryGrant decides about a request that waits at this gateway; ok is false if this gateway is not
// the coordinator.
func (l *State) TryGrant(req *ratelimit.GrantRequest, now time.Time) (decision ratelimit.Decision, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.votes.Share(l.gateways, now)
	if share == 0 {
		return decision, false
	}
	return l.coordinator.Try(req, func(id string) (float64, bool) {
		perSecond, limited := l.Limit(id)
		return share * perSecond, limited
	}, now), true
}

// RemoveRequest removes a request that no longer waits for a grant.
func (l *State) RemoveRequest(req *ratelimit.GrantRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coordinator.Remove(req)
}

// GrantShare returns the share of the limits that this gateway may grant by now; see ratelimit.Election.
func (l *State) GrantShare(gateways int, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.votes.Share(gateways, now)
}

// MayProbe reports whether a request may be offered to a service's endpoints with rate limits
// although other endpoints have room. If so, no other request may for the probe interval.
func (l *State) MayProbe(service string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.lastProbe[service]) < ratelimit.ProbeInterval {
		return false
	}
	l.lastProbe[service] = now
	return true
}

// ResetProbe permits the next probe at once, since there may be more endpoints that have not been
// heard from.
func (l *State) ResetProbe(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.lastProbe, service)
}

// SetCold replaces the limits of cold endpoints. It returns the ids of those that became cold and of those
// that no longer are.
func (l *State) SetCold(cold map[string]ColdLimit) (began, ended []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range cold {
		if _, known := l.cold[id]; !known {
			began = append(began, id)
		}
	}
	for id := range l.cold {
		if _, still := cold[id]; !still {
			ended = append(ended, id)
		}
	}
	changed := !maps.EqualFunc(cold, l.cold, func(a, b ColdLimit) bool { return a.PerSecond == b.PerSecond })
	l.cold = cold
	if changed {
		l.publish()
	}
	return began, ended
}
