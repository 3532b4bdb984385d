package relay

import (
	"context"
	"sync"
	"time"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/health"
	"github.com/micarudder/micarudder/limits"
	"github.com/micarudder/micarudder/limitstate"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/residual"
)

// picker holds the state that endpoint selection is based on. Its methods may be called
// concurrently.
type picker struct {
	self       string // name of this gateway
	dataCentre string // data centre of this gateway
	state      *State
	policy     balance.Policy
	window     limits.RetryWindowConfig
	sendSoon   chan struct{} // requests an early message to the peers

	mu           sync.Mutex
	loads        *balance.LoadTracker
	queue        *balance.PromptQueue
	health       *health.Table
	retryBudgets map[string]*limits.RetryWindow // by service
	loadChanged  chan struct{}                  // closed to wake the requests that wait for endpoints
	// fleetSize is the number of gateways known to this one.
	fleetSize int
	// fleetKnownAt is the time from which fleetSize can be relied on.
	fleetKnownAt time.Time
	remoteCells  map[string]remoteCell // by cell name
	limits       *limitstate.State     // has its own lock
}

// remoteCell is what the newest digest of another cell reports besides its load.
type remoteCell struct {
	dataCentre string // where the digest was made
	gateways   int    // number of gateways in the cell
	noSpare    bool   // whether the cell has no endpoints to spare
}

func newPicker(self, dataCentre string, state *State, policy balance.Policy, window limits.RetryWindowConfig) *picker {
	return &picker{
		self: self, dataCentre: dataCentre, state: state, policy: policy, window: window, sendSoon: make(chan struct{}, 1),
		loads: balance.NewLoadTracker(), queue: balance.NewPromptQueue(), health: health.NewTable(),
		retryBudgets: make(map[string]*limits.RetryWindow), loadChanged: make(chan struct{}),
		remoteCells: make(map[string]remoteCell), limits: limitstate.New(self),
	}
}

// pickOutcome is the result of a choice.
type pickOutcome uint8

const (
	picked   pickOutcome = iota
	pickNone             // there is no endpoint
	pickWait             // it is better to try again soon
	pickFull             // the caller should retry later
)

// assign counts the load of a choice. It returns nil if the endpoint accepts no more requests at the
// moment. The caller holds the lock.
func (p *picker) assign(res searchResult, now time.Time) *placement {
	c := res.choice
	sent, ok := p.state.BeginAttempt(res.endpoints[c.Endpoint].ID, now)
	if !ok {
		return nil
	}
	pl := &placement{
		picker: p, endpoint: res.endpoints[c.Endpoint], loadBefore: res.candidates[c.Endpoint].Load, sentRequest: sent,
		candidates: len(res.candidates), expected: c.Expected, chosenAt: time.Now(),
	}
	pl.residual, pl.residualAge = p.loads.Residual().Load(pl.endpoint.ID, now), -time.Millisecond
	if age, ok := p.loads.Residual().Age(pl.endpoint.ID, now); ok {
		pl.residualAge = age
	}
	for _, i := range c.Helpers {
		pl.helpers = append(pl.helpers, res.endpoints[i])
	}
	for _, r := range c.Reservations {
		pl.memoryDemands = append(pl.memoryDemands, memoryDemand{res.endpoints[r.Candidate], r.Tokens})
	}
	for _, l := range c.Loads {
		if res.candidates[l.Candidate].Remote {
			pl.remoteEndpoints++
		}
		pl.slowdown = max(pl.slowdown, res.candidates[l.Candidate].Slowdown)
		id := res.endpoints[l.Candidate].ID
		p.loads.Add(id, l.Load)
		pl.addLoad(id, l)
	}
	p.notifyPeers()
	return pl
}

// notifyPeers causes the next message to the peers to be sent soon.
func (p *picker) notifyPeers() {
	select {
	case p.sendSoon <- struct{}{}:
	default:
	}
}

// joinQueue adds a prompt to those that wait for their turn to choose; leaveQueue removes it.
func (p *picker) joinQueue(service string, urgency balance.Urgency, due, now time.Time) *balance.QueueEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.ExpirePeers(now)
	p.notifyPeers()
	return p.queue.Join(service, urgency, due, now)
}

func (p *picker) leaveQueue(entry *balance.QueueEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.Leave(entry)
	p.notifyPeers()
	p.notifyWaitersLocked()
}

// isNext reports whether it is a prompt's turn to choose.
func (p *picker) isNext(entry *balance.QueueEntry, urgency balance.Urgency, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.First(entry, urgency, now)
}

// waitForLoadChange waits until the waiting requests are woken, since load was released or a peer
// sent its load, or until the limit has passed.
func (p *picker) waitForLoadChange(ctx context.Context, limit time.Duration) {
	p.mu.Lock()
	changed := p.loadChanged
	p.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// notifyWaiters wakes the requests that wait for endpoints.
func (p *picker) notifyWaiters() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notifyWaitersLocked()
}

// notifyWaitersLocked is notifyWaiters for callers that hold the lock.
func (p *picker) notifyWaitersLocked() {
	close(p.loadChanged)
	p.loadChanged = make(chan struct{})
}

// recordOutcome records how an exchange ended; it reports whether the endpoint has just become
// suspect.
func (p *picker) recordOutcome(endpoint string, o health.Outcome, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	suspect := p.health.RecordOutcome(endpoint, o, now)
	if suspect {
		p.notifyPeers() // so that other gateways need not fail there as well
	}
	return suspect
}

// recordReport records an endpoint's report on itself; it reports whether its slowdown has changed
// significantly.
func (p *picker) recordReport(endpoint string, r EndpointReport, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.health.Slowdown(endpoint, now)
	p.health.RecordReachable(endpoint, now)
	p.health.SetSlowdown(endpoint, r.Slowdown, now)
	after := p.health.Slowdown(endpoint, now)
	changed := after > significantSlowdownRatio*before || before > significantSlowdownRatio*after
	if changed {
		p.notifyPeers()
	}
	return changed
}

// significantSlowdownRatio is the ratio of an endpoint's new slowdown to its old one, or of the old
// one to the new one, above which the peers are notified at once.
const significantSlowdownRatio = 1.2

// recordLate records that a stream began or paused much later than expected. The next regular message
// tells the gateway that watches the endpoint: a message sent at once would add traffic when there
// is already too much load.
func (p *picker) recordLate(endpoint string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health.RecordLateStream(endpoint, now)
}

// avoidedEndpoints returns the endpoints of the local cell that are avoided because several
// gateways failed there, each with the number of those gateways.
func (p *picker) avoidedEndpoints(now time.Time) map[string]int {
	localCell := p.state.Cells().Of(p.dataCentre)
	out := make(map[string]int)
	for _, s := range p.state.Services() {
		endpoints := p.state.EndpointsByCell(s.Name)[localCell]
		p.mu.Lock()
		for _, e := range endpoints {
			if n := p.health.FailingGateways(e.ID, now); n > 0 {
				out[e.ID] = n
			}
		}
		p.mu.Unlock()
	}
	return out
}

// queryReason returns why an endpoint should be queried.
func (p *picker) queryReason(endpoint string, now time.Time) health.QueryReason {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.health.QueryReason(endpoint, now)
}

func (p *picker) forget(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health.Forget(endpoint)
	p.loads.Residual().Forget(endpoint)
}

// countRequest counts a request to a service; takeRetry takes a retry from the budget and reports
// whether it was available.
func (p *picker) countRequest(service string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget(service).RecordRequest(now)
}

func (p *picker) takeRetry(service string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget(service).AllowRetry(now, p.gatewayCount(now))
}

// gatewayCount returns how many gateways share the slack of a retry budget. The caller holds the
// lock.
func (p *picker) gatewayCount(now time.Time) int {
	if now.Before(p.fleetKnownAt) {
		// Many gateways may have started at this moment, and each would use the whole slack.
		return limits.UnknownGateways
	}
	return max(p.fleetSize, p.loads.LivePeers(now)+1)
}

// setListedGateways records how many gateways a list in the store names.
func (p *picker) setListedGateways(n int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleetSize = max(p.fleetSize, n)
	if now.Before(p.fleetKnownAt) {
		p.fleetKnownAt = now
	}
}

// fleetDiscoveryTime is how long a process may not know the number of gateways if it cannot read a
// list written by earlier ones: until it has read the entries of those that started at the same
// time, plus a margin.
const fleetDiscoveryTime = gatewaysFirstDelay + time.Second

func (p *picker) retryBudget(service string) *limits.RetryWindow {
	b := p.retryBudgets[service]
	if b == nil {
		b = limits.NewRetryWindow(p.window)
		p.retryBudgets[service] = b
	}
	return b
}

// recordPeer records the load, waiting prompts and health observations that a peer sent.
func (p *picker) recordPeer(msg peers.Message, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads.RecordPeerProcess(residual.Message{Name: msg.From, Incarnation: msg.Incarnation, Leaving: msg.ShuttingDown, Starting: msg.Starting, Complete: !msg.Partial, Late: msg.Late}, msg.Loads, now)
	if msg.Partial {
		p.loads.UpdatePeerLoad(msg.From, msg.DataCentre, msg.Loads, now)
	} else {
		p.loads.SetPeerLoad(msg.From, msg.DataCentre, msg.Loads, now)
	}
	if msg.Late {
		return // the rest may be older than what was received; residual reports are repeated
	}
	p.loads.Residual().SetReports(msg.Residual, msg.Starting, now)
	p.queue.SetPeerHeads(msg.From, msg.Waiting, now)
	p.health.UpdatePeer(msg.From, msg.Observations, p.state.EndpointCount(), now)
	if p.queue.Waiting() > 0 {
		p.notifyWaitersLocked()
	}
}

// localLoad is the load, the waiting prompts and the health observations of this gateway that are
// sent to the peers.
type localLoad struct {
	all          map[string]balance.Load
	byCell       map[string]map[string]balance.Load // the entries of all at the endpoints of each cell
	waiting      map[string]balance.QueueHead
	observations map[string]health.Observation // of endpoints' health
	residual     map[string]residual.Report
	starting     bool
}

// localLoad returns the complete load, or what has changed since the complete load was last sent.
func (p *picker) localLoad(complete bool, now time.Time) localLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := localLoad{waiting: p.queue.LocalHeads(now), observations: p.health.LocalObservations(now), byCell: make(map[string]map[string]balance.Load)}
	load.residual, load.starting = p.loads.Residual().Updates(complete, now), p.loads.Residual().Starting(now)
	if complete {
		load.all = p.loads.Local()
	} else {
		load.all = p.loads.LocalChanges()
	}
	for id, l := range load.all {
		c, ok := p.state.CellOf(id)
		if !ok {
			continue // the endpoint is gone: only the local cell counts the load that is left there
		}
		if load.byCell[c] == nil {
			load.byCell[c] = make(map[string]balance.Load)
		}
		load.byCell[c][id] = l
	}
	return load
}

// setFleetSize records how many gateways the local cell has, and how many the store's list names.
func (p *picker) setFleetSize(local, listed int) {
	cells := p.state.Cells().Cells()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range cells {
		local += p.remoteCells[c].gateways
	}
	p.fleetSize = max(local, listed)
}
